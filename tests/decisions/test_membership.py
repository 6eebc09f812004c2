"""Test failure detection with random heartbeats against a model."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from monsoonwall.decisions.membership import (
    HeartbeatState,
    Membership,
    MemberState,
    Timing,
)

TIMING = Timing()
STEP_SECONDS = 0.5

names = strategies.sampled_from(('north', 'south'))
heartbeat_states = strategies.builds(
    HeartbeatState, strategies.integers(1, 3), strategies.integers(1, 6)
)


class MembershipMachine(RuleBasedStateMachine):
    """Receive heartbeats in any order, with pauses of this process.

    No stale heartbeat may bring a host back, and a host is suspected and gone
    after the same silence each time.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.membership = Membership(TIMING, self.now)
        self.greatest_states = {}
        self.last_heartbeat_at = {}
        self.removed = set()

    @rule(name=names, heartbeat_state=heartbeat_states)
    def record_heartbeat(self, name, heartbeat_state):
        is_newer = heartbeat_state > self.greatest_states.get(
            name, HeartbeatState(0, 0)
        )
        assert (
            self.membership.record_heartbeat(name, heartbeat_state, self.now)
            is is_newer
        )
        if is_newer:
            self.greatest_states[name] = heartbeat_state
            self.last_heartbeat_at[name] = self.now
            self.removed.discard(name)

    @rule(name=names)
    def remove(self, name):
        self.membership.remove(name)
        self.removed.add(name)

    @rule(steps=strategies.integers(1, 10))
    def advance_time(self, steps):
        for _ in range(steps):
            self.now += STEP_SECONDS
            self.removed.update(self.membership.expire_silent(self.now))

    @rule(seconds=strategies.floats(2, 60))
    def pause(self, seconds):
        """A pause of this process makes no other host suspect or gone."""
        self.now += seconds
        before = len(self.membership.list_members())
        assert not self.membership.expire_silent(self.now)
        assert len(self.membership.list_members()) == before
        for name in self.last_heartbeat_at:
            self.last_heartbeat_at[name] += seconds

    @invariant()
    def check_members(self):
        known = {member.name for member in self.membership.list_members()}
        assert known == set(self.last_heartbeat_at) - self.removed
        for member in self.membership.list_members():
            silence = self.now - self.last_heartbeat_at[member.name]
            assert silence < TIMING.gone_seconds
            suspected = member.find_state(self.now) is MemberState.suspect
            assert suspected == (silence >= TIMING.suspect_seconds)


class MembershipTest(MembershipMachine.TestCase):
    """Run the state machine."""


MembershipTest.settings = settings(max_examples=60, stateful_step_count=25)
