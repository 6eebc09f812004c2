"""Test facts that must be known to another host before they are used."""

import asyncio
import unittest

from monsoonwall.mesh.board import Fact
from tests.mesh.virtual_fleet import VirtualFleet, VirtualLoop, close_loop

CONVERGENCE_SECONDS = 5
WAIT_SECONDS = 0.25


class ReplicationTest(unittest.TestCase):
    """Replicate a fact from one host of a fleet in simulated time."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(close_loop, self.loop)

    def run_fleet(self, hosts_per_zone, silent=False):
        return self.loop.run_until_complete(
            self.replicate(hosts_per_zone, silent)
        )

    async def replicate(self, hosts_per_zone, silent):
        """Return the result and the number of other hosts with the fact."""
        fleet = VirtualFleet(('zone-a',), hosts_per_zone, self.loop)
        fleet.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        if silent:
            fleet.silence_channels()
        now = self.loop.time()
        fact = Fact('kind', 'key', b'payload', now + 60)
        board = fleet.nodes['zone-a-0'].board
        outlives = await board.replicate_fact(fact, now + WAIT_SECONDS)
        self.assertLessEqual(self.loop.time() - now, WAIT_SECONDS + 0.001)
        return outlives, hosts_per_zone - len(fleet.list_uninformed(fact)) - 1

    def test_another_host_has_the_fact_when_it_is_acknowledged(self):
        for hosts in (2, 3, 30):
            with self.subTest(hosts=hosts):
                outlives, others = self.run_fleet(hosts)
                self.assertTrue(outlives)
                self.assertGreaterEqual(others, 1)

    def test_fact_is_not_acknowledged_while_no_host_responds(self):
        outlives, others = self.run_fleet(3, silent=True)
        self.assertFalse(outlives)
        self.assertEqual(others, 0)

    def test_host_without_peers_does_not_wait(self):
        self.assertEqual(self.run_fleet(1), (True, 0))


if __name__ == '__main__':
    unittest.main()
