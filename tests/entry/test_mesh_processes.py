"""Test leases and orders with entry hosts that are frozen and stopped."""

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
FENCING_ENGINE, UNFENCED_ENGINE = 'engine-0', 'engine-1'
LEASE_SECONDS = 4
# A successor waits for the durations of a lease and of an order, then reads the
# state of the engines and sends orders.
TAKEOVER_SECONDS = 6 * LEASE_SECONDS
LEASE_PATH = f'/objects/leases/orders/{ZONE}/0'


class OrderProcessesTest(unittest.TestCase):
    """Run two entry hosts and two engines, one without a fencing check."""

    def setUp(self):
        self.deployment = self.enterContext(Deployment(zones=(ZONE,)))
        self.deployment.start_platform()
        for name in (FENCING_ENGINE, UNFENCED_ENGINE):
            self.deployment.start_engine(name)
        self.deployment.control(UNFENCED_ENGINE, ignore_fencing=True)
        self.put_configuration('v2', 1)
        for name in HOSTS:
            # The hosts can find each other only through the platform.
            self.deployment.start_entry(
                name, ZONE, '--peers=', f'--lease_seconds={LEASE_SECONDS}'
            )
        self.deployment.wait_ready(*HOSTS)

    def put_configuration(self, version, number):
        document = make_document(
            self.deployment, (FENCING_ENGINE, UNFENCED_ENGINE), ()
        )
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
        for name in (FENCING_ENGINE, UNFENCED_ENGINE):
            loaded = wait_until(
                lambda server=name: version in self.read_versions(server),
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

    def check_fencing_numbers(self, name, stale):
        """Assert that after the takeover only the test sent a stale order."""
        reported = self.deployment.send(name, 'GET', '/control').read_json()
        numbers = [order['fencing_number'] for order in reported['orders']]
        takeover = next(
            index for index, number in enumerate(numbers) if number > stale
        )
        self.assertEqual(numbers[takeover:].count(stale), 1)

    def send_order(self, name, kind, number):
        order = {'kind': kind, 'subject': 'v3', 'fencing_number': number}
        return self.deployment.send(name, 'POST', '/orders', order).status

    def count_peers(self, name):
        metrics = self.deployment.send(name, 'GET', '/metrics').body.decode()
        return metrics.partition('\nmonsoonwall_mesh_peers ')[2].partition(
            '\n'
        )[0]

    def test_frozen_then_stopped_holder(self):
        """A holder that was frozen sends no orders under its old lease."""
        for name in HOSTS:
            found = wait_until(
                lambda host=name: self.count_peers(host) == '1.0',
                TAKEOVER_SECONDS,
            )
            self.assertTrue(found, f'{name} did not find its peer')
        self.wait_loaded('v2')
        before = self.read_lease()
        self.deployment.signal(before['holder'], signal.SIGSTOP)
        self.put_configuration('v3', 2)
        self.wait_loaded('v3')
        after = self.read_lease()
        self.assertNotEqual(after['holder'], before['holder'])
        self.assertGreater(after['fencing_number'], before['fencing_number'])
        self.deployment.signal(before['holder'], signal.SIGCONT)
        # Stands for an order that the holder had checked but not yet sent when
        # it was frozen.
        stale = before['fencing_number']
        self.assertEqual(
            self.send_order(FENCING_ENGINE, 'unload_version', stale), 409
        )
        self.assertEqual(
            self.send_order(UNFENCED_ENGINE, 'unload_version', stale), 200
        )
        self.assertNotIn('v3', self.read_versions(UNFENCED_ENGINE))
        self.wait_loaded('v3')
        for name in (FENCING_ENGINE, UNFENCED_ENGINE):
            self.check_fencing_numbers(name, stale)
        self.deployment.signal(after['holder'], signal.SIGTERM)
        self.put_configuration('v4', 3)
        self.wait_loaded('v4')
        self.assertEqual(self.read_lease()['holder'], before['holder'])
