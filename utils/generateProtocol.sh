#!/usr/bin/env bash
# Generates packages/protocol/src/generated from inner.proto. The generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/../packages/protocol"
npm exec --yes --package=@bufbuild/buf@1.75.0 --package=ts-proto@2.7.0 -- buf generate
