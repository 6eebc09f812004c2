#!/bin/sh
# Checks the stand-ins, which are Python without libraries.
set -eu
cd "$(dirname "$0")"
python3 - harness/*.py ./*/case.py <<"CHECK"
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK
