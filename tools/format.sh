#!/usr/bin/env bash
# Formats all sources; with --check only reports the files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^proto/generated/' | while read -r it; do [ -e "$it" ] && echo "$it"; done)
if [ "${1:-}" = --check ]; then
    echo "$files" | xargs -r clang-format --dry-run --Werror
else
    echo "$files" | xargs -r clang-format -i
fi
