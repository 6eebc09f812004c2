"""Offer monsoonwall's command line."""

import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pkgutil import resolve_name
from types import MappingProxyType
from typing import Any, Final

from absl.flags import FlagValues

from monsoonwall.settings import USAGE_STATUS, describe_flags

_HELP_WORDS: Final = frozenset(('-h', '--help', 'help'))


@dataclass(frozen=True)
class Command:
    """Describe a subcommand.

    One that ``serves`` runs until it is asked to stop. Its functions are named
    as ``module:function`` below ``monsoonwall`` and imported when they are
    called, so that a process loads its own part alone.
    """

    summary: str
    flags_path: str
    run_path: str
    exit_statuses: str
    serves: bool = False

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags of the subcommand."""
        define: Callable[[FlagValues], None] = _load(self.flags_path)
        define(values)

    def run(self, arguments: Sequence[str]) -> int:
        """Run the subcommand and return the exit status."""
        run_command: Callable[[Sequence[str]], int] = _load(self.run_path)
        return run_command(arguments)


def _load(path: str) -> Any:
    return resolve_name(f'monsoonwall.{path}')


COMMANDS: Final[Mapping[str, Command]] = MappingProxyType(
    {
        'entry': Command(
            'serve callers on this entry host',
            'settings:define_entry_flags',
            'commands.entry:run_entry',
            '0 after a graceful shutdown, 2 wrong settings',
            serves=True,
        ),
        'gateway': Command(
            "serve callers on a machine of the users' platform",
            'commands.gateway:define_gateway_flags',
            'commands.gateway:run_gateway',
            '0 after a graceful shutdown, 2 wrong settings',
            serves=True,
        ),
        'patch': Command(
            'submit a patch against a numbered configuration',
            'commands.patch:define_patch_flags',
            'commands.patch:run_patch',
            '0 accepted, 1 not accepted, 2 wrong usage, 3 unknown',
        ),
        'status': Command(
            'show what is in force and how moves stand',
            'settings:define_operator_flags',
            'commands.status:run_status',
            '0 shown, 2 wrong usage, 3 no answer from the entry host',
        ),
        'explain': Command(
            'explain where a call goes, or what became of a request',
            'commands.explain:define_explain_flags',
            'commands.explain:run_explain',
            '0 shown, 2 wrong usage, 3 no answer from the entry host',
        ),
        'check': Command(
            'check a configuration file without any host',
            'commands.check:define_check_flags',
            'commands.check:run_check',
            '0 no findings, 1 findings, 2 wrong usage',
        ),
        'version': Command(
            'print the version of the program',
            'commands.version:define_no_flags',
            'commands.version:run_version',
            '0 always',
        ),
    }
)


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the named command and return the exit status."""
    argv = sys.argv[1:] if arguments is None else arguments
    if not argv:
        sys.stderr.write(_describe_usage())
        return USAGE_STATUS
    if argv[0] in _HELP_WORDS:
        sys.stdout.write(_describe_usage())
        return 0
    command = COMMANDS.get(argv[0])
    if command is None:
        sys.stderr.write(f'no command {argv[0]!r}\n{_describe_usage()}')
        return USAGE_STATUS
    if _HELP_WORDS.intersection(argv[1:]):
        sys.stdout.write(_describe_command(argv[0], command))
        return 0
    if command.serves:
        # A reload may be asked for before the role can take in signals.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return command.run(argv[1:])


def _describe_usage() -> str:
    lines = ''.join(
        f'  {name:<9}{command.summary}\n' for name, command in COMMANDS.items()
    )
    return (
        'usage: monsoonwall COMMAND [--flags]\n\n'
        f'commands:\n{lines}\n'
        'monsoonwall COMMAND --help lists the flags of a command.\n'
        'Every flag can be given as an environment variable '
        'MONSOONWALL_<FLAG>.\n'
    )


def _describe_command(name: str, command: Command) -> str:
    flags = describe_flags(command.define_flags)
    return (
        f'usage: monsoonwall {name} [--flags]\n\n{command.summary}\n\n'
        f'flags:\n{flags}\n\nexit status: {command.exit_statuses}\n'
    )


if __name__ == '__main__':
    sys.exit(run())
