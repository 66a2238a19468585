#!/usr/bin/env bash
# Plays seeds of the soak: tools/soak.sh BUILD FIRST LAST [JOBS [options of the soak]].
# Prints a line a seed and a summary; exit 1 when a promise was broken.
set -euo pipefail
build=$1 first=$2 last=$3 jobs=${4:-3}
shift $(($# < 4 ? $# : 4))
folder=$(mktemp -d)
export build folder
play() {
    local seed=$1
    shift
    "$build/soak" --binary "$build/hawthornslip" --folder "$folder/$seed" --seed "$seed" "$@" \
        >"$folder/$seed.txt" 2>&1 || echo "$seed" >>"$folder/failed"
    cat "$folder/$seed.txt"
}
export -f play
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c 'play "$@"' _ {} "$@"
failed=0
[ ! -e "$folder/failed" ] || failed=$(wc -l <"$folder/failed")
echo "$((last - first + 1 - failed)) passed, $failed failed"
if [ "$failed" -gt 0 ]; then
    echo "logs: $folder" >&2
    exit 1
fi
rm -rf "$folder"
