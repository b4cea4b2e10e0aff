#!/usr/bin/env bash
# Writes the code generated from proto/; it is committed, so that the build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
peer=src/connection/peer/generated
protoc -I proto/cardamomstream --cpp_out="$peer" --grpc_out="$peer" \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/cardamomstream/peer.proto
protoc -I proto/cardamomstream --cpp_out=src/process/deployment/generated proto/cardamomstream/vm_report.proto
