"""Test gateways that cannot reach the servers while others can."""

import asyncio
import time
import unittest
from dataclasses import replace
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from unittest.mock import Mock

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.crashes import CrashInspector
from monsoonwall.gateway.server_connections import DirectConnector
from tests.gateway.processes import GatewayProcessCase
from tests.gateway.test_gateway_processes import CONFIGURATION, AppServer
from tests.gateway.test_record_cache import make_record_cache, make_server
from tests.standins.deployment import wait_until
from tests.standins.ports import find_free_port

REQUESTS = 9
# Time for the second probe of a server.
INSPECTION_SECONDS = 0.6
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


class ReachedByTunnel(DirectConnector):
    """Other hosts reach all servers."""

    async def is_reached_by_tunnel(self, server):
        return True


class CrashInspectionTest(unittest.IsolatedAsyncioTestCase):
    """Inspect a server whose address refuses connections of this host."""

    async def find_crashes(self, connector):
        clock = ManualClock()
        record_cache = make_record_cache(clock)
        record_cache.adopt(make_server('i-1', 7))
        server = replace(
            record_cache.find_server('i-1'),
            address=f'127.0.0.1:{find_free_port()}',
        )
        screening = Mock()
        inspector = CrashInspector(record_cache, screening, clock, connector)
        await inspector.inspect(Mock(), server)
        await asyncio.sleep(INSPECTION_SECONDS)
        return [call.args[1] for call in screening.finish_check.mock_calls]

    async def test_server_that_other_hosts_reach_has_not_crashed(self):
        """Links that refused connections made requests seem to crash it."""
        self.assertEqual(await self.find_crashes(ReachedByTunnel()), [False])

    async def test_server_that_refuses_all_hosts_has_crashed(self):
        self.assertEqual(await self.find_crashes(DirectConnector()), [True])


if __name__ == '__main__':
    unittest.main()
