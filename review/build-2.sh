#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file. Their stand-ins are plain
# JavaScript without dependencies, so there is nothing to compile: this checks their syntax.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
