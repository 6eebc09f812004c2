#!/bin/sh
# Installs the libraries, then runs the formatter check, the linters and the
# tests, by default all of them.
set -eu
cd "$(dirname "$0")/.."
python="$(sh scripts/prepare.sh | tail -n 1)"
bin="$(dirname "$python")"
export PYTHONPATH="$PWD/src:$PWD" PYTHONHASHSEED=0 PYTHONDONTWRITEBYTECODE=1
"$bin/ruff" format --check .
"$bin/ruff" check .
"$bin/flake8" src tests benchmarks scripts
exec "$python" -W ignore::ResourceWarning -m tests.runner "$@"
