#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
for file in cleatquay.cjs daemon.cjs standins.cjs; do
  [ -s "$here/../../target/$file" ] || { echo "target/$file is missing: run review/build.sh first." >&2; exit 2; }
done
exec node "$here/case.mjs"
