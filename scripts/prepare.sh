#!/bin/sh
# Creates the virtual environment and installs the libraries that
# pyproject.toml declares. MONSOONWALL_VENV gives another path for the
# environment, so that several checkouts can share it. Prints the path of its
# Python.
set -eu
cd "$(dirname "$0")/.."
venv="${MONSOONWALL_VENV:-$PWD/.venv}"
stamp="$venv/.monsoonwall-$(cksum < pyproject.toml | cut -d' ' -f1)"
if [ ! -e "$stamp" ]; then
    [ -x "$venv/bin/python" ] || python3 -m venv "$venv"
    "$venv/bin/python" -m pip install --quiet --editable '.[dev]'
    touch "$stamp"
fi
echo "$venv/bin/python"
