#!/bin/sh
# Builds the stand-ins that the scripts start: Python files without dependencies, compiled in the gateway's environment.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh scripts/build
.venv/bin/python -m compileall -q review
