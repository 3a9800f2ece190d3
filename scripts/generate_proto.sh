#!/usr/bin/env bash
# Regenerates the committed protobuf-c code from the .proto file.
set -euo pipefail
cd "$(dirname "$0")/../src/sapphireweir/proto"
protoc-c --c_out=. sapphireweir.proto
