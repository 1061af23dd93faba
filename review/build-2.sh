#!/bin/sh
# Builds what the scripts of the second review start, after the build of the
# deploy file: the project's stand-ins lie beside its programs in target/deps.
set -eu
cd "$(dirname "$0")/.."
cp -r src/wigeonpier/bench target/deps/wigeonpier/
python3 -m compileall -q target/deps/wigeonpier/bench
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -c 'import harness2'
