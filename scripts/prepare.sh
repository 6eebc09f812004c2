#!/bin/sh
# Creates the virtual environment and installs the declared libraries.
# MONSOONWALL_VENV names another folder for it, shared by several checkouts.
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
