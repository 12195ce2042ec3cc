#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code from proto/*.proto. Run it after an edit of these files.
# Needs the Debian packages protobuf-compiler and protobuf-compiler-grpc, which the build does not need.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
