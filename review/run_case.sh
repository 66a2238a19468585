#!/usr/bin/env bash
# Runs the program of case $1: 1 = the rule was broken, 0 = it held, 2 = the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=target/review/case-$1
if [ ! -x target/hawthornslip ] || [ ! -x "$program" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout --kill-after=2 115 "$program" "review/$1/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
