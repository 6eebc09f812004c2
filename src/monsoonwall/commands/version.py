"""Print the version of the program."""

import sys
from collections.abc import Sequence
from importlib.metadata import version

from absl.flags import FlagValues


def define_no_flags(values: FlagValues) -> None:
    """Define no flags."""


def run_version(arguments: Sequence[str]) -> int:
    """Print the version; return the exit status."""
    sys.stdout.write(f'monsoonwall {version("monsoonwall")}\n')
    return 0
