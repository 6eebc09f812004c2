"""Fuzz a lease against an oracle that sees every host and every order.

Hosts have monotonic clocks with other zero points, are paused, lose answers
of writes that took effect, or take effect late; the platform goes out.
"""

import unittest
from dataclasses import dataclass

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from monsoonwall.decisions.leases import (
    LeaseState,
    LeaseTiming,
    Read,
    Write,
)

NAMES = ('north', 'south', 'east')
TIMING = LeaseTiming()

hosts = strategies.sampled_from(NAMES)
positions = strategies.integers(0, 10)


@dataclass(frozen=True)
class Order:
    """Hold an order under way to an engine."""

    fencing_number: int
    at: float


@dataclass
class Store:
    """Hold the lease's object and take conditional writes."""

    version: int = 0
    record: object = None

    def write(self, write):
        if write.version != self.version:
            return False
        self.version += 1
        self.record = write.record
        return True


class LeaseMachine(RuleBasedStateMachine):
    """Let three hosts want one lease."""

    def __init__(self):
        super().__init__()
        self.now = 500.0
        self.store = Store()
        self.cut = set()
        self.states = {name: LeaseState(name, TIMING) for name in NAMES}
        self.offsets = {name: 1000.0 * NAMES.index(name) for name in NAMES}
        self.late = []
        self.under_way = []
        self.seen = 0
        self.tokens = 0

    def read_clock(self, name):
        return self.now + self.offsets[name]

    def call(self, name):
        """Do one step of a host and return its write, if it is one."""
        state = self.states[name]
        now = self.read_clock(name)
        self.tokens += 1
        # Wall clocks disagree as well; they only make numbers larger.
        step = state.decide(now, self.offsets[name], str(self.tokens))
        if isinstance(step, Read):
            if name in self.cut:
                state.note_failed(now)
            else:
                state.note_read(self.store.version, self.store.record, now)
        elif isinstance(step, Write):
            state.note_sent(step, now)
            return step
        return None

    @rule(name=hosts)
    def step(self, name):
        write = self.call(name)
        if write is None:
            return
        now = self.read_clock(name)
        if name in self.cut:
            self.states[name].note_failed(now)
        elif self.store.write(write):
            self.states[name].note_written(self.store.version, now)
        else:
            self.states[name].note_doubt(now)

    @rule(name=hosts, seconds=strategies.sampled_from((0, 3, 11)))
    def step_with_slow_answer(self, name, seconds):
        """The write takes effect at once; its answer comes later."""
        write = self.call(name)
        if write is None or name in self.cut:
            return
        done = self.store.write(write)
        version = self.store.version
        self.wait(seconds)
        now = self.read_clock(name)
        if done:
            self.states[name].note_written(version, now)
        else:
            self.states[name].note_doubt(now)

    @rule(name=hosts, late=strategies.booleans())
    def step_with_lost_answer(self, name, late):
        write = self.call(name)
        if write is None:
            return
        if late:
            self.late.append(write)
        else:
            self.store.write(write)
        self.states[name].note_doubt(self.read_clock(name))

    @precondition(lambda machine: machine.late)
    @rule(position=positions)
    def take_effect_late(self, position):
        self.store.write(self.late.pop(position % len(self.late)))

    @rule(name=hosts)
    def release(self, name):
        write = self.states[name].release()
        if write is not None and name not in self.cut:
            orders = [
                order
                for order in self.under_way
                if order.fencing_number == write.record.fencing_number
            ]
            if not orders:
                self.states[name].note_sent(write, self.read_clock(name))
                self.store.write(write)
                self.states[name].note_doubt(self.read_clock(name))

    @rule(names=strategies.sets(hosts))
    def cut_from_platform(self, names):
        self.cut = names

    @rule(
        ticks=strategies.integers(1, 40),
        awake=strategies.sets(hosts),
        slow=strategies.sets(hosts),
    )
    def work(self, ticks, awake, slow):
        """Let the hosts that are not paused keep the lease and order."""
        for _ in range(ticks):
            self.wait(0.5)
            for name in sorted(awake):
                self.step(name)
                self.send_order(name, name in slow)

    def wait(self, seconds):
        self.now += seconds
        arrived = [one for one in self.under_way if one.at <= self.now]
        self.under_way = [one for one in self.under_way if one.at > self.now]
        for order in sorted(arrived, key=lambda one: one.at):
            # Even an engine that checks nothing sees no stale order.
            assert order.fencing_number >= self.seen
            self.seen = order.fencing_number

    def send_order(self, name, slow):
        term = self.states[name].term
        if term is not None and term.allows(self.read_clock(name)):
            flight = TIMING.order_seconds if slow else 0
            at = self.now + flight
            self.under_way.append(Order(term.fencing_number, at))

    @invariant()
    def check_one_holder(self):
        holders = [
            name
            for name, state in self.states.items()
            if state.term and state.term.allows(self.read_clock(name))
        ]
        assert len(holders) <= 1, holders

    def teardown(self):
        """Once the platform is back, somebody gets the lease."""
        self.cut = set()
        for _ in range(60):
            self.wait(1)
            for name in NAMES:
                self.step(name)
        assert any(
            state.term and state.term.allows(self.read_clock(name))
            for name, state in self.states.items()
        )


class DeadlineTest(unittest.TestCase):
    """Check from when a holder counts its time."""

    def test_time_counts_from_before_the_write(self):
        state = LeaseState('north', TIMING)
        state.note_read(0, None, 100)
        write = state.decide(100, 0, 'token')
        state.note_sent(write, 100)
        state.note_written(1, 109)
        self.assertEqual(state.term.deadline, 100 + TIMING.use_seconds)


class LeaseTest(LeaseMachine.TestCase):
    """Run the machine."""


LeaseTest.settings = settings(max_examples=400, stateful_step_count=20)
