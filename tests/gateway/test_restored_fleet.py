"""Test a wide fleet whose store returns from an older copy."""

import asyncio
import unittest
from random import Random

from tests.gateway.virtual_gateways import VirtualGateways
from tests.mesh.virtual_fleet import VirtualLoop, close_loop

ZONES = ('zone-a', 'zone-b', 'zone-c')
HOSTS_PER_ZONE = 25
IGNORED_RATIO = 0.35
CONVERGENCE_SECONDS = 10
DRAIN_SECONDS = 3.0
CONFIGURATION_SECONDS = 3.0


class RestoredFleetTest(unittest.TestCase):
    """Run 75 hosts; the store ignores a third of them when it returns."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(close_loop, self.loop)
        self.gateways = VirtualGateways(
            ZONES, HOSTS_PER_ZONE, self.loop, DRAIN_SECONDS
        )
        self.store = self.gateways.store

    async def return_from_copy(self):
        """Lose a configuration, the end of one server, and another server."""
        self.store.configure(version=1)
        self.store.write_server('i-left')
        self.gateways.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        revision = self.store.revision
        self.store.configure(version=2)
        self.store.write_server('i-new')
        self.store.remove_server('i-left')
        await asyncio.sleep(CONFIGURATION_SECONDS)
        hosts = list(self.gateways.caches)
        ignored = Random(0).sample(hosts, round(IGNORED_RATIO * len(hosts)))
        self.store.silenced.update(ignored)
        self.store.restore(revision)

    async def observe_return(self):
        await self.return_from_copy()
        for _ in range(10):
            await asyncio.sleep(0.2)
            self.assertEqual(self.gateways.list_outdated(version=2), [])
            self.assertEqual(self.gateways.list_users('i-left'), [])
            self.assertEqual(
                len(self.gateways.list_users('i-new')),
                len(self.gateways.caches),
            )
        self.store.write_server('i-new')
        self.store.configure(version=3)
        await asyncio.sleep(CONFIGURATION_SECONDS)
        self.assertEqual(self.gateways.list_outdated(version=3), [])
        await asyncio.sleep(DRAIN_SECONDS)
        self.assertEqual(
            len(self.gateways.list_users('i-new')), len(self.gateways.caches)
        )

    def test_all_hosts_keep_what_was_in_force_and_follow_later_changes(self):
        """Changes that were confirmed after the return reached no host."""
        self.loop.run_until_complete(self.observe_return())


if __name__ == '__main__':
    unittest.main()
