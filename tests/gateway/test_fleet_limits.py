"""Test workspace limits in a wide fleet whose hosts run their real gossip."""

import asyncio
import unittest
from random import Random

from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.limiting import Limiter
from monsoonwall.gateway.model import Workspace
from monsoonwall.gateway.settings import Bounds, GatewaySettings
from tests.mesh.virtual_fleet import (
    LoopClock,
    VirtualFleet,
    VirtualLoop,
    close_loop,
)

ZONES = ('zone-a', 'zone-b', 'zone-c')
HOSTS_PER_ZONE = 25
CONVERGENCE_SECONDS = 10
EXCHANGE_SECONDS = 0.5
STEP_SECONDS = 0.02
BOUNDS = Bounds(
    limit_window_seconds=8, limit_overage=0.1, limit_slack_tokens=140_000
)
DEPOT = Workspace(
    'depot', ('key',), counts_tokens=True, rate=400_000, burst=400_000
)
WINDOW_TOKENS = DEPOT.rate * BOUNDS.limit_window_seconds + DEPOT.burst
ALLOWED_TOKENS = (
    WINDOW_TOKENS * (1 + BOUNDS.limit_overage) + BOUNDS.limit_slack_tokens
)
# Tokens of a request, and what a workspace asks for as multiples of its rate.
SIZES = (600, 2400, 12_000, 12_000, 50_000)
USUAL_DEMAND = 0.55
SURGE_DEMAND = 7.5 * USUAL_DEMAND


class LimitedFleet:
    """Hosts that grant the requests of one workspace."""

    def __init__(self, loop, seed):
        self.random = Random(seed)
        self.loop = loop
        self.fleet = VirtualFleet(ZONES, HOSTS_PER_ZONE, loop)
        self.hosts = {}
        for name, node in self.fleet.nodes.items():
            self.add_host(name, node)
        self.granted = []

    def add_host(self, name, node):
        zone = name.rpartition('-')[0]
        view = FleetView(node.peers, name, zone, alone=False)
        settings = GatewaySettings(
            name,
            zone,
            'r',
            '',
            '',
            '',
            '',
            first_start=True,
            bounds=BOUNDS,
        )
        limiter = Limiter(
            node.board, LoopClock(self.loop), settings, view.count_hosts
        )
        self.hosts[name] = (limiter, view)

    async def run_host(self, name):
        """Exchange grants as a gateway does."""
        await asyncio.sleep(self.random.random() * EXCHANGE_SECONDS)
        while True:
            limiter, view = self.hosts[name]
            limiter.exchange()
            view.update(limiter.reporting_hosts, limiter.fleet_hosts)
            await asyncio.sleep(EXCHANGE_SECONDS)

    async def start(self):
        self.fleet.start()
        self._tasks = [
            asyncio.ensure_future(self.run_host(name)) for name in self.hosts
        ]
        await asyncio.sleep(CONVERGENCE_SECONDS)

    async def send(self, seconds, demand):
        """Send requests to random hosts, as a multiple of the rate."""
        names = list(self.hosts)
        tokens = demand * DEPOT.rate * STEP_SECONDS
        backlog: float = 0
        for _ in range(int(seconds / STEP_SECONDS)):
            backlog += tokens
            while backlog > 0:
                units = self.random.choice(SIZES)
                backlog -= units
                self.send_request(self.random.choice(names), units)
            await asyncio.sleep(STEP_SECONDS)

    def send_request(self, name, units):
        limiter, _ = self.hosts[name]
        if not limiter.try_grant(DEPOT, units, self.random.random()):
            self.granted.append((self.loop.time(), units))

    def find_largest_window(self):
        """Return the largest amount granted in any window."""
        largest, recent, first = 0, 0, 0
        for now, units in self.granted:
            recent += units
            while self.granted[first][0] <= now - BOUNDS.limit_window_seconds:
                recent -= self.granted[first][1]
                first += 1
            largest = max(largest, recent)
        return largest


class FleetLimitsTest(unittest.TestCase):
    """Send requests of one workspace through all hosts."""

    async def surge_from_the_start(self, loop):
        fleet = LimitedFleet(loop, seed=0)
        await fleet.start()
        await fleet.send(BOUNDS.limit_window_seconds, SURGE_DEMAND)
        return fleet.find_largest_window()

    def test_first_requests_of_a_surge_exceeded_the_limit(self):
        """Zones granted 1.5 times the limit before they heard of each other."""
        loop = VirtualLoop()
        self.addCleanup(close_loop, loop)
        granted = loop.run_until_complete(self.surge_from_the_start(loop))
        self.assertLessEqual(granted, ALLOWED_TOKENS)


if __name__ == '__main__':
    unittest.main()
