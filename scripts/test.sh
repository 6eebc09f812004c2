#!/bin/sh
# Sets up what the tests need, then runs the checks and every test.
set -eu
cd "$(dirname "$0")/.."
python="$(sh scripts/prepare.sh | tail -n 1)"
bin="$(dirname "$python")"
export PYTHONPATH="$PWD/src:$PWD" PYTHONHASHSEED=0 PYTHONDONTWRITEBYTECODE=1
"$bin/ruff" format --check .
"$bin/ruff" check .
"$bin/flake8" src tests benchmarks scripts
exec "$python" -W ignore::ResourceWarning -m tests.runner "$@"
