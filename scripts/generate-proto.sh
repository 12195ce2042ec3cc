#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code after an edit of proto/*.proto.
# Needs the Debian packages protobuf-compiler and protobuf-compiler-grpc; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
