"""Test the loss of entry hosts in the middle of answers."""

import signal
import unittest
from http.client import HTTPConnection

from msgspec import json

from tests.standins.callers import Caller
from tests.standins.deployment import (
    API_KEY,
    Deployment,
    start_small,
    wait_until,
)
from tests.standins.engine import make_token

ANSWER_TOKENS = 60
PROMPT = 'list the packets of the depot'
COMPLETION = {'prompt': PROMPT, 'max_tokens': ANSWER_TOKENS, 'seed': 7}
WHOLE_ANSWER = ''.join(
    make_token(7, PROMPT, position) for position in range(ANSWER_TOKENS)
)
ENTRIES = ('entry-0', 'entry-1', 'entry-2', 'entry-3')


def read_sample(deployment, name, metric):
    """Return the value of a sample in a host's metrics, 0 if missing."""
    lines = deployment.send(name, 'GET', '/metrics').body.decode().splitlines()
    found = [line for line in lines if line.startswith(f'{metric} ')]
    return float(found[0].split()[-1]) if found else 0


class EntryHostLossTest(unittest.TestCase):
    """Run four entry hosts, and stop or freeze one that sends an answer.

    The caller must get the rest of the same answer from another host.
    """

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(Deployment())
        start_small(
            cls.deployment,
            ledgers=0,
            entries=len(ENTRIES),
            flags=('--drain_seconds=1.5',),
        )
        for index in range(3):
            cls.deployment.control(f'engine-{index}', token_seconds=0.03)

    def setUp(self):
        for index, name in enumerate(ENTRIES):
            if name not in self.deployment.processes:
                zone = self.deployment.zones[index % 3]
                self.deployment.start_entry(name, zone, '--drain_seconds=1.5')
        self.deployment.wait_ready(*ENTRIES)
        for name in ENTRIES:
            self.assertTrue(
                wait_until(lambda host=name: self.makes_copies(host))
            )
        self.caller = Caller()

    def makes_copies(self, name):
        """Return whether a host copies its requests to a peer."""
        reply = self.deployment.send(
            name,
            'POST',
            '/v1/completions',
            {'model': 'hotline', 'prompt': 'hi', 'max_tokens': 1},
        )
        return '~' in reply.headers['X-Request-Id']

    def count_tokens(self, name):
        metric = 'monsoonwall_tokens_total{service="assistant"}'
        return read_sample(self.deployment, name, metric)

    def start_stream(self, name, tokens=10):
        """Start a stream and read its first tokens.

        Return the holder of the request's copy and an uninvolved host.
        """
        self.caller.begin(self.deployment.ports[name], **COMPLETION)
        self.caller.read(tokens)
        hosts = self.caller.request_id.rpartition('.')[0]
        holder = hosts.partition('~')[2]
        self.assertIn(holder, ENTRIES)
        others = [host for host in ENTRIES if host not in {name, holder}]
        return holder, others[0]

    def resume_to_end(self, name):
        self.caller.resume(self.deployment.ports[name])
        self.caller.read()
        self.assertEqual(self.caller.errors, [])
        self.assertEqual(self.caller.text, WHOLE_ANSWER)
        self.assertTrue(self.caller.done)

    def test_killed_host(self):
        holder, other = self.start_stream('entry-0')
        tokens_before = self.count_tokens(holder)
        self.deployment.kill('entry-0')
        self.caller.read()
        self.assertFalse(self.caller.done)
        self.resume_to_end(other)
        # The holder had a part of the answer and did not generate it again.
        self.assertLess(
            self.count_tokens(holder) - tokens_before, ANSWER_TOKENS
        )

    def test_frozen_host(self):
        _, other = self.start_stream('entry-0')
        self.deployment.signal('entry-0', signal.SIGSTOP)
        self.addCleanup(self.deployment.kill, 'entry-0')
        self.resume_to_end(other)

    def test_host_and_holder_killed_one_after_the_other(self):
        holder, other = self.start_stream('entry-0', tokens=5)
        self.deployment.kill('entry-0')
        self.caller.read()
        self.caller.resume(self.deployment.ports[other])
        self.caller.read(25)
        self.deployment.kill(holder)
        self.caller.read()
        self.assertEqual(self.caller.errors, [])
        self.assertEqual(self.caller.text, WHOLE_ANSWER)
        self.assertTrue(self.caller.done)

    def test_caller_resumes_on_another_host_while_owner_lives(self):
        _, other = self.start_stream('entry-0')
        self.caller.close()
        self.resume_to_end(other)
        self.assertEqual(
            read_sample(
                self.deployment,
                other,
                'monsoonwall_takeovers_total{reason="owner_gone"}',
            ),
            0,
        )

    def test_graceful_shutdown(self):
        holder, other = self.start_stream('entry-0', tokens=1)
        connection = self.request_whole_answer('entry-0')
        self.deployment.signal('entry-0', signal.SIGTERM)
        self.caller.read()
        self.assertTrue(self.caller.handed_over)
        self.resume_to_end(other)
        reply = connection.getresponse()
        self.assertEqual(reply.status, 303)
        location = reply.getheader('Location')
        connection.close()
        reply = self.deployment.send(other, 'GET', location).read_json()
        self.assertEqual(reply['choices'][0]['text'], WHOLE_ANSWER)
        taken_over = 'monsoonwall_takeovers_total{reason="handed_over"}'
        self.assertGreater(read_sample(self.deployment, holder, taken_over), 0)
        process = self.deployment.processes.pop('entry-0')
        self.assertEqual(process.wait(timeout=20), 0)

    def request_whole_answer(self, name):
        """Request an answer as one body; return once it is being generated."""
        connection = HTTPConnection(
            '127.0.0.1', self.deployment.ports[name], timeout=20
        )
        body = json.encode({'model': 'hotline', **COMPLETION})
        key = {'Authorization': f'Bearer {API_KEY}'}
        connection.request('POST', '/v1/completions', body, key)
        self.assertTrue(wait_until(lambda: self.count_streams() == 2))
        return connection

    def count_streams(self):
        engines = [f'engine-{index}' for index in range(3)]
        reports = [
            self.deployment.send(engine, 'GET', '/control')
            for engine in engines
        ]
        return sum(report.read_json()['running'] for report in reports)

    def test_diverged_answer_is_refused(self):
        _, other = self.start_stream('entry-0')
        self.caller.close()
        request_id, offset, _ = self.caller.last_event_id.split(':')
        self.caller.last_event_id = f'{request_id}:{offset}:0123456789abcdef'
        self.caller.resume(self.deployment.ports[other])
        self.caller.read()
        self.assertEqual(self.caller.errors, ['answer_diverged'])

    def test_unknown_request(self):
        reply = self.deployment.send(
            'entry-1', 'GET', '/v1/requests/entry-9~entry-8.0123'
        )
        self.assertEqual(reply.status, 404)
