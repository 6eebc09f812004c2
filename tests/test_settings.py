"""Read settings from flags and environment variables."""

import unittest

from monsoonwall.settings import (
    check_entry_settings,
    define_entry_flags,
    read_settings,
)

GOOD = ('--host_name=entry-1', '--zone=a', '--platform_address=127.0.0.1:1')


def read(*arguments, **environment):
    """Return an entry host's settings or findings."""
    return read_settings(
        define_entry_flags, check_entry_settings, arguments, environment
    )


class SettingsTest(unittest.TestCase):
    """Take what is right and report all that is wrong."""

    def test_flag_overrides_environment_variable(self):
        settings = read(
            *GOOD,
            '--zone=b',
            MONSOONWALL_ZONE='c',
            MONSOONWALL_PEERS='127.0.0.1:2,127.0.0.1:3',
        ).unwrap()
        self.assertEqual(settings.zone, 'b')
        self.assertEqual(settings.peers, ('127.0.0.1:2', '127.0.0.1:3'))

    def test_all_findings_are_reported_together(self):
        findings = read(
            '--host_name=entry-1',
            '--listen_address=nowhere',
            '--drain_seconds=-1',
            '--no_such_flag=1',
            'word',
            MONSOONWALL_MAX_BODY_BYTES='many',
        ).failure()
        self.assertEqual(
            sorted({finding.place for finding in findings}),
            [
                '--drain_seconds',
                '--listen_address',
                '--no_such_flag',
                '--platform_address',
                '--zone',
                'MONSOONWALL_MAX_BODY_BYTES',
            ],
        )

    def test_positional_argument_is_reported(self):
        findings = read(*GOOD, 'word').failure()
        self.assertEqual([finding.place for finding in findings], ['word'])
