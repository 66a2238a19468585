#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each of them.
# Usage: tools/fuzz.sh [RUNS]       a number of inputs from a fixed seed, as in CI
#        tools/fuzz.sh --seconds N  a longer search
set -euo pipefail
cd "$(dirname "$0")/.."
limit="-runs=${1:-20000}"
if [ "${1:-}" = --seconds ]; then
    limit="-max_total_time=$2"
fi
cmake -S . -B build/fuzz -G Ninja -DHAWTHORNSLIP_FUZZ=ON -DCMAKE_C_COMPILER=clang-14 \
    -DCMAKE_CXX_COMPILER=clang++-14 >&2
targets=()
for source in tests/fuzz/*_fuzz.cpp; do
    targets+=("$(basename "$source" .cpp)")
done
cmake --build build/fuzz -j "${JOBS:-8}" --target "${targets[@]}" >&2
for target in "${targets[@]}"; do
    echo "fuzz: $target $limit" >&2
    mkdir -p "build/fuzz/corpus/$target"
    seeds=()
    case $target in
    settings_fuzz) seeds=(examples/yayasan) ;;
    config_document_fuzz) seeds=(examples/krieslins) ;;
    *) [ -d "tests/fuzz/seeds/$target" ] && seeds=("tests/fuzz/seeds/$target") ;;
    esac
    build/fuzz/"$target" "$limit" -seed=1 -max_len=16384 -timeout=10 -print_final_stats=0 \
        "build/fuzz/corpus/$target" "${seeds[@]}" >"build/fuzz/$target.log" 2>&1 || {
        tail -40 "build/fuzz/$target.log"
        echo "fuzz: $target found an input that fails" >&2
        exit 1
    }
done
echo "fuzz: ${#targets[@]} targets without a finding"
