"""Prove leases and orders with entry hosts that are frozen and stopped."""

import signal
import unittest

from tests.standins.deployment import (
    Deployment,
    make_document,
    send,
    wait_until,
)

ZONE = 'zone-a'
HOSTS = ('entry-0', 'entry-1')
STRICT, HEEDLESS = 'engine-0', 'engine-1'
LEASE_SECONDS = 4
# A successor waits a lease and an order; then it looks and orders.
TAKEOVER_SECONDS = 6 * LEASE_SECONDS
LEASE_PATH = f'/objects/leases/orders/{ZONE}/0'


class OrderProcessesTest(unittest.TestCase):
    """Run two entry hosts and two engines; one engine checks no number."""

    def setUp(self):
        self.deployment = self.enterContext(Deployment(zones=(ZONE,)))
        self.deployment.start_platform()
        for name in (STRICT, HEEDLESS):
            self.deployment.start_engine(name)
        self.deployment.control(HEEDLESS, ignore_fencing=True)
        self.declare('v2', 1)
        for name in HOSTS:
            self.deployment.start_entry(
                name, ZONE, f'--lease_seconds={LEASE_SECONDS}'
            )
        self.deployment.wait_ready(*HOSTS)

    def declare(self, version, number):
        document = make_document(self.deployment, (STRICT, HEEDLESS), ())
        service = document['services']['assistant']
        service['versions'][version] = {}
        service['active_version'] = version
        for server in document['backend_servers'].values():
            server['version'] = version
        path = '/objects/configuration/current'
        port = self.deployment.ports['platform']
        found = send(port, 'GET', path)
        headers = {'If-Match': found.headers.get('X-Object-Version', '')}
        send(
            port,
            'PUT',
            path,
            {**document, 'number': number},
            headers if found.status == 200 else None,
        )

    def wait_loaded(self, version):
        for name in (STRICT, HEEDLESS):
            loaded = wait_until(
                lambda one=name: version in self.read_versions(one),
                TAKEOVER_SECONDS,
            )
            self.assertTrue(loaded, f'{name} did not load {version}')

    def read_versions(self, name):
        return self.deployment.send(name, 'GET', '/load').read_json()[
            'versions'
        ]

    def read_lease(self):
        port = self.deployment.ports['platform']
        return send(port, 'GET', LEASE_PATH).read_json()

    def check_numbers(self, name, stale):
        """Past the successor's first order comes one stale one, ours."""
        told = self.deployment.send(name, 'GET', '/control').read_json()
        numbers = [order['fencing_number'] for order in told['orders']]
        first = next(at for at, one in enumerate(numbers) if one > stale)
        self.assertEqual(numbers[first:].count(stale), 1)

    def give_order(self, name, kind, number):
        order = {'kind': kind, 'subject': 'v3', 'fencing_number': number}
        return self.deployment.send(name, 'POST', '/orders', order).status

    def test_frozen_then_stopped_holder(self):
        self.wait_loaded('v2')
        before = self.read_lease()
        self.deployment.signal(before['holder'], signal.SIGSTOP)
        self.declare('v3', 2)
        self.wait_loaded('v3')
        after = self.read_lease()
        self.assertNotEqual(after['holder'], before['holder'])
        self.assertGreater(after['fencing_number'], before['fencing_number'])
        self.deployment.signal(before['holder'], signal.SIGCONT)
        # An order that the frozen holder had checked but not yet sent.
        stale = before['fencing_number']
        self.assertEqual(self.give_order(STRICT, 'unload_version', stale), 409)
        self.assertEqual(
            self.give_order(HEEDLESS, 'unload_version', stale), 200
        )
        self.assertNotIn('v3', self.read_versions(HEEDLESS))
        self.wait_loaded('v3')
        for name in (STRICT, HEEDLESS):
            self.check_numbers(name, stale)
        self.deployment.signal(after['holder'], signal.SIGTERM)
        self.declare('v4', 3)
        self.wait_loaded('v4')
        self.assertEqual(self.read_lease()['holder'], before['holder'])
