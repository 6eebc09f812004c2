"""Test gateways that cannot reach the servers while others can."""

import asyncio
import socket
import time
import unittest
from dataclasses import replace
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import Random
from unittest.mock import Mock

from msgspec import msgpack

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.crashes import CrashInspector
from monsoonwall.gateway.server_connections import (
    TUNNEL_KIND,
    DirectConnector,
    TunnelOffers,
    merge_offers,
)
from monsoonwall.gateway.tunnel_service import TunnelService
from monsoonwall.transport.tunnels import TunnelOffer
from tests.gateway.fakes import FakeBoard
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


class TunnelOffersTest(unittest.IsolatedAsyncioTestCase):
    """Read the offers of other hosts, and offer tunnels."""

    def setUp(self):
        self.entries = {}
        self.board = FakeBoard('edge-1', self.entries)
        self.own = TunnelOffer('127.0.0.1:1', 'own')

    def offer(self, name, payload):
        FakeBoard(name, self.entries).publish_entry(TUNNEL_KIND, '', payload)

    async def test_odd_offers_are_skipped(self):
        """A port that is no number ended the request that used the offer."""
        pairs = [('10.0.0.1', 'a'), ('10.0.0.1:x', 'a'), ('10.0.0.1:1', 'a b')]
        self.offer('edge-2', msgpack.encode([*pairs, ('10.0.0.2:2', 'a')]))
        self.offer('edge-3', b'')
        self.offer('edge-4', msgpack.encode('none'))
        offers = TunnelOffers(self.board, self.own, Random(1))
        self.assertEqual(offers.list_others(), [TunnelOffer('10.0.0.2:2', 'a')])

    async def test_host_whose_port_is_taken_offers_no_tunnels(self):
        clock = ManualClock()
        with socket.create_server(('127.0.0.1', 0)) as taken:
            service = TunnelService(
                f'127.0.0.1:{taken.getsockname()[1]}',
                make_record_cache(clock),
                self.board,
                clock,
                Random(1),
            )
            await service.start()
        service.exchange()
        self.assertEqual(self.board.read_entries(TUNNEL_KIND), ())

    def test_zones_offer_a_bounded_number_of_hosts(self):
        payloads = [
            msgpack.encode([(f'10.0.0.{number}:1', f't{number}')])
            for number in range(30)
        ]
        merged = msgpack.decode(merge_offers([*payloads, b'odd']))
        self.assertEqual(len(merged), 8)


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
