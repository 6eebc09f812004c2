"""Test how fast updates cross a wide fleet whose channels fell silent."""

import asyncio
import unittest

from monsoonwall.mesh.board import Fact
from tests.mesh.virtual_fleet import VirtualFleet, VirtualLoop, close_loop

ZONES = ('zone-a', 'zone-b', 'zone-c')
HOSTS_PER_ZONE = 25
WATCHERS_PER_ZONE = 3
CONVERGENCE_SECONDS = 30
# A watching host publishes a change at most this long after the store
# confirmed it: a pause between watch calls, and jitter.
PUBLISHING_SECONDS = 0.7
# A departure must be known everywhere after the first; hosts must work again
# this long after a silence.
DRAIN_SECONDS = 3.0
CONTACT_SECONDS = 4.0


class SilentChannelsTest(unittest.TestCase):
    """Publish a departure on the watching hosts of 75 hosts."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(close_loop, self.loop)
        self.fleet = VirtualFleet(ZONES, HOSTS_PER_ZONE, self.loop)
        self.watchers = [
            self.fleet.nodes[f'{zone}-{number}']
            for zone in ZONES
            for number in range(WATCHERS_PER_ZONE)
        ]

    async def list_late_hosts(self, delay_seconds):
        """Return the hosts that do not know a departure in time.

        The channels fall silent ``delay_seconds`` before it is confirmed.
        """
        self.fleet.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        self.fleet.silence_channels()
        await asyncio.sleep(delay_seconds + PUBLISHING_SECONDS)
        fact = Fact('departure', 'server', b'left', self.loop.time() + 600)
        for node in self.watchers:
            node.board.publish_fact(fact)
        seconds = max(DRAIN_SECONDS, CONTACT_SECONDS - delay_seconds)
        await asyncio.sleep(seconds - PUBLISHING_SECONDS)
        return self.fleet.list_uninformed(fact)

    def check_departure(self, delay_seconds):
        late = self.loop.run_until_complete(self.list_late_hosts(delay_seconds))
        self.assertEqual(late, [])

    def test_departure_during_a_silence_of_channels_is_known_in_time(self):
        self.check_departure(delay_seconds=0)

    def test_departure_soon_after_a_silence_is_known_in_time(self):
        self.check_departure(delay_seconds=1)

    def test_departure_later_after_a_silence_is_known_in_time(self):
        self.check_departure(delay_seconds=2)


if __name__ == '__main__':
    unittest.main()
