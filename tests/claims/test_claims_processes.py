"""Test that real entry hosts run each reservation at most once."""

import signal
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.standins.deployment import Deployment, start_small, wait_until


class ReservationTest(unittest.TestCase):
    """Repeat reservations while hosts, services or the platform fail."""

    def setUp(self):
        self.deployment = self.enterContext(Deployment())
        start_small(self.deployment, engines=1, ledgers=2, entries=3)

    def reserve(self, host, key):
        return self.deployment.send(
            host,
            'POST',
            '/services/ledger/reservations',
            {'packets': 4},
            {'Idempotency-Key': key},
        )

    def count_executed(self, key):
        return sum(
            call['key'] == key
            for name in ('ledger-0', 'ledger-1')
            for call in self.deployment.send(
                name, 'GET', '/control'
            ).read_json()['executed']
        )

    def test_racing_callers(self):
        hosts = [f'entry-{number % 3}' for number in range(12)]
        with ThreadPoolExecutor(len(hosts)) as pool:
            replies = list(
                pool.map(lambda host: self.reserve(host, 'raced'), hosts)
            )
        self.assertEqual(self.count_executed('raced'), 1)
        granted = {reply.body for reply in replies if reply.status == 200}
        self.assertEqual(len(granted), 1)
        for reply in replies:
            if reply.status != 200:
                error = reply.read_json()['error']
                self.assertEqual(error['code'], 'already_in_progress', error)

    def test_call_with_a_lost_response_is_never_repeated(self):
        for name in ('ledger-0', 'ledger-1'):
            self.deployment.control(name, lose_responses=True)
        first = self.reserve('entry-0', 'lost').read_json()['error']
        self.assertEqual(first['effect'], 'unknown')
        for name in ('ledger-0', 'ledger-1'):
            self.deployment.control(name)
        again = self.reserve('entry-1', 'lost').read_json()['error']
        self.assertEqual(again['effect'], 'unknown')
        self.assertEqual(self.count_executed('lost'), 1)

    def test_busy_response_means_not_run_only_with_retry_after(self):
        for busy, effect in (
            ('with_retry_after', 'not_run'),
            ('without_retry_after', 'unknown'),
        ):
            for name in ('ledger-0', 'ledger-1'):
                self.deployment.control(name, busy=busy)
            error = self.reserve('entry-0', busy).read_json()['error']
            self.assertEqual(error['effect'], effect)
        for name in ('ledger-0', 'ledger-1'):
            self.deployment.control(name)
        self.assertEqual(
            self.reserve('entry-1', 'with_retry_after').status, 200
        )
        again = self.reserve('entry-1', 'without_retry_after').read_json()[
            'error'
        ]
        self.assertEqual(again['effect'], 'unknown')

    def test_platform_outage_is_refused_unrun(self):
        self.deployment.control('platform', outage=True)
        refused = self.reserve('entry-0', 'outage')
        self.assertEqual(refused.status, 503)
        error = refused.read_json()['error']
        self.assertEqual(error['effect'], 'not_run')
        self.assertIn('Retry-After', refused.headers)
        self.assertEqual(self.count_executed('outage'), 0)
        self.deployment.control('platform')
        self.assertEqual(self.reserve('entry-1', 'outage').status, 200)

    def test_paused_host_keeps_its_claim(self):
        for name in ('ledger-0', 'ledger-1'):
            self.deployment.control(name, slow_seconds=1)
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(self.reserve, 'entry-0', 'frozen')
            wait_until(lambda: self.count_executed('frozen'))
            self.deployment.signal('entry-0', signal.SIGSTOP)
            refused = self.reserve('entry-1', 'frozen').read_json()['error']
            self.deployment.signal('entry-0', signal.SIGCONT)
            reply = running.result()
        self.assertEqual(refused['effect'], 'unknown')
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.reserve('entry-1', 'frozen').body, reply.body)
        self.assertEqual(self.count_executed('frozen'), 1)

    def test_call_of_a_killed_host_has_unknown_effect(self):
        for name in ('ledger-0', 'ledger-1'):
            self.deployment.control(name, slow_seconds=30)
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(self.reserve, 'entry-0', 'killed')
            wait_until(lambda: self.count_executed('killed'))
            self.deployment.kill('entry-0')
            with self.assertRaises(OSError):
                running.result()
        refused = self.reserve('entry-1', 'killed').read_json()['error']
        self.assertEqual(refused['effect'], 'unknown')
        self.assertEqual(self.count_executed('killed'), 1)
