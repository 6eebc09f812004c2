"""Test gateways that cannot reach the servers while others can."""

import time
import unittest
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from tests.gateway.processes import GatewayProcessCase
from tests.gateway.test_gateway_processes import CONFIGURATION, AppServer
from tests.standins.deployment import wait_until

REQUESTS = 9
# Callers of the partitioned host get as many first responses as the rule asks.
MIN_SERVED_RATIO = 2 / 3


class PartitionedHostTest(GatewayProcessCase):
    """Partition one of two gateways from the only server."""

    def setUp(self):
        super().setUp()
        self.app = AppServer()
        self.addCleanup(self.app.close)
        self.partition = Path(self.folder.name) / 'partition'
        self.environment['PARTITION_FILE'] = str(self.partition)
        self.control(objects=[['config', 'main', CONFIGURATION]])
        self.announce_server('i-1', self.app.port, 1)
        self.helper = self.start_gateway('edge-1')[1]
        self.wait_ready(self.helper)
        self.host = self.start_gateway(
            'edge-2',
            seeds=(self.helper['control'],),
            module='tests.standins.partitioned_gateway',
        )[1]
        self.wait_ready(self.host)
        self.assertTrue(wait_until(lambda: self.count_peers(self.host) == 1))

    def fetch(self, ports):
        """Return the status of a request on a new connection, or 0."""
        client = HTTPConnection('127.0.0.1', ports['front'], timeout=4)
        headers = {
            'Host': 'desk',
            'Api-Key': 'key',
            'X-Monsoonwall-Attempt-Id': f'a{time.monotonic_ns()}',
            'X-Monsoonwall-Deadline-Ms': '2000',
        }
        try:
            client.request('GET', '/look/1', headers=headers)
            return client.getresponse().status
        except (OSError, HTTPException):
            return 0
        finally:
            client.close()

    def count_served(self):
        return sum(self.fetch(self.host) == 200 for _ in range(REQUESTS))

    def test_callers_of_a_partitioned_host_are_served(self):
        """All of them got 503 or 504."""
        self.partition.write_text(f'127.0.0.1:{self.app.port}')
        served = self.count_served()
        self.assertGreaterEqual(served, MIN_SERVED_RATIO * REQUESTS)
        self.assertEqual(self.app.served, served)

    def test_host_sends_to_servers_itself_after_a_partition(self):
        self.partition.write_text(f'127.0.0.1:{self.app.port}')
        self.count_served()
        self.partition.unlink()
        self.assertTrue(wait_until(lambda: self.fetch(self.host) == 200))
        self.assertEqual(self.count_served(), REQUESTS)


if __name__ == '__main__':
    unittest.main()
