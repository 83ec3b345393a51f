#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file. The stand-ins are plain modules of Node, so that
# nothing is compiled; this checks that each can be read, and that the bundle is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/rig/*.mjs review/[0-9]/*.mjs; do node --check "$file"; done
test -f target/tillerstair.cjs || node platform/build.mjs
