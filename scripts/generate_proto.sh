#!/usr/bin/env bash
# Regenerates the protobuf-c sources, which are committed, from
# sapphireweir.proto.
set -euo pipefail
cd "$(dirname "$0")/../src/sapphireweir/proto"
protoc-c --c_out=. sapphireweir.proto
