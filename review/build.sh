#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own store stand-in, which is bundled into target/standins.cjs
# together with the daemon. The other stand-ins are the .mjs files here, which need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent bundle
test -s target/standins.cjs
