#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases' scripts into target/review. Needs the packages
# of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I.)
sources=(review/standins/*.cpp tests/soak/fault_proxy.cpp core/*.cpp drivers/asio/*.cpp)
build_object() {
    g++ "${@:3}" -c "$1" -o "$2"
}
export -f build_object
objects=()
jobs=()
for source in "${sources[@]}"; do
    object="$out/${source//\//_}.o"
    objects+=("$object")
    build_object "$source" "$object" "${flags[@]}" &
    jobs+=($!)
    if [ "${#jobs[@]}" -ge 6 ]; then
        wait "${jobs[0]}"
        jobs=("${jobs[@]:1}")
    fi
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for case in review/[1-5]/case.cpp; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    g++ "${flags[@]}" "$case" "${objects[@]}" -o "$out/case-$number" -lfmt -lxxhash -lpthread
done
