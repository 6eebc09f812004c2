"""Fuzz the judgement of hosts against a record of all that was heard."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from monsoonwall.decisions.membership import (
    Membership,
    MemberState,
    Pulse,
    Timing,
)

TIMING = Timing()
STEP_SECONDS = 0.5

names = strategies.sampled_from(('north', 'south'))
pulses = strategies.builds(
    Pulse, strategies.integers(1, 3), strategies.integers(1, 6)
)


class MembershipMachine(RuleBasedStateMachine):
    """Hear pulses in any order, and be paused now and then."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.membership = Membership(TIMING, self.now)
        self.greatest = {}
        self.heard_at = {}
        self.removed = set()

    @rule(name=names, pulse=pulses)
    def hear(self, name, pulse):
        news = pulse > self.greatest.get(name, Pulse(0, 0))
        assert self.membership.hear(name, pulse, self.now) is news
        if news:
            self.greatest[name] = pulse
            self.heard_at[name] = self.now
            self.removed.discard(name)

    @rule(name=names)
    def remove(self, name):
        self.membership.remove(name)
        self.removed.add(name)

    @rule(steps=strategies.integers(1, 10))
    def judge(self, steps):
        for _ in range(steps):
            self.now += STEP_SECONDS
            self.removed.update(self.membership.judge(self.now))

    @rule(seconds=strategies.floats(2, 60))
    def pause(self, seconds):
        """A process that was paused itself blames nobody for it."""
        self.now += seconds
        before = len(self.membership.list_members())
        assert not self.membership.judge(self.now)
        assert len(self.membership.list_members()) == before
        for name in self.heard_at:
            self.heard_at[name] += seconds

    @invariant()
    def check_members(self):
        known = {member.name for member in self.membership.list_members()}
        assert known == set(self.heard_at) - self.removed
        for member in self.membership.list_members():
            silence = self.now - self.heard_at[member.name]
            assert silence < TIMING.gone_seconds
            suspected = member.judge(self.now) is MemberState.suspect
            assert suspected == (silence >= TIMING.suspect_seconds)


class MembershipTest(MembershipMachine.TestCase):
    """Run the machine."""


MembershipTest.settings = settings(max_examples=60, stateful_step_count=25)
