"""Simulate the mesh of many hosts in one process, in virtual time.

Messages arrive immediately, unless the zones of the two hosts are partitioned.
No sockets are used: the simulation runs only the code that chooses partners,
creates messages and stores the records received.
"""

import time
from collections import Counter
from dataclasses import dataclass, field

from msgspec import msgpack

from monsoonwall.decisions.gossip import Identity
from monsoonwall.decisions.membership import Membership, Timing
from monsoonwall.mesh.board import Entry, Fact
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.rounds import RoundPlanner
from monsoonwall.mesh.store import HOST_KIND, HostRecord, RecordStore


@dataclass
class HostUsage:
    """Count one host's messages, their bytes and its processor seconds.

    Sent and received messages both count.
    """

    bytes: int = 0
    messages: int = 0
    seconds: float = 0


class FleetHost:
    """Hold the mesh state of one host and the logic that updates it."""

    def __init__(self, name, zone, incarnation, now, seeds):
        self.name = name
        self.zone = zone
        self.record = HostRecord(name, zone, 'region', name)
        self.notifications = []
        self.store = RecordStore(
            Identity(name, zone, 'region'),
            incarnation,
            Membership(Timing(), now),
            self.notifications.append,
        )
        self.exchanger = Exchanger(self.store)
        self.planner = RoundPlanner(self.store, seeds, now)
        self.store.write(
            self.store.own_log, HOST_KIND, '', msgpack.encode(self.record)
        )
        self.usage = HostUsage()

    def publish(self, kind: str, key: str, payload: bytes) -> None:
        self.store.set_entry(Entry(self.name, kind, key, payload))
        self.planner.outbox.put(kind, key, payload)

    def merge_fact(self, fact: Fact, now: float) -> bool:
        return self.store.merge_fact(fact, now)


@dataclass
class Fleet:
    """Run hosts and pass messages between them.

    ``partitions`` holds pairs of zones that cannot reach each other.
    """

    now: float = 1000
    hosts: dict = field(default_factory=dict)
    partitions: set = field(default_factory=set)
    seeds: tuple = ()
    incarnations: Counter = field(default_factory=Counter)

    def start(self, name: str, zone: str) -> FleetHost:
        """Start or restart a host."""
        self.incarnations[name] += 1
        host = FleetHost(
            name, zone, self.incarnations[name], self.now, self.seeds
        )
        self.hosts[name] = host
        return host

    def connects(self, host: FleetHost, other: FleetHost) -> bool:
        return frozenset((host.zone, other.zone)) not in self.partitions

    def exchange(
        self, initiator: FleetHost, responder: FleetHost, zones
    ) -> None:
        """Run one exchange of records between two hosts."""
        started = time.process_time()
        request = initiator.exchanger.make_request(zones)
        self._count_usage(initiator, started, request)
        started = time.process_time()
        reply = responder.exchanger.make_reply(
            request, responder.planner.zones, self.now
        )
        self._count_usage(responder, started, request, reply)
        started = time.process_time()
        push = initiator.exchanger.apply_reply(reply, self.now, self.now)
        self._count_usage(initiator, started, reply)
        if push is not None:
            self.push(initiator, responder, push)

    def push(self, sender: FleetHost, receiver: FleetHost, push) -> tuple:
        """Deliver records and facts; return the facts new to the receiver."""
        self._count_usage(sender, time.process_time(), push)
        started = time.process_time()
        receiver.store.apply_deltas(push.deltas, self.now)
        new_facts = receiver.exchanger.merge_facts(push.facts, self.now)
        self._count_usage(receiver, started, push)
        return new_facts

    def run_round(self, host: FleetHost) -> None:
        """Run one gossip round of a host."""
        started = time.process_time()
        host.store.begin_round(self.now, self.now)
        rounds = host.planner.plan(host.record, self.now)
        host.usage.seconds += time.process_time() - started
        for gossip in rounds:
            for peer in gossip.partners:
                self._exchange_with(host, peer.name, gossip.zones)
        for seed in host.planner.choose_seeds(self.now):
            self._exchange_with(host, seed, host.planner.zones)

    def run(self, seconds: float, step: float = 0.25) -> None:
        """Run all hosts' gossip rounds for some virtual seconds."""
        end = self.now + seconds
        due = dict.fromkeys(self.hosts, self.now)
        while self.now < end:
            for name, host in tuple(self.hosts.items()):
                if due.get(name, self.now) <= self.now:
                    due[name] = self.now + host.planner.round_seconds
                    self.run_round(host)
            self.now += step

    def propagate_fact(self, host: FleetHost, fact: Fact) -> dict:
        """Push a fact from host to host; return the hops to each host."""
        host.merge_fact(fact, self.now)
        hops = {host.name: 0}
        queue = [host]
        while queue:
            sender = queue.pop(0)
            for other in self._push_fact(sender, fact, sender is not host):
                hops[other.name] = hops[sender.name] + 1
                queue.append(other)
        return hops

    def _push_fact(
        self, sender: FleetHost, fact: Fact, forwarded: bool
    ) -> list:
        push = sender.exchanger.make_push([fact])
        others = [
            self.hosts[peer.name]
            for peer in sender.planner.choose_push_targets(forwarded)
            if peer.name in self.hosts
        ]
        return [
            other
            for other in others
            if self.connects(sender, other) and self.push(sender, other, push)
        ]

    def _exchange_with(self, host: FleetHost, name: str, zones) -> None:
        other = self.hosts.get(name)
        if other is None:
            host.store.membership.mark_unreachable(name, self.now)
        elif self.connects(host, other):
            self.exchange(host, other, zones)

    def _count_usage(self, host: FleetHost, started: float, *messages) -> None:
        host.usage.seconds += time.process_time() - started
        host.usage.messages += len(messages)
        host.usage.bytes += sum(message.ByteSize() for message in messages)
