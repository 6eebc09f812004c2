#!/bin/sh
# Formats the code, applies the automatic fixes of the linter and runs flake8.
set -eu
cd "$(dirname "$0")/.."
bin="$(dirname "$(sh scripts/prepare.sh | tail -n 1)")"
"$bin/ruff" format --quiet .
"$bin/ruff" check --fix --quiet .
exec "$bin/flake8" src tests benchmarks
