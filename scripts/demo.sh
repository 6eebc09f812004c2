#!/bin/sh
# Installs the libraries, then runs the example deployments on simulated
# servers.
set -eu
cd "$(dirname "$0")/.."
python="$(sh scripts/prepare.sh | tail -n 1)"
export PYTHONPATH="$PWD/src:$PWD"
exec "$python" -m scripts.demo "$@"
