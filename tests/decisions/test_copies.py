"""Test the choice of copy holders and the merge of replicated text."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from monsoonwall.decisions.copies import (
    HOLDERS_PER_HOST,
    RECLAIM_WATCHERS_PER_ZONE,
    ReplicatedText,
    add_holder,
    choose_holder,
    is_reclaim_watcher,
    list_unnamed_hosts,
    parse_origin,
)
from monsoonwall.mesh.peers import Peer

TRUTH = tuple(f't{position}' for position in range(60))
OWN = Peer('own', 'zone-a', 'north', 'own:1', 1)


def make_peers(zones, region='north'):
    """Return a peer for each letter, in the zone of that letter."""
    return tuple(
        Peer(f'host-{index}', f'zone-{zone}', region, f'host-{index}:1', 1)
        for index, zone in enumerate(zones)
    )


peers = st.lists(
    st.builds(
        Peer,
        st.sampled_from([f'host-{index}' for index in range(9)]),
        st.sampled_from(['zone-a', 'zone-b', 'zone-c']),
        st.sampled_from(['north', 'south']),
        st.just('host:1'),
        st.just(1),
        st.booleans(),
    ),
    unique_by=lambda peer: peer.name,
    max_size=9,
)


class HolderTest(unittest.TestCase):
    """Check the choice of the host that holds a copy."""

    @given(peers, st.sets(st.sampled_from(['host-0', 'host-1', 'host-2'])))
    def test_most_separate_live_host_is_chosen(self, known, unresponsive):
        chosen = choose_holder('own.1', OWN, known, frozenset(unresponsive))
        eligible = {
            peer.name: peer
            for peer in known
            if not peer.leaving and peer.name not in unresponsive
        }
        if not eligible:
            self.assertIsNone(chosen)
            return
        same_region = [
            peer for peer in eligible.values() if peer.region == OWN.region
        ]
        other_zone = [peer for peer in same_region if peer.zone != OWN.zone]
        self.assertIn(
            eligible[chosen], other_zone or same_region or eligible.values()
        )

    def test_each_host_uses_few_holders(self):
        known = make_peers('bc' * 20)
        holders = Counter(
            choose_holder(f'own.{number}', OWN, known, frozenset())
            for number in range(1000)
        )
        self.assertEqual(len(holders), HOLDERS_PER_HOST)
        self.assertLess(max(holders.values()), 600)

    def test_each_zone_has_few_reclaim_watchers(self):
        hosts = make_peers('a' * 8)
        watchers = [
            host
            for host in hosts
            if is_reclaim_watcher(
                host, [peer for peer in hosts if peer != host]
            )
        ]
        self.assertEqual(len(watchers), RECLAIM_WATCHERS_PER_ZONE)

    def test_request_id_names_both_hosts(self):
        request_id = add_holder('own.abc', 'host-1')
        origin = parse_origin(request_id)
        self.assertEqual((origin.accepting, origin.holder), ('own', 'host-1'))
        others = list_unnamed_hosts(request_id, make_peers('bbb'))
        self.assertEqual(others, ('host-0', 'host-2'))

    def test_request_id_without_holder(self):
        request_id = add_holder('own.abc', None)
        origin = parse_origin(request_id)
        self.assertEqual((origin.accepting, origin.holder), ('own', ''))


class ReplicatedTextMachine(RuleBasedStateMachine):
    """Lose, repeat and reorder batches of an owner and a former owner.

    The copied text must be a part of the owner's text from its start.
    """

    def __init__(self):
        super().__init__()
        self.copy = ReplicatedText(takeovers=1)
        self.emitted = 0
        self.confirmed = 0
        self.batches = []

    @rule(tokens=st.integers(1, 4))
    def emit(self, tokens):
        self.emitted = min(len(TRUTH), self.emitted + tokens)

    @rule()
    def send(self):
        tokens = TRUTH[self.confirmed : self.emitted]
        self.batches.append((self.confirmed, tokens))

    @rule(choice=st.integers(0, 10_000), answered=st.booleans())
    def arrive(self, choice, answered):
        if not self.batches:
            return
        offset, tokens = self.batches[choice % len(self.batches)]
        accepted = self.copy.advance(1, offset, tokens)
        if accepted and answered:
            self.confirmed = max(self.confirmed, offset + len(tokens))

    @rule(offset=st.integers(0, 60))
    def receive_from_former_owner(self, offset):
        assert not self.copy.advance(0, offset, ('other', 'text'))

    @invariant()
    def check_copy(self):
        copied = self.copy.tokens
        assert tuple(copied) == TRUTH[: len(copied)]
        assert self.confirmed <= len(copied) <= self.emitted


ReplicatedTextMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30
)
StatefulReplicatedTextTest = ReplicatedTextMachine.TestCase
