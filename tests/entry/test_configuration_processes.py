"""Test configuration changes while hosts and the platform fail."""

import signal
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256

from tests.standins.deployment import Deployment, start_small, wait_until

HOSTS = ('entry-0', 'entry-1', 'entry-2', 'entry-3')
CALL = {'model': 'hotline', 'prompt': 'hi', 'max_tokens': 3}
# Far longer than a change may take to be in force on all hosts.
SPREAD_SECONDS = 15


class ConfigurationProcessesTest(unittest.TestCase):
    """Run four entry hosts in three zones.

    Hosts must agree on the configuration of each number, never return to an
    older one, and reserve nothing under one that may be outdated.
    """

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(Deployment())
        start_small(cls.deployment, engines=1, ledgers=1, entries=4)

    def setUp(self):
        self.base = self.read_number('entry-0')
        self.wait_number(self.base, *HOSTS)

    def tearDown(self):
        self.deployment.control('platform')
        number = max(map(self.read_number, HOSTS))
        self.wait_number(number, *HOSTS)

    def patch(self, host, base, weight, patch_id=None):
        """Submit a patch; return its outcome."""
        body = {
            'base': base,
            'patch_id': patch_id or f'{host}-{base}-{weight}',
            'patch': {'workspaces': {'depot': {'weight': weight}}},
        }
        reply = self.deployment.send(host, 'POST', '/admin/patch', body)
        return reply.read_json()

    def patch_next(self, host='entry-0'):
        """Submit a patch based on the host's number; return its outcome."""
        base = self.read_number(host)
        return self.patch(host, base, base)

    def read_number(self, host):
        reply = self.deployment.send(host, 'GET', '/health')
        return reply.read_json()['configuration']

    def wait_number(self, number, *hosts):
        for host in hosts:
            reached = wait_until(
                lambda name=host: self.read_number(name) == number,
                SPREAD_SECONDS,
            )
            self.assertTrue(reached, f'{host} does not have {number} in force')

    def call(self, host):
        reply = self.deployment.send(host, 'POST', '/v1/completions', CALL)
        return reply.status

    def reserve(self, host, key):
        """Reserve stock; return the error code, or None."""
        reply = self.deployment.send(
            host,
            'POST',
            '/services/ledger/reservations',
            {'packets': 1},
            {'Idempotency-Key': f'{self.id()} {key}'},
        ).read_json()
        return reply.get('error', {}).get('code')

    def restart(self, host, *flags):
        zone = self.deployment.zones[HOSTS.index(host) % 3]
        self.deployment.kill(host)
        self.deployment.start_entry(host, zone, *flags)

    def test_concurrent_patches(self):
        for base in range(self.base, self.base + 3):
            with ThreadPoolExecutor(len(HOSTS)) as pool:
                outcomes = list(
                    pool.map(
                        lambda host, number=base: self.patch(
                            host, number, HOSTS.index(host) + 1
                        ),
                        HOSTS,
                    )
                )
            endings = Counter(outcome['ending'] for outcome in outcomes)
            self.assertEqual(endings, {'accepted': 1, 'refused': 3})
            for outcome in outcomes:
                self.assertEqual(outcome['number'], base + 1)
            self.wait_number(base + 1, *HOSTS)
        documents = {
            self.deployment.send(host, 'GET', '/admin/configuration').body
            for host in HOSTS
        }
        self.assertEqual(len(documents), 1)

    def test_lost_responses(self):
        expected = ('accepted', self.base + 1)
        self.deployment.control('platform', lose_responses=True)
        for host in ('entry-0', 'entry-1'):
            outcome = self.patch(host, self.base, 5, 'sent-twice')
            result = (outcome['ending'], outcome['number'])
            self.assertEqual(result, expected)
            self.wait_number(self.base + 1, *HOSTS)

    def test_outage(self):
        self.patch_next()
        self.wait_number(self.base + 1, *HOSTS)
        self.assertTrue(
            wait_until(lambda: self.reserve('entry-1', 'before') is None)
        )
        self.deployment.control('platform', outage=True)
        outcome = self.patch_next()
        self.assertEqual(outcome['ending'], 'platform_unavailable')
        self.restart('entry-3')
        self.deployment.wait_ready('entry-3')
        self.assertEqual(self.read_number('entry-3'), self.base + 1)
        stopped = wait_until(
            lambda: self.reserve('entry-3', 'out') == 'configuration_too_old'
        )
        self.assertTrue(
            stopped, 'reservations go on under an unconfirmed number'
        )
        self.assertEqual(self.call('entry-3'), 200)
        self.deployment.control('platform')
        self.assertTrue(
            wait_until(lambda: self.reserve('entry-3', 'after') is None)
        )

    def test_large_configuration_in_an_outage(self):
        # Hashes do not compress, so this is too large for an announcement.
        workspaces = {
            f'depot-{index}': {
                'api_key_sha256': sha256(str(index).encode()).hexdigest()
            }
            for index in range(400)
        }
        body = {
            'base': self.base,
            'patch_id': 'large',
            'patch': {'workspaces': workspaces},
        }
        self.deployment.send('entry-0', 'POST', '/admin/patch', body)
        self.wait_number(self.base + 1, *HOSTS)
        self.deployment.control('platform', outage=True)
        self.restart('entry-3')
        self.deployment.wait_ready('entry-3')
        self.assertEqual(self.read_number('entry-3'), self.base + 1)

    def test_restart_behind_a_stale_read(self):
        for _ in range(2):
            self.patch_next()
        self.wait_number(self.base + 2, *HOSTS)
        self.deployment.control('platform', stale_reads=2)
        self.restart('entry-3')
        self.deployment.wait_ready('entry-3')
        self.assertEqual(self.read_number('entry-3'), self.base + 2)

    def test_partitioned_host_and_frozen_host(self):
        isolated = self.start_isolated('entry-3')
        self.assertIsNone(self.reserve('entry-3', 'before'))
        # From now on entry-3 reaches neither the platform nor its peers.
        isolated.control('platform', outage=True)
        self.deployment.signal('entry-2', signal.SIGSTOP)
        self.addCleanup(self.deployment.signal, 'entry-2', signal.SIGCONT)
        outcome = self.patch_next()
        self.assertEqual(outcome['ending'], 'accepted')
        self.assertEqual(self.call('entry-3'), 200)
        # From this time on, no host may reserve under an earlier number.
        time.sleep(max(0, outcome['settled_wall'] - time.time()))
        self.assertEqual(self.read_number('entry-3'), self.base)
        self.assertEqual(self.call('entry-3'), 200)
        self.assertEqual(
            self.reserve('entry-3', 'cut'), 'configuration_too_old'
        )
        self.deployment.signal('entry-2', signal.SIGCONT)
        if self.reserve('entry-2', 'thawed') is None:
            self.assertEqual(self.read_number('entry-2'), self.base + 1)
        self.wait_number(self.base + 1, 'entry-2')
        self.deployment.ports['entry-3'] = self.original_port
        self.deployment.start_entry('entry-3', 'zone-a')
        self.wait_number(self.base + 1, *HOSTS)

    def start_isolated(self, host):
        """Restart a host with a platform of its own and without peers.

        That platform gets a copy of the configuration, so the host can
        confirm its number there until the platform has an outage.
        """
        self.deployment.kill(host)
        isolated = self.enterContext(Deployment())
        isolated.start_platform()
        stored = self.deployment.send(
            'platform', 'GET', '/objects/configuration/current'
        )
        isolated.put_configuration(stored.read_json())
        isolated.start_entry(host, 'zone-a')
        isolated.wait_ready(host)
        self.original_port = self.deployment.ports[host]
        self.deployment.ports[host] = isolated.ports[host]
        return isolated

    def test_unreadable_object(self):
        self.deployment.send(
            'platform',
            'PUT',
            '/objects/configuration/current',
            'no configuration',
            {'If-Match': self.read_version()},
        )
        reported = wait_until(lambda: self.read_problems('entry-0'))
        self.assertTrue(reported, 'the unreadable object was not reported')
        numbers = {self.read_number(host) for host in HOSTS}
        self.assertEqual(numbers, {self.base})
        repaired = self.patch('entry-1', self.base, 5)
        self.assertEqual(repaired['ending'], 'accepted', repaired)
        self.wait_number(self.base + 1, *HOSTS)

    def read_version(self):
        reply = self.deployment.send(
            'platform', 'GET', '/objects/configuration/current'
        )
        return reply.headers['X-Object-Version']

    def read_problems(self, host):
        reply = self.deployment.send(host, 'GET', '/admin/status')
        return reply.read_json()['configuration']['problems']
