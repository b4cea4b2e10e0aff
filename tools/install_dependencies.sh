#!/usr/bin/env bash
# Installs the declared libraries when one is missing. Every package is named here and nowhere else.
set -euo pipefail
packages=(
    libboost-fiber1.81-dev libboost-json1.81-dev libboost-context1.81-dev libboost-system1.81-dev
    libgrpc++-dev protobuf-compiler protobuf-compiler-grpc prometheus-cpp-dev libtoml11-dev
    libspdlog-dev libcxxopts-dev catch2 librapidcheck-dev libbenchmark-dev libssl-dev libxxhash-dev
    ccache cmake ninja-build clang-format clang-tidy
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
