"""Test how long hosts of a wide fleet use a server that has left."""

import asyncio
import unittest
from random import Random

from tests.gateway.virtual_gateways import VirtualGateways
from tests.mesh.virtual_fleet import VirtualLoop, close_loop

ZONES = ('zone-a', 'zone-b', 'zone-c')
HOSTS_PER_ZONE = 25
IGNORED_RATIO = 0.35
CONVERGENCE_SECONDS = 10
OUTAGE_SECONDS = 5
DRAIN_SECONDS = 3.0
SEEDS = (0, 1)


class DepartureDelayTest(unittest.TestCase):
    """Remove a server's entry while the store ignores some of 75 hosts."""

    async def list_users(self, loop, seed):
        """Return the hosts that use a server after its drain time."""
        gateways = VirtualGateways(ZONES, HOSTS_PER_ZONE, loop, DRAIN_SECONDS)
        gateways.store.write_server('i-1')
        gateways.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        hosts = list(gateways.caches)
        ignored = Random(seed).sample(hosts, round(IGNORED_RATIO * len(hosts)))
        gateways.store.silenced.update(ignored)
        await asyncio.sleep(OUTAGE_SECONDS)
        gateways.fleet.silence_channels()
        gateways.store.remove_server('i-1')
        await asyncio.sleep(DRAIN_SECONDS)
        return gateways.list_users('i-1')

    def check_departure(self, seed):
        loop = VirtualLoop()
        self.addCleanup(close_loop, loop)
        users = loop.run_until_complete(self.list_users(loop, seed))
        self.assertEqual(users, [])

    def test_server_that_left_is_not_used_by_hosts_that_the_store_ignores(self):
        """They held back its removal for 2 s after other hosts had told it."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_departure(seed)


if __name__ == '__main__':
    unittest.main()
