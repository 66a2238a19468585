#!/usr/bin/env bash
# Plays the rows of worker processes that end: tools/crashes.sh BUILD [JOBS [options of the program]].
# Prints a line a row; exit 1 when a row fails that KNOWN-RED.txt does not name. Rows named there run,
# and are printed as known.
set -euo pipefail
build=$1 jobs=${2:-4}
shift $(($# < 2 ? $# : 2))
known=$(dirname "$0")/../KNOWN-RED.txt
folder=$(mktemp -d)
export build folder known
play() {
    local row=$1
    shift
    if "$build/crashes" --binary "$build/hawthornslip" --folder "$folder/$row" --row "$row" "$@" \
        >"$folder/$row.txt" 2>&1; then
        echo "$(<"$folder/$row.txt")"
    elif grep -qx "test: crashes $row" "$known"; then
        echo "known: $(cat "$folder/$row.txt")"
    else
        echo "$(<"$folder/$row.txt")"
        echo "$row" >>"$folder/failed"
    fi
}
export -f play
"$build/crashes" --list | xargs -P "$jobs" -I{} bash -c 'play "$@"' _ {} "$@"
if [ -e "$folder/failed" ]; then
    echo "logs: $folder" >&2
    exit 1
fi
rm -rf "$folder"
