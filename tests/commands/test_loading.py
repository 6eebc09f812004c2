"""Test that a command loads only the modules that it needs."""

import subprocess
import sys
import unittest

_LIST_MODULES = (
    'import sys, {module}; '
    'print(*[name for name in sys.modules if name.startswith("monsoonwall")])'
)
_RELOAD_AT_START = (
    'import monsoonwall.__main__ as program, os, signal; '
    'program._load = lambda _: lambda _: os.kill(os.getpid(), signal.SIGHUP); '
    'program.run(["{role}"])'
)


def list_modules(module):
    """Return the project's modules that importing ``module`` loads."""
    completed = subprocess.run(
        (sys.executable, '-c', _LIST_MODULES.format(module=module)),
        capture_output=True,
        check=True,
        text=True,
    )
    return set(completed.stdout.split())


class LoadingTest(unittest.TestCase):
    """Check what a new process loads, as hundreds may start at once."""

    def test_command_line_loads_no_command(self):
        loaded = list_modules('monsoonwall.__main__')
        commands = {name for name in loaded if '.commands.' in name}
        self.assertEqual(commands, set())

    def test_gateway_loads_no_entry_host(self):
        loaded = list_modules('monsoonwall.commands.gateway')
        self.assertNotIn('monsoonwall.entry.host', loaded)
        self.assertNotIn('monsoonwall.configuration.schema', loaded)

    def test_sighup_during_startup_does_not_stop_a_host(self):
        for role in ('entry', 'gateway'):
            code = _RELOAD_AT_START.format(role=role)
            completed = subprocess.run(
                (sys.executable, '-c', code), check=False
            )
            self.assertEqual(completed.returncode, 0, role)
