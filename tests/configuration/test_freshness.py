"""Fuzz what hosts may do under configurations that may be outdated."""

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
    compute_settled_wall,
    confirm_number,
    may_work,
    observe_number,
)

HOSTS = 3
ROUNDING = 1e-6
hosts = st.integers(0, HOSTS - 1)
pauses = st.sampled_from((0.3, 2, 6.8))


class FreshnessMachine(RuleBasedStateMachine):
    """Let hosts read, share, pause and restart while patches are accepted.

    The oracle has the true time and the time from which each number is
    settled: from then on no host may do guarded work under an earlier
    number.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.settled = [0, 500]
        self.states = [Freshness(1) for _ in range(HOSTS)]
        # With half of the skew in either direction, no two clocks differ by
        # more than the whole skew.
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
        # The host that accepts the patch computes from when on no host uses
        # an earlier number.
        settled_at = (
            compute_settled_wall(self.read_clock(host))
            - self.clock_offsets[host]
        )
        self.settled.append(settled_at)

    @rule(host=hosts, seconds=st.sampled_from((0, 0, 2)))
    def read(self, host, seconds):
        """Read the newest number now; the response arrives later."""
        newest = len(self.settled) - 1
        started = self.read_clock(host)
        self.now += seconds
        freshness = adopt_number(self.states[host], newest)
        self.states[host] = confirm_number(
            freshness, newest, started, self.read_clock(host)
        )
        self.notes.append(self.states[host])

    @rule(host=hosts, delayed=st.booleans())
    def receive(self, host, delayed):
        if not self.notes:
            return
        received = self.notes[0 if delayed else -1]
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
            # Assume that the host is partitioned from now on until that time.
            for settled in self.settled[freshness.number + 1 :]:
                instant = settled + self.clock_offsets[host] + ROUNDING
                allowed = may_work(freshness, WorkKind.order, instant)
                assert not allowed, 'guarded work under an outdated number'
            assert may_work(freshness, WorkKind.idempotent_call, self.now)


class FreshnessTest(unittest.TestCase):
    """Run the machine, and test the time limit of a confirmation."""

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
