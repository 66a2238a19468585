#!/usr/bin/env bash
# Builds the programs of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile() { "${CXX:-g++}" -std=c++20 -O1 -pthread -I. -DFMT_HEADER_ONLY "$@"; }
compile -c review/standins-2/standins.cpp -o target/review-2/standins.o
for it in review/*/; do
    n=$(basename "$it")
    if [[ $n =~ ^[0-9]+$ ]] && [ "$n" -ge 6 ] && [ -e "$it/case.cpp" ]; then
        compile "$it/case.cpp" target/review-2/standins.o -o "target/review-2/case-$n"
    fi
done
