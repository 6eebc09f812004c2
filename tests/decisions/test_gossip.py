"""Test the choice of gossip partners and relays in fleets of any size."""

import unittest

from hypothesis import given, settings, strategies

from monsoonwall.decisions import gossip
from monsoonwall.decisions.gossip import Identity, RelayRole
from monsoonwall.mesh.peers import Peer

ZONES = ('zone-a', 'zone-b')


def make_peer(number):
    """Return a peer; even and odd numbers are in different zones."""
    zone = ZONES[number % 2]
    return Peer(f'host-{number}', zone, 'region', f'host-{number}', 1)


sizes = strategies.integers(2, 60)
seeds = strategies.integers(0, 2**64 - 1)


class GossipChoiceTest(unittest.TestCase):
    """Choose partners and relays among hosts of two zones."""

    @given(sizes, seeds, strategies.integers(0, 10_000))
    @settings(max_examples=60)
    def test_every_peer_is_partner_once_in_a_pass(self, size, seed, passes):
        own, *peers = map(make_peer, range(size))
        identity = Identity(own.name, own.zone, own.region)
        turns = -(-len(peers) // 2)
        partners = [
            peer.name
            for turn in range(turns)
            for peer in gossip.choose_partners(
                identity, peers, passes * turns + turn, seed, 2
            )
        ]
        self.assertCountEqual(partners, [peer.name for peer in peers])

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
            names = [peer.name for peer in peers if peer.zone == zone]
            zone_roles = [roles[name] for name in names]
            self.assertEqual(zone_roles.count(RelayRole.lead), 1)
            standing_by = min(len(names), gossip.RELAYS_PER_ZONE) - 1
            self.assertEqual(zone_roles.count(RelayRole.stand_by), standing_by)

    def test_wide_fleet_stays_wide_near_the_limit(self):
        """Otherwise a host that comes and goes would switch the exchange."""
        limit = gossip.FULL_EXCHANGE_MEMBERS
        self.assertFalse(gossip.is_wide_fleet(False, limit))
        self.assertTrue(gossip.is_wide_fleet(False, limit + 1))
        self.assertTrue(gossip.is_wide_fleet(True, limit))
