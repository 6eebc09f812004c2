"""Test changes while the store ignores the hosts that watch it."""

import asyncio
import unittest
from dataclasses import dataclass
from random import Random

from monsoonwall.gateway.records import RecordKind
from tests.gateway.virtual_gateways import VirtualGateways
from tests.mesh.virtual_fleet import VirtualLoop, close_loop

# The largest part of the hosts that the store may ignore.
IGNORED_RATIO = 0.35
CONVERGENCE_SECONDS = 12
# Time for hosts that watched an earlier change to watch again.
REWATCH_SECONDS = 0.35


@dataclass(frozen=True)
class FleetSize:
    """Hold the size of a fleet and its time limits in seconds."""

    zones: int
    hosts_per_zone: int
    configuration_seconds: float
    drain_seconds: float


ONE_ZONE = FleetSize(1, 9, 2.0, 2.0)
WIDE_FLEET = FleetSize(3, 25, 3.0, 3.0)
LARGE_FLEET = FleetSize(5, 39, 4.0, 4.0)


class IgnoredWatchersTest(unittest.TestCase):
    """Change a configuration and remove a server just after a silence."""

    def find_late_hosts(self, size, choose_ignored, delay_seconds):
        """Return the hosts that the store serves and that know it too late."""
        loop = VirtualLoop()
        try:
            return loop.run_until_complete(
                self.change(loop, size, choose_ignored, delay_seconds)
            )
        finally:
            close_loop(loop)

    async def change(self, loop, size, choose_ignored, delay_seconds):
        zones = [f'zone-{number}' for number in range(size.zones)]
        gateways = VirtualGateways(
            zones, size.hosts_per_zone, loop, size.drain_seconds
        )
        store = gateways.store
        store.write_server('i-1')
        gateways.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        # The watches of all kinds begin anew after this change.
        store.configure(version=2)
        for kind in set(RecordKind).difference({RecordKind.catalogue}):
            store.write(kind, 'other', b'{}')
        await asyncio.sleep(REWATCH_SECONDS)
        hosts = list(gateways.caches)
        ignored = choose_ignored(store, hosts)
        store.silenced.update(ignored)
        await asyncio.sleep(delay_seconds)
        store.configure(version=3)
        store.remove_server('i-1')
        await asyncio.sleep(min(size.configuration_seconds, size.drain_seconds))
        late = {*gateways.list_outdated(3), *gateways.list_users('i-1')}
        return sorted(late.difference(ignored))

    def check(self, size, choose_ignored, delays):
        for delay_seconds in delays:
            with self.subTest(size=size, delay_seconds=delay_seconds):
                self.assertEqual(
                    self.find_late_hosts(size, choose_ignored, delay_seconds),
                    [],
                )

    def test_store_ignores_the_latest_readers(self):
        """All other hosts used the old configuration for 2.6 to 3.0 s."""
        self.check(ONE_ZONE, choose_latest_readers, (0.05, 0.5, 1.5, 3.0))
        self.check(WIDE_FLEET, choose_latest_readers, (0.05,))

    def test_store_ignores_any_hosts(self):
        for seed in range(5):
            self.check(ONE_ZONE, choose_at_random(seed), (0.05, 1.0))


def choose_latest_readers(store, hosts):
    """Choose the hosts that have read the store last."""
    return store.list_latest_readers(round(IGNORED_RATIO * len(hosts)))


def choose_at_random(seed):
    """Return a function that draws the ignored hosts."""

    def choose(_store, hosts):
        return Random(seed).sample(hosts, round(IGNORED_RATIO * len(hosts)))

    return choose


if __name__ == '__main__':
    unittest.main()
