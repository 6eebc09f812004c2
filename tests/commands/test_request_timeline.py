"""Test merging the logs of several hosts into one timeline."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from msgspec import json

from monsoonwall.commands.explain import run_explain
from monsoonwall.request_timeline import (
    build_timeline,
    format_timeline,
    read_log,
)

REQUEST_ID = '9d89165c0ecf8386'


def format_line(second, message, **fields):
    time = f'2026-12-04T10:00:{second:09.6f}+0000'
    return json.encode(
        {'time': time, 'level': 'INFO', **fields, 'message': message}
    ).decode()


EDGE_1_LOG = (
    format_line(1, 'Configuration adopted.', revision=4),
    format_line(9, 'Configuration adopted.', revision=46),
    'a line of a library',
    '{"time":"cut',
    format_line(
        12,
        'Sending failed.',
        request_id=REQUEST_ID,
        server='i-7',
        ending='crashed',
    ),
    format_line(
        12.5,
        'Request ended.',
        request_id=REQUEST_ID,
        effect='unknown',
        sendings='i-7:crashed',
    ),
    format_line(13, 'Server entry removed.', server='i-7', revision=50),
    format_line(13, 'Server entry removed.', server='i-8', revision=51),
    format_line(40, 'Configuration adopted.', revision=60),
)
EDGE_2_LOG = (
    format_line(2, 'Configuration adopted.', revision=46),
    format_line(
        11,
        'Request refused at entrance.',
        request_id=REQUEST_ID,
        reason='workspace_limit',
    ),
    format_line(11.2, 'Lines left out.', count=7),
)


class RequestTimelineTest(unittest.TestCase):
    """Check the lines of a timeline and the facts listed as unknown."""

    def build(self, request_id=REQUEST_ID):
        lines = [
            *read_log('edge-1', EDGE_1_LOG),
            *read_log(
                'edge-2', (f'  11.0 edge-2 {line}' for line in EDGE_2_LOG)
            ),
        ]
        return build_timeline(request_id, lines)

    def test_lines_of_all_hosts_in_order(self):
        events = [
            (line.host, line.message, line.fields.get('revision'))
            for line in self.build().lines
        ]
        self.assertEqual(
            events,
            [
                ('edge-1', 'Configuration adopted.', 46),
                ('edge-2', 'Configuration adopted.', 46),
                ('edge-2', 'Request refused at entrance.', None),
                ('edge-2', 'Lines left out.', None),
                ('edge-1', 'Sending failed.', None),
                ('edge-1', 'Request ended.', None),
                ('edge-1', 'Server entry removed.', 50),
            ],
        )

    def test_unknown_facts_are_listed(self):
        unknown = self.build().unknown
        self.assertEqual(len(unknown), 2)
        self.assertIn('i-7:crashed', unknown[0])
        self.assertIn('7 lines', unknown[1])

    def test_request_without_an_end(self):
        timeline = build_timeline(
            REQUEST_ID, read_log('edge-1', EDGE_1_LOG[:5])
        )
        self.assertIn('how it ended', timeline.unknown[0])

    def test_request_that_no_host_logged(self):
        timeline = self.build('other')
        self.assertEqual(timeline.lines, ())
        self.assertIn('Not known: no host', format_timeline(timeline))


class ExplainLogsTest(unittest.TestCase):
    """Run ``explain`` on log files."""

    def explain_logs(self, *log_files):
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            status = run_explain((REQUEST_ID, *log_files))
        return status, output.getvalue(), errors.getvalue()

    def test_files_are_joined(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'edge-1.log')
            path.write_text('\n'.join(EDGE_1_LOG), encoding='utf-8')
            status, output, _ = self.explain_logs(str(path))
        self.assertEqual(status, 0)
        self.assertIn('10:00:12.500 edge-1 Request ended.', output)

    def test_missing_files_are_named(self):
        status, _, errors = self.explain_logs('/nowhere/edge.log')
        self.assertEqual(status, 2)
        self.assertIn('/nowhere/edge.log', errors)
        status, _, errors = self.explain_logs()
        self.assertIn('log files', errors)
