"""Check the choice of partners over fleets of any shape."""

import unittest

from hypothesis import given, settings, strategies

from monsoonwall.decisions import gossip
from monsoonwall.decisions.gossip import Identity, RelayRole
from monsoonwall.mesh.peers import Peer

ZONES = ('zone-a', 'zone-b')


def make_peer(number):
    zone = ZONES[number % 2]
    return Peer(f'host-{number}', zone, 'region', f'host-{number}', 1)


sizes = strategies.integers(2, 60)
seeds = strategies.integers(0, 2**64 - 1)


class GossipChoiceTest(unittest.TestCase):
    """Choose among hosts of two zones."""

    @given(sizes, seeds, strategies.integers(0, 10_000))
    @settings(max_examples=60)
    def test_every_peer_has_its_turn(self, size, seed, passes):
        own, *peers = map(make_peer, range(size))
        identity = Identity(own.name, own.zone, own.region)
        turns = -(-len(peers) // 2)
        asked = [
            peer.name
            for turn in range(turns)
            for peer in gossip.choose_partners(
                identity, peers, passes * turns + turn, seed, 2
            )
        ]
        self.assertCountEqual(asked, [peer.name for peer in peers])

    @given(sizes)
    @settings(max_examples=30)
    def test_hosts_agree_on_relays(self, size):
        peers = list(map(make_peer, range(size)))
        roles = {
            own.name: gossip.find_relay_role(
                Identity(own.name, own.zone, own.region),
                [peer for peer in peers if peer != own],
            )
            for own in peers
        }
        for zone in ZONES:
            near = [peer.name for peer in peers if peer.zone == zone]
            found = [roles[name] for name in near]
            self.assertEqual(found.count(RelayRole.lead), 1)
            standing_by = min(len(near), gossip.RELAYS_PER_ZONE) - 1
            self.assertEqual(found.count(RelayRole.stand_by), standing_by)

    def test_wide_fleet_stays_wide_near_the_limit(self):
        limit = gossip.FULL_EXCHANGE_MEMBERS
        self.assertFalse(gossip.is_wide_fleet(False, limit))
        self.assertTrue(gossip.is_wide_fleet(False, limit + 1))
        self.assertTrue(gossip.is_wide_fleet(True, limit))
