"""Test how hosts learn that servers are cold, and what they send them."""

import unittest

from msgspec import json

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.cold_servers import ColdServers
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.platform.documents import PlatformCodec
from tests.gateway.fakes import NoPeers
from tests.gateway.test_proxy import ProxyHandlerCase
from tests.standins.raw_server import make_response

COLD_SECONDS = 3.0
COLD_RATE = 2.0
# Until a server that was cold may be sent any number of requests.
WARM_UP_SECONDS = 2.0
CONFIGURATION = {
    'version': 1,
    'services': [
        {
            'name': 'llm',
            'cold_start_s': COLD_SECONDS,
            'cold_per_s': COLD_RATE,
        },
        {'name': 'app', 'cold_start_s': 0, 'cold_per_s': 0},
    ],
}


class ColdServersTest(unittest.TestCase):
    """Announce servers to one host."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.record_cache = RecordCache(PlatformCodec(), self.clock, 2)
        self.revision = 0
        self.adopt(RecordKind.catalogue, 'main', CONFIGURATION)
        self.cold_servers = self.make_cold_servers(alone=True)

    def make_cold_servers(self, alone):
        fleet = FleetView(NoPeers(), 'edge-1', 'zone-a', alone=alone)
        return ColdServers(self.record_cache, fleet, self.clock)

    def adopt(self, kind, name, content):
        self.revision += 1
        encoded = None if content is None else json.encode(content)
        self.record_cache.adopt(Record(kind, name, self.revision, encoded))

    def announce(self, name='i-1', service='llm', **more):
        spec = {
            'service': service,
            'address': '10.0.0.1:80',
            'zone': 'zone-a',
            'state': 'ready',
            'slots': 4,
            'born': 1,
            **more,
        }
        self.adopt(RecordKind.server, name, spec)
        return self.record_cache.find_server(name)

    def find_limit(self, server):
        return self.cold_servers.find_limit(server)

    def test_entry_tells_how_long_a_server_is_cold(self):
        server = self.announce(cold_remaining_ms=2500)
        self.assertEqual(self.find_limit(server), COLD_RATE)
        self.clock.advance(2.4)
        self.assertEqual(self.find_limit(server), COLD_RATE)
        self.clock.advance(0.2 + WARM_UP_SECONDS)
        self.assertIsNone(self.find_limit(server))

    def test_entry_without_a_cold_period_sets_no_limit(self):
        self.assertIsNone(self.find_limit(self.announce()))
        warm = self.announce('i-2', cold_remaining_ms=0)
        self.assertIsNone(self.find_limit(warm))

    def test_service_without_a_cold_start_sets_no_limit(self):
        server = self.announce(service='app', cold_remaining_ms=2500)
        self.assertIsNone(self.find_limit(server))

    def test_warm_server_may_become_cold_again(self):
        server = self.announce()
        self.cold_servers.record_announcement(server, 1.5)
        self.assertEqual(self.find_limit(server), COLD_RATE)

    def test_later_announcement_counts(self):
        server = self.announce(cold_remaining_ms=2500)
        self.clock.advance(1)
        server = self.announce(cold_remaining_ms=0)
        self.clock.advance(WARM_UP_SECONDS)
        self.assertIsNone(self.find_limit(server))

    def test_limit_binds_one_incarnation(self):
        self.announce(cold_remaining_ms=2500)
        self.assertIsNone(self.find_limit(self.announce(born=2)))

    def test_servers_of_a_zone_are_cold_when_its_evacuation_ends(self):
        server = self.announce()
        other = self.announce('i-2', zone='zone-b')
        self.adopt(RecordKind.evacuation, 'zone-a', {})
        self.assertIsNone(self.find_limit(server))
        self.adopt(RecordKind.evacuation, 'zone-a', None)
        self.assertEqual(self.find_limit(server), COLD_RATE)
        self.assertIsNone(self.find_limit(other))

    def test_earlier_entry_does_not_end_what_is_assumed(self):
        server = self.announce()
        self.cold_servers.assume_cold(server)
        self.assertEqual(
            self.find_limit(self.announce(cold_remaining_ms=0)), COLD_RATE
        )

    def test_host_that_does_not_know_the_fleet_sends_nothing(self):
        self.cold_servers = self.make_cold_servers(alone=False)
        server = self.announce(cold_remaining_ms=2500)
        self.assertEqual(self.find_limit(server), 0)

    def test_servers_that_are_gone_are_dropped(self):
        server = self.announce(cold_remaining_ms=2500)
        self.cold_servers.drop_warm()
        self.assertEqual(self.find_limit(server), COLD_RATE)
        self.adopt(RecordKind.server, 'i-1', None)
        self.cold_servers.drop_warm()
        self.assertIsNone(self.find_limit(server))


class ColdServerRequestTest(ProxyHandlerCase):
    """Send requests while one or all servers are cold, or zones evacuated."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        for server in self.servers:
            server.responses = [[make_response()] for _ in range(40)]
        catalogue = json.decode(
            self.record_cache.list_records(RecordKind.catalogue)[0].content
        )
        catalogue['version'] = 2
        catalogue['services'][0].update(
            cold_start_s=COLD_SECONDS, cold_per_s=COLD_RATE
        )
        self.adopt(RecordKind.catalogue, 'main', catalogue)

    def adopt(self, kind, name, content):
        encoded = None if content is None else json.encode(content)
        self.record_cache.adopt(Record(kind, name, 2, encoded))

    def cool(self, index):
        server = self.record_cache.find_server(f'i-{index}')
        self.signals.cold_servers.record_announcement(server, COLD_SECONDS)

    async def send_many(self, count):
        return [
            (await self.send_request('/look/x')).status for _ in range(count)
        ]

    async def test_warm_server_is_preferred(self):
        self.cool(0)
        self.assertEqual(set(await self.send_many(20)), {200})
        self.assertEqual(self.count_arrivals(), [0, 20])

    async def test_requests_beyond_what_cold_servers_take_are_refused(self):
        self.cool(0)
        self.cool(1)
        statuses = await self.send_many(30)
        self.assertLessEqual(max(self.count_arrivals()), 1.5 * COLD_RATE + 5)
        self.assertIn(503, statuses)

    async def test_unreachable_server_is_expected_to_return_cold(self):
        server = self.record_cache.find_server('i-0')
        self.signals.observe_unreachable(server)
        self.assertTrue(self.signals.limits.is_cold(server))

    async def test_evacuated_zone_gets_no_requests(self):
        self.adopt(RecordKind.evacuation, 'zone-a', {})
        self.assertEqual(set(await self.send_many(10)), {200})
        self.assertEqual(self.count_arrivals(), [0, 10])
        self.adopt(RecordKind.evacuation, 'zone-b', {})
        caller = await self.send_request('/look/x')
        self.assertEqual(caller.status, 503)
        self.assertIn(b'zone-a, zone-b', caller.body)
        self.assertEqual(self.count_arrivals(), [0, 10])
