"""Test departures while hosts hear nothing from the others.

The store is in the reach of all hosts that are checked.
"""

import asyncio
import unittest
from random import Random

from monsoonwall.gateway.records import RecordKind
from tests.gateway.virtual_gateways import VirtualGateways
from tests.mesh.virtual_fleet import VirtualLoop, close_loop

ZONES = ('zone-a', 'zone-b', 'zone-c')
CONVERGENCE_SECONDS = 18
SERVERS = tuple(f'i-{number}' for number in range(12))
GAP_SECONDS = 0.5
STEP_SECONDS = 0.1
GAP_STEPS = round(GAP_SECONDS / STEP_SECONDS)


class UninformedHostsTest(unittest.TestCase):
    """Let servers leave one after the other after a disruption."""

    def list_late(self, hosts_per_zone, drain_seconds, disrupt):
        """Return the hosts that know a departure later than allowed."""
        loop = VirtualLoop()
        try:
            return loop.run_until_complete(
                self.run_departures(
                    loop, hosts_per_zone, drain_seconds, disrupt
                )
            )
        finally:
            close_loop(loop)

    async def run_departures(
        self, loop, hosts_per_zone, drain_seconds, disrupt
    ):
        gateways = VirtualGateways(ZONES, hosts_per_zone, loop, drain_seconds)
        for name in SERVERS:
            gateways.store.write_server(name)
        gateways.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        for kind in RecordKind:
            gateways.store.write(kind, 'other', b'{}')
        await asyncio.sleep(1)
        checked = disrupt(gateways)
        leaves_at = {}
        late = set()
        seconds = len(SERVERS) * GAP_SECONDS + drain_seconds + 1
        for step in range(round(seconds / STEP_SECONDS)):
            if not step % GAP_STEPS and len(leaves_at) < len(SERVERS):
                server = SERVERS[len(leaves_at)]
                gateways.store.write_server(server, state='draining')
                leaves_at[server] = loop.time()
            await asyncio.sleep(STEP_SECONDS)
            for left, left_at in leaves_at.items():
                if loop.time() - left_at > drain_seconds:
                    late.update(checked & set(gateways.list_users(left)))
        return sorted(late)

    def test_hosts_that_are_cut_off_from_all_others(self):
        """They used servers that had left for up to 7 s."""
        for hosts_per_zone, drain_seconds in ((25, 3.0), (9, 2.0)):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                self.assertEqual(
                    self.list_late(hosts_per_zone, drain_seconds, cut_off(0)),
                    [],
                )

    def test_hosts_that_are_left_when_most_lose_power(self):
        """Some used servers that had left for 4 s."""
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertEqual(self.list_late(25, 3.0, lose_power(seed)), [])


def cut_off(seed):
    """Return a function that cuts some hosts off from all others."""

    def disrupt(gateways):
        hosts = list(gateways.caches)
        drawn = Random(seed).sample(hosts, round(0.17 * len(hosts)))
        gateways.fleet.cut_off.update(drawn)
        return set(hosts)

    return disrupt


def lose_power(seed):
    """Return a function that stops most hosts; the others are checked."""

    def disrupt(gateways):
        hosts = list(gateways.caches)
        drawn = Random(seed).sample(hosts, round(0.55 * len(hosts)))
        gateways.fleet.cut_off.update(drawn)
        gateways.store.silenced.update(drawn)
        return set(hosts).difference(drawn)

    return disrupt


if __name__ == '__main__':
    unittest.main()
