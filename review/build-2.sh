#!/bin/sh
# Check what the scripts of this review start: the proxy, which the deploy file
# builds, and the stand-ins, which need the standard library alone.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/topazring
for file in review/common-2/stage.py review/[4568]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
