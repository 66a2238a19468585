#!/usr/bin/env bash
# Runs the fault matrix with the programs of a build folder. Further arguments go to the program,
# for example: tools/matrix.sh build/release --replay 17
set -euo pipefail
build=$1
shift
exec "$build/matrix" --jobs "${JOBS:-4}" "$@"
