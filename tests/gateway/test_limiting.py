"""Test rate limits that gateways share over the mesh."""

import unittest

from msgspec import msgpack

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.limiting import (
    GRANTS_KIND,
    Grants,
    Limiter,
    decode_grants,
    merge_grants,
)
from monsoonwall.gateway.model import Workspace
from monsoonwall.gateway.settings import Bounds, GatewaySettings
from monsoonwall.mesh.board import Entry
from tests.gateway.fakes import FakeBoard, NoPeers

DEPOT = Workspace(
    'depot', ('key',), counts_tokens=True, rate=10_000, burst=10_000
)
BOUNDS = Bounds(limit_window_seconds=8)
# Tokens that the rate allows in eight seconds, and the burst.
WINDOW_TOKENS = 90_000


class LimiterTest(unittest.TestCase):
    """Limit one workspace that sends through several hosts."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.shared = {}
        self.host_count = 3
        self.limiters = [
            self.make_limiter(f'edge-{index}') for index in range(3)
        ]

    def make_limiter(self, name):
        settings = GatewaySettings(
            name, 'a', 'r', '', '', '', '', first_start=True, bounds=BOUNDS
        )
        board = FakeBoard(name, self.shared)
        return Limiter(board, self.clock, settings, lambda: self.host_count)

    def exchange(self):
        for limiter in (*self.limiters, *self.limiters):
            limiter.exchange()

    def test_one_host_may_grant_more_than_its_even_share(self):
        self.exchange()
        self.assertEqual(self.limiters[0].try_grant(DEPOT, 50_000, 0), 0)

    def test_grants_of_others_count(self):
        self.exchange()
        self.limiters[0].try_grant(DEPOT, 50_000, 0)
        self.exchange()
        self.assertGreater(self.limiters[1].try_grant(DEPOT, 50_000, 0), 0)
        self.assertEqual(self.limiters[1].try_grant(DEPOT, 30_000, 0), 0)

    def test_isolated_host_grants_its_share(self):
        self.assertEqual(
            self.limiters[0].try_grant(DEPOT, WINDOW_TOKENS / 4, 0), 0
        )
        self.assertGreater(
            self.limiters[0].try_grant(DEPOT, WINDOW_TOKENS / 4, 0), 0
        )

    def test_grants_expire_after_the_window(self):
        self.exchange()
        self.limiters[0].try_grant(DEPOT, 80_000, 0)
        self.exchange()
        self.clock.advance(BOUNDS.limit_window_seconds + 1)
        self.exchange()
        self.assertEqual(self.limiters[1].try_grant(DEPOT, 80_000, 0), 0)

    def test_hosts_in_zone_summaries_count(self):
        """Hosts in zone summaries were not counted.

        Each zone of a large fleet then granted the whole limit.
        """
        zone = Grants(4, {'depot': (60_000, 100)})
        self.shared[GRANTS_KIND, 'zone/b'] = Entry(
            'zone/b', GRANTS_KIND, '', msgpack.encode(zone)
        )
        self.exchange()
        self.assertEqual(self.limiters[0].reporting_hosts, 6)
        self.host_count = 7
        self.assertGreater(self.limiters[0].try_grant(DEPOT, 40_000, 0), 0)

    def test_restarted_host_learns_the_size_of_the_fleet(self):
        """In a zone cut off, it took its zone for the whole fleet."""
        self.shared[GRANTS_KIND, 'edge-9'] = Entry(
            'edge-9', GRANTS_KIND, '', msgpack.encode(Grants(1, {}, 74))
        )
        self.exchange()
        self.assertEqual(self.limiters[0].fleet_hosts, 74)
        view = FleetView(NoPeers(), 'edge-0', 'a', alone=False)
        view.update(3, self.limiters[0].fleet_hosts)
        self.assertEqual(view.count_hosts(), 74)

    def test_malformed_grants_are_ignored(self):
        self.shared[GRANTS_KIND, 'edge-9'] = Entry(
            'edge-9', GRANTS_KIND, '', b'\xc1'
        )
        self.exchange()
        self.assertEqual(self.limiters[0].reporting_hosts, 2)

    def test_merged_grants_are_sums(self):
        merged = decode_grants(
            merge_grants(
                [
                    msgpack.encode(Grants(1, {'depot': (5, 1)})),
                    msgpack.encode(Grants(2, {'depot': (7, 2), 'b': (1, 1)})),
                ]
            )
        )
        self.assertEqual(merged, Grants(3, {'depot': (12, 3), 'b': (1, 1)}))
