#!/usr/bin/env bash
# Installs the Debian packages that the build needs and unpacks the headers of prometheus-cpp.
# Does nothing when everything is in place.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(
    g++ cmake ninja-build make pkg-config ccache clang-14 clang-format clang-tidy libclang-rt-14-dev
    libulfius-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libtomlplusplus-dev
    libcli11-dev libfmt-dev libboost1.81-dev libcppunit-dev nlohmann-json3-dev libxxhash-dev
    liburcu-dev libsodium-dev libprometheus-cpp-core1.0 openssl)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "setup: installing ${missing[*]}" >&2
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}" >&2
fi

# prometheus-cpp-dev conflicts with libulfius-dev (each wants another libcurl package), so only its
# headers are unpacked; the run-time library is installed as a package above.
headers=build/prometheus
if [ ! -e "$headers/usr/include/prometheus/registry.h" ]; then
    mkdir -p "$headers"
    # The download runs as the unprivileged user _apt where it can write; the folder is ours.
    (cd "$headers" && apt-get download prometheus-cpp-dev >&2 && dpkg-deb -x prometheus-cpp-dev_*.deb .)
fi
