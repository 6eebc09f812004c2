"""Offer monsoonwall's command line."""

import sys
from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

from monsoonwall.commands.entry import run_entry

COMMANDS: Final = MappingProxyType(
    {
        'entry': run_entry,
    }
)
USAGE: Final = """\
usage: monsoonwall COMMAND [--flags]

commands:
  entry    serve callers on this entry host

Every flag can be given as an environment variable MONSOONWALL_<FLAG>.
"""


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the named command and return the exit status."""
    given = sys.argv[1:] if arguments is None else arguments
    if not given or given[0] in {'-h', '--help', 'help'}:
        sys.stdout.write(USAGE)
        return 0 if given else 2
    command = COMMANDS.get(given[0])
    if command is None:
        sys.stderr.write(f'no command {given[0]!r}\n{USAGE}')
        return 2
    return command(given[1:])


if __name__ == '__main__':
    sys.exit(run())
