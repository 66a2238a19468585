#!/usr/bin/env bash
# Plays the crowds of misbehaving connections: tools/crowds.sh BUILD [options of the program].
# Prints a line a crowd; exit 1 when a gateway broke a promise.
set -euo pipefail
build=$1
shift
folder=$(mktemp -d)
if "$build/crowds" --binary "$build/hawthornslip" --folder "$folder" "$@"; then
    rm -rf "$folder"
else
    echo "logs: $folder" >&2
    exit 1
fi
