#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain ECMAScript modules without
# dependencies, so that only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */*.mjs; do
  node --check "$file"
done
