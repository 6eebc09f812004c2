#!/bin/sh
# Sets up what is needed, then runs the example deployments on stand-ins.
set -eu
cd "$(dirname "$0")/.."
python="$(sh scripts/prepare.sh | tail -n 1)"
export PYTHONPATH="$PWD/src:$PWD"
exec "$python" -m scripts.demo "$@"
