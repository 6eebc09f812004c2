#!/bin/sh
# The stand-ins of the cases need only the standard library of Python: this
# checks that it is there and that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('the stand-ins need Python 3.11 or later')
for path in (
    *Path('harness-2').glob('*.py'),
    *Path().glob('[6-9]/case.py'),
    *Path().glob('10/case.py'),
):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PYTHON
