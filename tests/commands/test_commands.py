"""Test the operators' commands against an entry host process."""

import io
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from pathlib import Path

from msgspec import json

from monsoonwall.__main__ import COMMANDS, run
from tests.runner import ROOT
from tests.standins.deployment import Deployment, wait_until
from tests.standins.ports import find_free_port

EXAMPLE = ROOT / 'examples' / 'hivatal.json'


@dataclass(frozen=True)
class CommandResult:
    """Hold the exit status and the output of one command."""

    status: int
    out: str
    err: str


def run_command(*arguments):
    """Run a command in this process and capture its output."""
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        status = run(arguments)
    return CommandResult(status, out.getvalue(), err.getvalue())


class CommandsTest(unittest.TestCase):
    """Run the commands that call an entry host."""

    @classmethod
    def setUpClass(cls):
        cls.folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.deployment = cls.enterClassContext(Deployment())
        cls.deployment.start_platform()
        cls.deployment.start_entry('entry-0', 'budapest')
        port = cls.deployment.ports['entry-0']
        cls.address = f'--entry_address=127.0.0.1:{port}'
        wait_until(
            lambda: cls.deployment.send('entry-0', 'GET', '/health').status
        )

    def write_input_file(self, content):
        """Write a file and return the flag that names it."""
        path = Path(self.folder, 'input.json')
        path.write_bytes(
            content if isinstance(content, bytes) else json.encode(content)
        )
        return f'--file={path}'

    def patch(self, base, content, *flags):
        return run_command(
            'patch',
            self.address,
            f'--base={base}',
            self.write_input_file(content),
            *flags,
        )

    def test_patch_status_and_explain(self):
        initial_status = run_command('status', self.address)
        self.assertIn('number 0 on this host', initial_status.out)
        first = self.patch(0, EXAMPLE.read_bytes())
        self.assertEqual(first.status, 0, first)
        self.assertIn('accepted as number 1', first.out)
        second = self.patch(
            1,
            [
                {
                    'op': 'replace',
                    'path': '/routes/wheel-lookup/method',
                    'value': 'POST',
                }
            ],
            '--json_output',
        )
        outcome = json.decode(second.out)
        self.assertEqual(outcome['number'], 2)
        self.assertEqual(outcome['in_force'], {'hosts': 1, 'behind': []})
        self.assert_refusals()
        shown = run_command('status', self.address, '--json_output')
        section = json.decode(shown.out)['configuration']
        self.assertEqual((section['number'], section['current']), (2, True))
        explained = run_command('explain', self.address, '--route=wheel-lookup')
        self.assertIn('service: registry', explained.out)

    def assert_refusals(self):
        outdated = self.patch(1, {})
        self.assertEqual(outdated.status, 1)
        self.assertIn('number 2, not 1', outdated.out)
        wrong = self.patch(
            2,
            {
                'services': {'registry': {'active_version': 'v9'}},
                'routes': {'x': {'service': 'none'}},
            },
        )
        self.assertEqual(wrong.status, 1)
        self.assertIn('/routes/x/service: no service', wrong.out)
        self.assertIn('/services/registry/active_version: no', wrong.out)

    def test_unreachable_host(self):
        address = f'--entry_address=127.0.0.1:{find_free_port()}'
        for command in ('status', 'explain'):
            extra_flags = ['--route=x'] if command == 'explain' else []
            result = run_command(command, address, *extra_flags)
            self.assertEqual(result.status, 3, result)
        unanswered = run_command(
            'patch', address, '--base=1', self.write_input_file({})
        )
        self.assertEqual(unanswered.status, 3)
        self.assertIn('--patch_id=', unanswered.err)


class UsageTest(unittest.TestCase):
    """Check help texts, invalid usage and the offline commands."""

    def test_help(self):
        for name, command in COMMANDS.items():
            with self.subTest(name=name):
                shown = run_command(name, '--help')
                self.assertEqual(shown.status, 0)
                self.assertIn(command.exit_statuses, shown.out)
        self.assertEqual(run_command('--help').status, 0)
        self.assertEqual(run_command().status, 2)
        self.assertEqual(run_command('dance').status, 2)
        self.assertIn('monsoonwall', run_command('version').out)

    def test_invalid_usage(self):
        patch = run_command('patch', '--entry_address=x', '--wat=1')
        self.assertEqual(patch.status, 2)
        for place in ('--base', '--file', '--entry_address', '--wat'):
            self.assertIn(f'{place}: ', patch.err)
        self.assertEqual(run_command('explain').status, 2)
        self.assertEqual(run_command('status', '--wat').status, 2)
        self.assertEqual(run_command('entry').status, 2)

    def test_check(self):
        good = run_command('check', f'--file={EXAMPLE}')
        self.assertEqual(good.status, 0, good)
        with tempfile.NamedTemporaryFile() as broken:
            broken.write(b'{"services": 3, "x": 1}')
            broken.flush()
            bad = run_command('check', f'--file={broken.name}')
        self.assertEqual(bad.status, 1)
        self.assertEqual(len(bad.out.splitlines()), 2)
        self.assertEqual(run_command('check', '--file=/nowhere').status, 2)
