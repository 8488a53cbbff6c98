#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start beside the gateways: stand-ins in Python, which need the environment
# that the deploy file's build makes and nothing else. Checks that all of it can be imported.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/lib2
PYTHONPATH=review/lib2:. .venv/bin/python -c "import common, objects, platform_rig"
