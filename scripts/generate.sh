#!/bin/sh
# Generates the Python code of the mesh messages; the output is committed.
set -eu
cd "$(dirname "$0")/.."
python="$(sh scripts/prepare.sh | tail -n 1)"
"$python" -m grpc_tools.protoc -I src --python_out=src --pyi_out=src \
    --grpc_python_out=src src/monsoonwall/mesh/wire/*.proto
