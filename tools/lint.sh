#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those named, with the compile commands of build/release.
# The fuzz targets are no part of that build.
# A file whose content and configuration passed before is skipped by the checksum cache in build/lint.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -vE '^(proto/generated|tests/fuzz)/')
fi
mkdir -p build/lint
headers=$(git ls-files --cached --others --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
export headers
lint_one() {
    local key
    key=$(sha256sum <"$1" | cut -c1-16)
    [ -e "build/lint/$headers-$key" ] && return 0
    clang-tidy -p build/release --quiet "$1" 2>/dev/null && touch "build/lint/$headers-$key"
}
export -f lint_one
printf '%s\0' "${files[@]}" | xargs -0 -P "${JOBS:-8}" -I{} bash -c 'lint_one {}'
