#!/bin/sh
# Formats the tree and mends what the linter can mend by itself.
set -eu
cd "$(dirname "$0")/.."
bin="$(dirname "$(sh scripts/prepare.sh | tail -n 1)")"
"$bin/ruff" format --quiet .
"$bin/ruff" check --fix --quiet .
exec "$bin/flake8" src tests benchmarks
