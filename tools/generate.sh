#!/usr/bin/env bash
# Writes the code generated from proto/ into src/connection/peer/generated; it is committed, so that the build
# needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/connection/peer/generated
protoc -I proto/cardamomstream --cpp_out="$out" --grpc_out="$out" \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/cardamomstream/peer.proto
