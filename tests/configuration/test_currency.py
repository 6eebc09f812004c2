"""Fuzz what hosts do under configurations that may be old."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from monsoonwall.decisions.freshness import (
    CLOCK_SKEW_SECONDS,
    Freshness,
    WorkKind,
    adopt_number,
    confirm_number,
    may_work,
    observe_number,
    settle_time,
)

HOSTS = 3
ROUNDING = 1e-6
hosts = st.integers(0, HOSTS - 1)
pauses = st.sampled_from((0.3, 2, 6.8))


class FreshnessMachine(RuleBasedStateMachine):
    """Let hosts read, tell, freeze and be cut off while patches come.

    The oracle knows the true time and when each number was accepted: once
    an acceptance has settled, no host does guarded work under an earlier
    number.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.settled = [0, 500]
        self.states = [Freshness(1) for _ in range(HOSTS)]
        # Half the skew either way keeps any two clocks within all of it.
        self.clock_offsets = [
            -CLOCK_SKEW_SECONDS / 2,
            0,
            CLOCK_SKEW_SECONDS / 2,
        ]
        self.notes = []

    def read_clock(self, host):
        return self.now + self.clock_offsets[host]

    @rule(seconds=pauses)
    def wait(self, seconds):
        self.now += seconds

    @rule(host=hosts)
    def accept_patch(self, host):
        # The acceptor states from when on earlier numbers are out of use.
        settled_at = (
            settle_time(self.read_clock(host)) - self.clock_offsets[host]
        )
        self.settled.append(settled_at)

    @rule(host=hosts, seconds=st.sampled_from((0, 0, 2)))
    def read(self, host, seconds):
        """Read what is newest now; the answer comes later."""
        newest = len(self.settled) - 1
        begun = self.read_clock(host)
        self.now += seconds
        freshness = adopt_number(self.states[host], newest)
        self.states[host] = confirm_number(
            freshness, newest, begun, self.read_clock(host)
        )
        self.notes.append(self.states[host])

    @rule(host=hosts, late=st.booleans())
    def receive(self, host, late):
        if not self.notes:
            return
        received = self.notes[0 if late else -1]
        freshness = observe_number(self.states[host], received.number)
        self.states[host] = confirm_number(
            freshness,
            received.number,
            received.confirmed_wall,
            self.read_clock(host),
        )

    @rule(host=hosts)
    def restart(self, host):
        self.states[host] = Freshness()

    @invariant()
    def no_guarded_work_under_settled_numbers(self):
        for host, freshness in enumerate(self.states):
            # A host cut off from now on hears nothing more until then.
            for settled in self.settled[freshness.number + 1 :]:
                instant = settled + self.clock_offsets[host] + ROUNDING
                late = may_work(freshness, WorkKind.order, instant)
                assert not late, 'would work under an old number'
            assert may_work(freshness, WorkKind.idempotent_call, self.now)


class FreshnessTest(unittest.TestCase):
    """Run the machine, and state the bound."""

    def test_machine(self):
        run_state_machine_as_test(
            FreshnessMachine,
            settings=settings(max_examples=300, stateful_step_count=20),
        )

    def test_confirmed_host_works_between_watches(self):
        freshness = confirm_number(adopt_number(Freshness(), 1), 1, 100, 100)
        self.assertTrue(may_work(freshness, WorkKind.move_step, 105))
        self.assertFalse(may_work(freshness, WorkKind.move_step, 107))
        self.assertFalse(
            may_work(observe_number(freshness, 2), WorkKind.order, 101)
        )
