"""Fuzz the replication of records between hosts against a simple model.

Messages are delayed, duplicated, reordered and lost; hosts are paused and
restarted. The oracle holds every value that was ever published.
"""

from collections import defaultdict
from dataclasses import dataclass
from itertools import permutations

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from benchmarks.fleet import FleetHost
from monsoonwall.mesh.board import Entry, Fact
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.store import HOST_KIND

NAMES = ('north', 'south', 'east')
KEYS = ('load', 'evidence', 'cache')
# Small enough that most deltas are truncated.
MAX_SECTION_BYTES = 60
ROUND_SECONDS = 0.5

hosts = strategies.sampled_from(NAMES)
keys = strategies.sampled_from(KEYS)
payloads = strategies.binary(min_size=1, max_size=2)
positions = strategies.integers(min_value=0, max_value=30)


@dataclass(frozen=True)
class Message:
    """Hold one message in flight."""

    source: str
    target: str
    content: object


class Oracle:
    """Record the state of each log at each sequence number, and all facts."""

    def __init__(self):
        self.states = defaultdict(lambda: {0: {}})
        self.facts = set()

    def add_record(self, log, record):
        states = self.states[log.name, log.incarnation]
        states[record.sequence] = {
            **states[record.sequence - 1],
            (record.kind, record.key): record.payload,
        }


class MergeMachine(RuleBasedStateMachine):
    """Run the gossip of three hosts over an unreliable network."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.oracle = Oracle()
        self.hosts = {}
        self.in_flight = []
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.seen_incarnations = {}
        for name in NAMES:
            self.restart(name)

    @rule(name=hosts)
    def restart(self, name):
        self.incarnations[name] += 1
        host = FleetHost(name, 'zone', self.incarnations[name], self.now, ())
        host.exchanger = Exchanger(host.store, MAX_SECTION_BYTES)
        log = host.store.own_log
        self.oracle.add_record(log, log.records[HOST_KIND, ''])
        self.hosts[name] = host
        for log_copy in tuple(self.seen_incarnations):
            if log_copy[0] == name:
                self.seen_incarnations.pop(log_copy)

    @rule(name=hosts, key=keys, payload=payloads)
    def publish(self, name, key, payload):
        store = self.hosts[name].store
        store.set_entry(Entry(name, 'kind', key, payload))
        record = store.write(store.own_log, 'kind', key, payload)
        self.oracle.add_record(store.own_log, record)

    @rule(
        name=hosts,
        key=keys,
        payload=payloads,
        lifetime=strategies.floats(1, 20),
    )
    def publish_fact(self, name, key, payload, lifetime):
        fact = Fact('verdict', key, payload, self.now + lifetime)
        self.oracle.facts.add(fact)
        self.hosts[name].merge_fact(fact, self.now)

    @rule(name=hosts, other=hosts)
    def remove_peer(self, name, other):
        if name != other:
            self.hosts[name].store.remove_log(other)

    @rule(source=hosts, receiver=hosts)
    def send_request(self, source, receiver):
        request = self.hosts[source].exchanger.make_request(())
        self.in_flight.append(Message(source, receiver, request))

    @precondition(lambda machine: machine.in_flight)
    @rule(position=positions, duplicate=strategies.booleans())
    def deliver(self, position, duplicate):
        index = position % len(self.in_flight)
        message = self.in_flight[index]
        if not duplicate:
            self.in_flight.pop(index)
        reply = self.receive(message)
        if reply is not None:
            self.in_flight.append(
                Message(message.target, message.source, reply)
            )

    @precondition(lambda machine: machine.in_flight)
    @rule(position=positions)
    def lose(self, position):
        self.in_flight.pop(position % len(self.in_flight))

    @rule(
        rounds=strategies.integers(1, 10),
        paused=strategies.sets(hosts, max_size=2),
    )
    def wait(self, rounds, paused):
        for _ in range(rounds):
            self.now += ROUND_SECONDS
            for name in NAMES:
                if name not in paused:
                    self.hosts[name].store.begin_round(self.now, self.now)

    def receive(self, message):
        exchanger = self.hosts[message.target].exchanger
        content = message.content
        match type(content).__name__:
            case 'ExchangeRequest':
                return exchanger.make_reply(content, (), self.now)
            case 'ExchangeReply':
                return exchanger.apply_reply(content, self.now, self.now)
            case _:
                exchanger.store.apply_deltas(content.deltas, self.now)
                exchanger.merge_facts(content.facts, self.now)
        return None

    @invariant()
    def check_logs(self):
        """Each copy equals a state of its origin, and never an older one."""
        for host in self.hosts.values():
            for log in host.store.logs:
                held = {
                    record_key: record.payload
                    for record_key, record in log.records.items()
                }
                states = self.oracle.states[log.name, log.incarnation]
                assert held == states[log.sequence]
                log_copy = host.name, log.name
                assert (
                    self.seen_incarnations.get(log_copy, 0) <= log.incarnation
                )
                self.seen_incarnations[log_copy] = log.incarnation

    @invariant()
    def check_facts(self):
        for host in self.hosts.values():
            assert self.oracle.facts.issuperset(
                host.store.facts.read('verdict', self.now)
            )

    def teardown(self):
        """Once no messages are lost, all hosts have the latest records."""
        expected_facts = self.merge_naively()
        self.run_lossless_rounds(NAMES, 30)
        for host in self.hosts.values():
            latest = {
                (name, key): payload
                for name, other in self.hosts.items()
                for (kind, key), payload in self.oracle.states[
                    name, self.incarnations[name]
                ][other.store.own_log.sequence].items()
                if kind == 'kind'
            }
            assert latest == {
                (entry.origin, entry.key): entry.payload
                for entry in host.store.read_entries('kind')
            }
            assert set(host.store.facts.read('verdict', self.now)) == {
                fact for fact in expected_facts if fact.expires_wall > self.now
            }

        self.check_silent_host_is_removed()

    def check_silent_host_is_removed(self):
        """A silent host is removed, and no copy of its log revives it."""
        silent, *others = NAMES
        self.run_lossless_rounds(others, 60)
        for name in others:
            assert self.hosts[name].store.logs.find(silent) is None

    def run_lossless_rounds(self, names, rounds):
        """Run exchanges between all pairs of hosts without losses."""
        for _ in range(rounds):
            for source, receiver in permutations(names, 2):
                self.now += ROUND_SECONDS / 6
                self.hosts[source].store.begin_round(self.now, self.now)
                self.in_flight = []
                self.send_request(source, receiver)
                while self.in_flight:
                    self.deliver(0, duplicate=False)

    def merge_naively(self):
        """Return the greatest live fact of each key that any host holds."""
        found = {}
        for host in self.hosts.values():
            for fact in host.store.facts.read('verdict', self.now):
                known = found.get(fact.key, fact)
                found[fact.key] = max(
                    known,
                    fact,
                    key=lambda candidate: (
                        candidate.payload,
                        candidate.expires_wall,
                    ),
                )
        return set(found.values())


MergeMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40
)


class MergeTest(MergeMachine.TestCase):
    """Run the state machine."""
