#!/usr/bin/env bash
# Generates the C++ code of the peer messages; its output is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p proto/generated
protoc --proto_path=proto --cpp_out=proto/generated proto/peer.proto proto/gateway.proto
