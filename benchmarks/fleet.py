"""Run the mesh of many hosts in one process, in virtual time, unsocketed.

Messages arrive at once unless the two hosts are cut from each other. Only
the pure parts run: what they say, to whom, and what they keep of it.
"""

import time
from collections import Counter
from dataclasses import dataclass, field

from msgspec import msgpack

from monsoonwall.decisions.gossip import Identity
from monsoonwall.decisions.membership import Membership, Timing
from monsoonwall.mesh.board import Entry, Fact
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.rounds import Planner
from monsoonwall.mesh.store import HOST_KIND, HostRecord, RecordStore


@dataclass
class Tally:
    """Count what one host sent and received, and the time it took."""

    bytes: int = 0
    messages: int = 0
    seconds: float = 0


class FleetHost:
    """Hold the pure parts of one host's mesh."""

    def __init__(self, name, zone, incarnation, now, seeds):
        self.name = name
        self.zone = zone
        self.record = HostRecord(name, zone, 'region', name)
        self.heard = []
        self.store = RecordStore(
            Identity(name, zone, 'region'),
            incarnation,
            Membership(Timing(), now),
            self.heard.append,
        )
        self.exchanger = Exchanger(self.store)
        self.planner = Planner(self.store, seeds, now)
        self.store.write(
            self.store.own_log, HOST_KIND, '', msgpack.encode(self.record)
        )
        self.tally = Tally()

    def publish(self, kind: str, key: str, payload: bytes) -> None:
        self.store.set_entry(Entry(self.name, kind, key, payload))
        self.planner.outbox.put(kind, key, payload)

    def merge_fact(self, fact: Fact, now: float) -> bool:
        return self.store.merge_fact(fact, now)


@dataclass
class Fleet:
    """Pass messages between hosts."""

    now: float = 1000
    hosts: dict = field(default_factory=dict)
    cuts: set = field(default_factory=set)
    seeds: tuple = ()
    incarnations: Counter = field(default_factory=Counter)

    def start(self, name: str, zone: str) -> FleetHost:
        """Start, or restart, a host."""
        self.incarnations[name] += 1
        host = FleetHost(
            name, zone, self.incarnations[name], self.now, self.seeds
        )
        self.hosts[name] = host
        return host

    def connects(self, one: FleetHost, other: FleetHost) -> bool:
        return frozenset((one.zone, other.zone)) not in self.cuts

    def exchange(self, one: FleetHost, other: FleetHost, zones) -> None:
        """Run one whole exchange."""
        begun = time.process_time()
        request = one.exchanger.make_request(zones)
        self._count(one, begun, request)
        begun = time.process_time()
        reply = other.exchanger.answer(request, other.planner.zones, self.now)
        self._count(other, begun, request, reply)
        begun = time.process_time()
        push = one.exchanger.apply_reply(reply, self.now, self.now)
        self._count(one, begun, reply)
        if push is not None:
            self.push(one, other, push)

    def push(self, one: FleetHost, other: FleetHost, push) -> tuple:
        """Hand over news; return the facts new to the receiver."""
        self._count(one, time.process_time(), push)
        begun = time.process_time()
        other.store.apply_deltas(push.deltas, self.now)
        fresh = other.exchanger.merge_facts(push.facts, self.now)
        self._count(other, begun, push)
        return fresh

    def run_round(self, host: FleetHost) -> None:
        """Run one round of one host."""
        begun = time.process_time()
        host.store.begin_round(self.now, self.now)
        rounds = host.planner.plan(host.record, self.now)
        host.tally.seconds += time.process_time() - begun
        for gossip in rounds:
            for peer in gossip.partners:
                self._call(host, peer.name, gossip.zones)
        for seed in host.planner.choose_seeds(self.now):
            self._call(host, seed, host.planner.zones)

    def run(self, seconds: float, step: float = 0.25) -> None:
        """Let every host run its rounds for a time."""
        end = self.now + seconds
        due = dict.fromkeys(self.hosts, self.now)
        while self.now < end:
            for name, host in tuple(self.hosts.items()):
                if due.get(name, self.now) <= self.now:
                    due[name] = self.now + host.planner.round_seconds
                    self.run_round(host)
            self.now += step

    def spread(self, host: FleetHost, fact: Fact) -> dict:
        """Hand a fact on hop by hop; return each host's number of hops."""
        host.merge_fact(fact, self.now)
        hops = {host.name: 0}
        front = [host]
        while front:
            sender = front.pop(0)
            for other in self._hand_on(sender, fact):
                hops[other.name] = hops[sender.name] + 1
                front.append(other)
        return hops

    def _hand_on(self, sender: FleetHost, fact: Fact) -> list:
        push = sender.exchanger.make_push([fact])
        others = [
            self.hosts[peer.name]
            for peer in sender.planner.choose_push_targets()
            if peer.name in self.hosts
        ]
        return [
            other
            for other in others
            if self.connects(sender, other) and self.push(sender, other, push)
        ]

    def _call(self, host: FleetHost, name: str, zones) -> None:
        other = self.hosts.get(name)
        if other is None:
            host.store.membership.note_unreachable(name, self.now)
        elif self.connects(host, other):
            self.exchange(host, other, zones)

    def _count(self, host: FleetHost, begun: float, *messages) -> None:
        host.tally.seconds += time.process_time() - begun
        host.tally.messages += len(messages)
        host.tally.bytes += sum(one.ByteSize() for one in messages)
