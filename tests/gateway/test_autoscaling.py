"""Test when the autoscaler orders and releases servers."""

import unittest
from collections import Counter
from itertools import repeat
from types import SimpleNamespace

from msgspec import json, msgpack

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.autoscaling import Autoscaler
from monsoonwall.gateway.duties import DutyEnding, LeaseHolder
from monsoonwall.gateway.loads import LoadTracker, PublishedLoad, merge_loads
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.settings import Bounds, GatewaySettings
from monsoonwall.platform.documents import PlatformCodec
from tests.gateway.fakes import FakeBoard, RecordingDuties

ZONES = ('a', 'b', 'c')
HOLDER = LeaseHolder('edge-1', 1)
CONFIGURATION = {
    'version': 1,
    'services': [
        {
            'name': 'llm',
            'engine': {'slots': 64},
            'scaling': {
                'min': 1,
                'max': 8,
                'boot_s': 4,
                'spot_price': 0.2,
                'zone_prices': {'a': 1, 'b': 2, 'c': 3},
            },
        }
    ],
}


class AutoscalerTest(unittest.IsolatedAsyncioTestCase):
    """Check the orders for given running servers and demands."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.duties = RecordingDuties()
        self.revision = 1
        board = FakeBoard('edge-1')
        self.record_cache = RecordCache(PlatformCodec(), self.clock, 2)
        self.loads = LoadTracker(board, self.clock)
        self.rollouts = RolloutController(
            self.record_cache, board, self.clock, Bounds()
        )
        self.adopt(RecordKind.catalogue, 'main', CONFIGURATION)

    def adopt(self, kind, name, content):
        self.revision += 1
        content = json.encode(content) if content else None
        self.record_cache.adopt(Record(kind, name, self.revision, content))

    def make_autoscaler(self, first_start=True):
        settings = GatewaySettings(
            'edge-1',
            'a',
            'r',
            '',
            '',
            '',
            '',
            '',
            (),
            ZONES,
            first_start=first_start,
        )
        serving = SimpleNamespace(rollouts=self.rollouts, loads=self.loads)
        return Autoscaler(
            self.record_cache, serving, self.duties, self.clock, settings
        )

    def register(self, zone, spot, count):
        for number in range(count):
            name = f'{zone}{"s" if spot else "l"}{number}'
            self.adopt(
                RecordKind.server,
                name,
                {
                    'service': 'llm',
                    'address': '10.0.0.1:80',
                    'zone': zone,
                    'state': 'ready',
                    'slots': 64,
                    'spot': spot,
                },
            )

    def send_load(self, autoscaler, seconds, tokens=30_000):
        """Create a demand of ``tokens`` per second for some seconds."""
        server = self.record_cache.list_all_servers()[0]
        for _ in range(seconds):
            self.clock.advance(1)
            candidate = self.loads.make_candidate(
                server, None, 1, same_zone=True, home=False
            )
            attempt = self.loads.begin(
                server,
                SimpleNamespace(
                    new_tokens=tokens,
                    waiting_tokens=candidate.waiting_tokens,
                ),
                1,
            )
            self.loads.end(server, attempt)
            autoscaler.record_demand()

    def list_orders(self):
        orders = [
            (order.zone, order.spot, order.count)
            for order in self.duties.orders
        ]
        self.duties.orders.clear()
        return orders

    async def test_first_start_estimates_demand_by_running_servers(self):
        for zone in ZONES:
            self.register(zone, False, 2)
        autoscaler = self.make_autoscaler()
        autoscaler.record_demand()
        await autoscaler.step(HOLDER)
        orders = self.list_orders()
        for zone in ZONES:
            self.assertIn((zone, True, 3), orders)
        # Few on-demand servers are enough until the spot servers run.
        self.assertIn(('c', False, 0), orders)
        for zone in ZONES:
            self.register(zone, True, 3)
        self.clock.advance(8)
        await autoscaler.step(HOLDER)
        self.assertIn(('a', False, 0), self.list_orders())

    async def test_evacuated_zone_keeps_its_servers_and_gets_no_more(self):
        for zone in ZONES:
            self.register(zone, True, 2)
        autoscaler = self.make_autoscaler()
        self.adopt(RecordKind.evacuation, 'a', {'by': 'operator'})
        self.send_load(autoscaler, 10, tokens=100_000)
        await autoscaler.step(HOLDER)
        # A demand of 2.5 to 3 servers, at a utilization of a quarter, in the
        # two zones that are left.
        self.assertEqual(self.list_orders(), [('b', True, 6), ('c', True, 6)])

    async def test_refused_orders_back_off(self):
        """Without backoff, a zone exhausted for 30 s refused 79 calls."""
        for zone in ZONES:
            self.register(zone, True, 1)
        autoscaler = self.make_autoscaler()
        self.send_load(autoscaler, 10)
        self.duties.endings = list(repeat(DutyEnding.refused, 100))
        for _ in range(60):
            await autoscaler.step(HOLDER)
            self.clock.advance(0.5)
        order_counts = Counter(order[:2] for order in self.list_orders())
        self.assertLessEqual(max(order_counts.values()), 10)

    async def test_on_demand_servers_are_kept_while_spot_is_exhausted(self):
        """Servers released in a lull were missing in the next burst."""
        for zone in ZONES:
            self.register(zone, False, 2)
        autoscaler = self.make_autoscaler()
        self.send_load(autoscaler, 10)
        self.duties.endings = list(repeat(DutyEnding.refused, 100))
        await autoscaler.step(HOLDER)
        self.duties.endings.clear()
        self.duties.orders.clear()
        self.send_load(autoscaler, 8, 1)
        await autoscaler.step(HOLDER)
        released = [order for order in self.duties.orders if not order.spot]
        self.assertEqual(released, [])

    async def test_orders_do_not_exceed_the_bound_of_a_zone(self):
        """The platform refused orders whose sum exceeded the bound."""
        for zone in ZONES:
            self.register(zone, False, 8)
        autoscaler = self.make_autoscaler()
        autoscaler.record_demand()
        ordered = {}
        for _ in range(8):
            await autoscaler.step(HOLDER)
            for zone, spot, count in self.list_orders():
                ordered[zone, spot] = count
                total = ordered.get((zone, False), 8) + ordered.get(
                    (zone, True), 0
                )
                self.assertLessEqual(total, 8)
            self.clock.advance(8)
        # The bounds of all zones are used up.
        for zone in ZONES:
            self.assertEqual(ordered[zone, True] + ordered[zone, False], 8)

    async def test_restart_orders_nothing_before_demand_is_known(self):
        self.register('a', True, 3)
        autoscaler = self.make_autoscaler(first_start=False)
        await autoscaler.step(HOLDER)
        self.assertEqual(self.list_orders(), [])

    async def test_demand_above_the_estimate_is_met_at_once(self):
        """In a burst at the start, only four servers ran for 18 seconds."""
        self.register('a', False, 1)
        autoscaler = self.make_autoscaler()
        self.send_load(autoscaler, 3, 60_000)
        await autoscaler.step(HOLDER)
        # 60,000 tokens a second keep one and a half servers busy.
        self.assertIn(('b', True, 3), self.list_orders())

    async def test_servers_that_register_late_raise_the_estimate(self):
        self.register('a', False, 1)
        autoscaler = self.make_autoscaler()
        autoscaler.record_demand()
        await autoscaler.step(HOLDER)
        self.assertIn(('a', True, 1), self.list_orders())
        for zone in ZONES:
            self.register(zone, False, 2)
        self.clock.advance(8)
        autoscaler.record_demand()
        await autoscaler.step(HOLDER)
        self.assertIn(('a', True, 3), self.list_orders())

    async def test_restarted_hosts_order_more_before_demand_is_known(self):
        self.register('a', True, 1)
        autoscaler = self.make_autoscaler(first_start=False)
        self.send_load(autoscaler, 3, 60_000)
        await autoscaler.step(HOLDER)
        self.assertIn(('a', True, 3), self.list_orders())

    async def test_servers_beyond_the_demand_are_released(self):
        for zone in ZONES:
            self.register(zone, True, 7)
        autoscaler = self.make_autoscaler()
        self.send_load(autoscaler, 10)
        await autoscaler.step(HOLDER)
        self.assertEqual(
            self.list_orders(),
            [('a', True, 2), ('b', True, 2), ('c', True, 2)],
        )

    async def test_on_demand_servers_are_kept_for_a_while(self):
        for zone in ZONES:
            self.register(zone, True, 2)
        self.register('b', False, 1)
        autoscaler = self.make_autoscaler()
        self.send_load(autoscaler, 10)
        # Spot servers of two zones are reclaimed, then replaced.
        for name in ('as0', 'as1', 'bs0', 'bs1'):
            self.adopt(RecordKind.server, name, None)
        await autoscaler.step(HOLDER)
        self.assertIn(('a', False, 1), self.list_orders())
        self.register('a', False, 1)
        for zone in ZONES:
            self.register(zone, True, 2)
        self.send_load(autoscaler, 3)
        await autoscaler.step(HOLDER)
        self.assertNotIn(('a', False, 0), self.list_orders())
        self.send_load(autoscaler, 8)
        await autoscaler.step(HOLDER)
        self.assertIn(('a', False, 0), self.list_orders())

    async def test_open_rollout_stops_orders(self):
        self.register('a', True, 1)
        self.adopt(
            RecordKind.rollout,
            'llm',
            {
                'metadata': {'name': 'llm'},
                'spec': {'service': 'llm', 'target': 'v2', 'duration_s': 12},
            },
        )
        self.rollouts.advance()
        await self.make_autoscaler().step(HOLDER)
        self.assertEqual(self.list_orders(), [])


class MergeTest(unittest.TestCase):
    """Merge the loads of the hosts of a zone."""

    def test_merged_loads_are_sums(self):
        one = PublishedLoad({'s1': (1, 10)}, {'llm': 100})
        other = PublishedLoad({'s1': (2, 5), 's2': (1, 1)}, {'llm': 50})
        merged = merge_loads([msgpack.encode(one), msgpack.encode(other)])
        self.assertEqual(
            msgpack.decode(merged, type=PublishedLoad),
            PublishedLoad({'s1': (3, 15), 's2': (1, 1)}, {'llm': 150}),
        )
