"""Fuzz which configurations a host adopts, against the full history."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from monsoonwall.configuration import announcement
from monsoonwall.configuration.active import ActiveConfiguration
from monsoonwall.configuration.announcement import (
    Announcement,
    derive_stored,
    encode_announcement,
)
from monsoonwall.configuration.stored import encode_stored
from monsoonwall.decisions.adoption import (
    PEER_WAIT_SECONDS,
    StartView,
    ZoneHost,
    choose_watchers,
    may_serve,
)
from tests.configuration.strategies import (
    EMPTY,
    make_successor,
    make_workspace_patch,
    names,
    weights,
)

HOSTS = 3
hosts = st.integers(0, HOSTS - 1)
garbage = st.sampled_from(
    (b'', b'{', b'[]', b'{"number": 99}x', b'{"number": true}', b'\x78\x9c\x01')
)


class AdoptionMachine(RuleBasedStateMachine):
    """Offer hosts old, new, unreadable and invalid configurations.

    The oracle is the history: a host always holds exactly one of its
    documents, and never goes back to an earlier one.
    """

    def __init__(self):
        super().__init__()
        self.history = [
            make_successor(EMPTY, make_workspace_patch('hotline', 1))
        ]
        self.active_configurations = [
            ActiveConfiguration() for _ in range(HOSTS)
        ]
        self.lowest_numbers = [0 for _ in range(HOSTS)]

    @rule(name=names, weight=weights)
    def accept_patch(self, name, weight):
        patch = make_workspace_patch(name, weight)
        self.history.append(make_successor(self.history[-1], patch))

    @rule(host=hosts, age=st.integers(0, 5))
    def read_platform(self, host, age):
        offered = self.history[max(0, len(self.history) - 1 - age)]
        self.active_configurations[host].offer_object(encode_stored(offered))

    @rule(host=hosts, age=st.integers(0, 5))
    def receive_announcement(self, host, age):
        offered = self.history[max(0, len(self.history) - 1 - age)]
        result = self.active_configurations[host].offer_announcement(
            encode_announcement(offered)
        )
        if result is None:
            # A configuration that cannot be derived is read whole.
            self.active_configurations[host].offer_object(
                encode_stored(offered)
            )
        held = self.active_configurations[host].held.number
        assert held >= offered.number, (
            'a configuration announced in the mesh was not adopted'
        )

    @rule(host=hosts, content=garbage)
    def read_garbage(self, host, content):
        assert (
            not self.active_configurations[host].offer_object(content).adopted
        )
        assert self.active_configurations[host].problems

    @rule(host=hosts, content=garbage)
    def receive_garbage(self, host, content):
        self.active_configurations[host].offer_announcement(content)

    @rule(host=hosts)
    def read_invalid(self, host):
        last = self.history[-1]
        invalid = make_successor(
            last, {'workspaces': {'market': {'weight': -1}}}
        )
        result = self.active_configurations[host].offer_object(
            encode_stored(invalid)
        )
        assert not result.adopted
        assert result.supersedes_held or self.lowest_numbers[host] > last.number

    @rule(host=hosts, name=names, weight=weights)
    def read_contradiction(self, host, name, weight):
        held = self.active_configurations[host].read_held()
        if held is None:
            return
        other = make_successor(EMPTY, make_workspace_patch(name, weight + 10))
        forged = encode_stored(
            type(held)(held.number, other.document, held.recent)
        )
        assert not self.active_configurations[host].offer_object(forged).adopted

    @rule(host=hosts)
    def restart(self, host):
        self.active_configurations[host] = ActiveConfiguration()
        self.lowest_numbers[host] = 0

    @invariant()
    def holds_a_document_of_the_history(self):
        for host, active in enumerate(self.active_configurations):
            held = active.held.number
            assert held >= self.lowest_numbers[host], (
                'a host returned to an earlier configuration'
            )
            self.lowest_numbers[host] = held
            if held:
                expected = self.history[held - 1].document
                assert active.read_held().document == expected
                assert active.configuration.number == held


class AdoptionTest(unittest.TestCase):
    """Run the machine with whole and with patch-only announcements."""

    def run_machine(self):
        run_state_machine_as_test(
            AdoptionMachine,
            settings=settings(max_examples=60, stateful_step_count=30),
        )

    def test_whole_announcements(self):
        self.run_machine()

    def test_derived_announcements(self):
        limit = announcement.MAX_WHOLE_BYTES
        self.addCleanup(setattr, announcement, 'MAX_WHOLE_BYTES', limit)
        announcement.MAX_WHOLE_BYTES = 0
        self.run_machine()


class DerivationTest(unittest.TestCase):
    """Derive documents from announced patches, checked by digest."""

    def test_patches_do_not_apply_to_a_different_document(self):
        announced = make_successor(
            make_successor(EMPTY, make_workspace_patch('hotline', 1)),
            make_workspace_patch('depot', 1),
        )
        held = make_successor(EMPTY, make_workspace_patch('market', 1))
        patches_only = Announcement(announced.number, None, announced.recent)
        self.assertIsNone(derive_stored(patches_only, held))
        self.assertIsNone(derive_stored(patches_only, None))


class StartTest(unittest.TestCase):
    """Test when a restarted host may serve."""

    def make_view(self, held=3, answered=True, has_peers=True, peers=()):
        return StartView(held, answered, has_peers, peers, started=10)

    def test_waits_for_the_highest_reported_number(self):
        view = self.make_view(peers=(4, 3))
        self.assertFalse(may_serve(view, now=1000))

    def test_waits_for_peers_for_a_limited_time(self):
        view = self.make_view()
        self.assertFalse(may_serve(view, 10))
        self.assertTrue(may_serve(view, 10 + PEER_WAIT_SECONDS))

    def test_peers_suffice_in_an_outage(self):
        view = self.make_view(answered=False, peers=(3, 0))
        self.assertTrue(may_serve(view, 10))

    def test_does_not_serve_without_configuration(self):
        self.assertFalse(may_serve(self.make_view(held=0), 1000))
        alone = self.make_view(answered=False)
        self.assertFalse(may_serve(alone, 1000))


class WatchersTest(unittest.TestCase):
    """Test the choice of the watchers of a zone."""

    def test_two_in_each_zone(self):
        known = [
            ZoneHost(f'entry-{index}', f'zone-{index % 3}')
            for index in range(9)
        ]
        chosen = choose_watchers(known, 'zone-1')
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen, choose_watchers(reversed(known), 'zone-1'))
        survivors = [host for host in known if host.name not in chosen]
        self.assertEqual(len(choose_watchers(survivors, 'zone-1')), 1)
