"""Run the command line from a checkout, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from monsoonwall.__main__ import run

if __name__ == '__main__':
    sys.exit(run())
