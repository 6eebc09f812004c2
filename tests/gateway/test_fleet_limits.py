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
OFF_SECONDS = 0.3
BETWEEN_KILLS_SECONDS = 1.5
# Of the tokens of a workspace that stays below its limit.
MAX_REFUSED_RATIO = 0.05
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

    def __init__(self, loop, seed, hosts_per_zone=HOSTS_PER_ZONE):
        self.random = Random(seed)
        self.loop = loop
        self.hosts_per_zone = hosts_per_zone
        self.granted = []
        self.refused_tokens = 0
        self.add_hosts(first_start=True)

    def add_hosts(self, first_start):
        self.fleet = VirtualFleet(ZONES, self.hosts_per_zone, self.loop)
        self.hosts = {}
        for name, node in self.fleet.nodes.items():
            self.add_host(name, node, first_start)

    def add_host(self, name, node, first_start):
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
            first_start=first_start,
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
        self.run_hosts()
        await asyncio.sleep(CONVERGENCE_SECONDS)

    def run_hosts(self):
        self.fleet.start()
        self._tasks = [
            asyncio.ensure_future(self.run_host(name)) for name in self.hosts
        ]

    async def kill_all(self):
        """Kill all hosts; they return without what they knew."""
        for task in self._tasks:
            task.cancel()
        self.fleet.stop()
        self.hosts = {}
        await asyncio.sleep(OFF_SECONDS)
        self.add_hosts(first_start=False)
        self.run_hosts()

    async def send(self, seconds, demand):
        """Send requests to random hosts, as a multiple of the rate."""
        tokens = demand * DEPOT.rate * STEP_SECONDS
        backlog: float = 0
        for _ in range(int(seconds / STEP_SECONDS)):
            backlog += tokens
            while backlog > 0:
                units = self.random.choice(SIZES)
                backlog -= units
                self.send_request(units)
            await asyncio.sleep(STEP_SECONDS)

    def send_request(self, units):
        if not self.hosts:
            return
        limiter, _ = self.hosts[self.random.choice(list(self.hosts))]
        if limiter.try_grant(DEPOT, units, self.random.random()):
            self.refused_tokens += units
        else:
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

    async def kill_all_twice(self, loop, seed, demand, hosts_per_zone=3):
        fleet = LimitedFleet(loop, seed, hosts_per_zone)
        await fleet.start()
        await fleet.send(BOUNDS.limit_window_seconds, USUAL_DEMAND)
        sending = asyncio.ensure_future(
            fleet.send(2 * BOUNDS.limit_window_seconds, demand)
        )
        await asyncio.sleep(BOUNDS.limit_window_seconds / 2)
        await fleet.kill_all()
        await asyncio.sleep(BETWEEN_KILLS_SECONDS)
        await fleet.kill_all()
        await sending
        return fleet

    def run_killed_fleet(self, seed, demand):
        loop = VirtualLoop()
        self.addCleanup(close_loop, loop)
        return loop.run_until_complete(self.kill_all_twice(loop, seed, demand))

    def test_hosts_that_were_all_killed_exceeded_the_limit(self):
        """Each granted as if a part of the limit had not been used before."""
        for seed in (0, 1):
            with self.subTest(seed=seed):
                fleet = self.run_killed_fleet(seed, SURGE_DEMAND)
                granted = fleet.find_largest_window()
                self.assertLessEqual(granted, ALLOWED_TOKENS)

    def test_callers_below_the_limit_are_served_after_all_hosts_were_killed(
        self,
    ):
        fleet = self.run_killed_fleet(seed=0, demand=USUAL_DEMAND)
        granted = sum(units for _, units in fleet.granted)
        self.assertLess(fleet.refused_tokens, MAX_REFUSED_RATIO * granted)


if __name__ == '__main__':
    unittest.main()
