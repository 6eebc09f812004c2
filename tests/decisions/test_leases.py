"""Check by random runs that at most one host at a time can use a lease.

The hosts' monotonic clocks have different origins. Hosts are paused,
responses to writes are lost or slow, writes take effect late, the platform
fails, and its store returns from older copies.
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
    LeaseRecord,
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
    """Hold an order on its way to an engine."""

    fencing_number: int
    arrives_at: float


# Versions that hosts see hold the store's era above its revision, which is all
# that the store itself compares.
ERA_VERSIONS = 1_000_000


class Store:
    """Store the lease's object and accept conditional writes."""

    def __init__(self):
        self.era = 0
        self.revision = 0
        self.record = None
        self.copies = [(0, None)]

    @property
    def version(self):
        return self.revision and self.era * ERA_VERSIONS + self.revision

    def write(self, write):
        """Write the object if it has the expected revision."""
        if write.version % ERA_VERSIONS != self.revision:
            return False
        self.revision += 1
        self.record = write.record
        self.copies.append((self.revision, self.record))
        return True

    def restore(self, lost_writes):
        """Return without the last writes."""
        self.era += 1
        kept = max(1, len(self.copies) - lost_writes)
        self.copies = self.copies[:kept]
        revision, record = self.copies[-1]
        self.revision = revision
        self.record = record


class LeaseMachine(RuleBasedStateMachine):
    """Let three hosts compete for one lease."""

    def __init__(self):
        super().__init__()
        self.now = 500.0
        self.store = Store()
        self.disconnected = set()
        self.known_eras = dict.fromkeys(NAMES, 0)
        self.states = {name: LeaseState(name, TIMING) for name in NAMES}
        self.clock_offsets = {
            name: 1000.0 * NAMES.index(name) for name in NAMES
        }
        self.delayed_writes = []
        self.orders_in_flight = []
        self.latest_fencing_number = 0
        self.used_fencing_number = 0
        self.tokens = 0

    def read_clock(self, name):
        return self.now + self.clock_offsets[name]

    def decide_step(self, name):
        """Decide a host's next step; return it if it is a write."""
        state = self.states[name]
        now = self.read_clock(name)
        self.tokens += 1
        # Wall clocks differ too; they only make fencing numbers larger. Hosts
        # share the numbers in use, since the store may lose them.
        step = state.decide(
            now,
            self.clock_offsets[name],
            str(self.tokens),
            self.used_fencing_number,
        )
        if isinstance(step, Read):
            if name in self.disconnected:
                state.record_failure(now)
            else:
                self.known_eras[name] = self.store.era
                state.record_read(
                    self.store.version,
                    self.store.record,
                    now,
                    self.store.era,
                )
        elif isinstance(step, Write):
            state.record_sent_write(step, now)
            return step
        return None

    @rule(name=hosts)
    def step(self, name):
        write = self.decide_step(name)
        if write is None:
            return
        now = self.read_clock(name)
        if name in self.disconnected:
            self.states[name].record_failure(now)
        elif self.write(name, write):
            self.states[name].record_successful_write(self.store.version, now)
        else:
            self.states[name].record_uncertain_write(now)

    def write(self, name, write):
        """Write the object; return whether its sender sees that."""
        written = self.store.write(write)
        return written and self.known_eras[name] == self.store.era

    @rule(name=hosts, seconds=strategies.sampled_from((0, 3, 11)))
    def step_with_slow_response(self, name, seconds):
        """Let a write take effect at once and respond to it later."""
        write = self.decide_step(name)
        if write is None or name in self.disconnected:
            return
        written = self.write(name, write)
        version = self.store.version
        self.wait(seconds)
        now = self.read_clock(name)
        if written:
            self.states[name].record_successful_write(version, now)
        else:
            self.states[name].record_uncertain_write(now)

    @rule(name=hosts, delayed=strategies.booleans())
    def step_with_lost_response(self, name, delayed):
        write = self.decide_step(name)
        if write is None:
            return
        if delayed:
            self.delayed_writes.append(write)
        else:
            self.store.write(write)
        self.states[name].record_uncertain_write(self.read_clock(name))

    @precondition(lambda machine: machine.delayed_writes)
    @rule(position=positions)
    def take_effect_late(self, position):
        self.store.write(
            self.delayed_writes.pop(position % len(self.delayed_writes))
        )

    @rule(lost_writes=strategies.integers(0, 12))
    def restore(self, lost_writes):
        self.store.restore(lost_writes)

    @rule(name=hosts)
    def release(self, name):
        """Release a lease once its orders have arrived, as a host must."""
        while self.has_orders_in_flight(self.states[name].term):
            self.wait(0.5)
        write = self.states[name].release()
        if write is not None and name not in self.disconnected:
            self.states[name].record_sent_write(write, self.read_clock(name))
            self.store.write(write)
            self.states[name].record_uncertain_write(self.read_clock(name))

    def has_orders_in_flight(self, term):
        return term is not None and any(
            order.fencing_number == term.fencing_number
            for order in self.orders_in_flight
        )

    @rule(names=strategies.sets(hosts))
    def disconnect_from_platform(self, names):
        self.disconnected = names

    @rule(
        ticks=strategies.integers(1, 40),
        awake=strategies.sets(hosts),
        slow=strategies.sets(hosts),
    )
    def work(self, ticks, awake, slow):
        """Let the hosts that are not paused renew the lease and send orders."""
        for _ in range(ticks):
            self.wait(0.5)
            for name in sorted(awake):
                self.step(name)
                self.send_order(name, name in slow)

    def wait(self, seconds):
        self.now += seconds
        arrived = [
            order
            for order in self.orders_in_flight
            if order.arrives_at <= self.now
        ]
        self.orders_in_flight = [
            order
            for order in self.orders_in_flight
            if order.arrives_at > self.now
        ]
        for order in sorted(arrived, key=lambda order: order.arrives_at):
            # No stale order arrives, even if engines don't check for them.
            assert order.fencing_number >= self.latest_fencing_number
            self.latest_fencing_number = order.fencing_number

    def send_order(self, name, slow):
        term = self.states[name].term
        if term is not None and term.allows(self.read_clock(name)):
            self.used_fencing_number = max(
                self.used_fencing_number, term.fencing_number
            )
            flight_seconds = TIMING.order_seconds if slow else 0
            arrives_at = self.now + flight_seconds
            self.orders_in_flight.append(Order(term.fencing_number, arrives_at))

    @invariant()
    def check_one_holder(self):
        holders = [
            name
            for name, state in self.states.items()
            if state.term and state.term.allows(self.read_clock(name))
        ]
        assert len(holders) <= 1, holders

    def teardown(self):
        """Check that a host gets the lease once the platform has recovered."""
        self.disconnected = set()
        for _ in range(60):
            self.wait(1)
            for name in NAMES:
                self.step(name)
        assert any(
            state.term and state.term.allows(self.read_clock(name))
            for name, state in self.states.items()
        )


class DeadlineTest(unittest.TestCase):
    """Check that the holder's deadline is measured from before its write.

    Measured from the response, it could lie after the successor's takeover.
    """

    def test_time_counts_from_before_the_write(self):
        state = LeaseState('north', TIMING)
        state.record_read(0, None, 100)
        write = state.decide(100, 0, 'token')
        state.record_sent_write(write, 100)
        state.record_successful_write(1, 109)
        self.assertEqual(state.term.deadline, 100 + TIMING.use_seconds)


class FencingNumberTest(unittest.TestCase):
    """Take over after the store has lost the last holder's number."""

    def test_number_follows_those_that_the_store_has_lost(self):
        """A host whose clock is behind took a number that was refused."""
        state = LeaseState('north', TIMING)
        state.record_read(0, None, 100)
        write = state.decide(100, 5, 'token', known_number=7000)
        self.assertEqual(write.record.fencing_number, 7001)


class EraTest(unittest.TestCase):
    """Read a released record on a host that had not competed before."""

    def test_released_lease_is_taken_at_once_in_an_era_known_for_long(self):
        record = LeaseRecord('south', 'token', 7, released=True)
        state = LeaseState('north', TIMING)
        state.record_era(1, 100)
        now = 100 + TIMING.takeover_seconds
        state.record_read(5, record, now, era=1)
        self.assertIsInstance(state.decide(now, 0, 'next'), Write)

    def test_released_lease_is_not_taken_at_once_in_a_new_era(self):
        """A holder that the store had forgotten still acted."""
        record = LeaseRecord('south', 'token', 7, released=True)
        state = LeaseState('north', TIMING)
        state.record_read(5, record, 100, era=1)
        self.assertNotIsInstance(state.decide(100, 0, 'next'), Write)


class LeaseTest(LeaseMachine.TestCase):
    """Run the state machine."""


LeaseTest.settings = settings(max_examples=400, stateful_step_count=20)
