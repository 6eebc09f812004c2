"""Keep what this host knows of all hosts, and merge what arrives."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack

from monsoonwall.decisions.gossip import Self
from monsoonwall.decisions.membership import Membership, Pulse
from monsoonwall.mesh.board import Entry, Fact
from monsoonwall.mesh.facts import FactTable
from monsoonwall.mesh.logs import LogTable, OriginLog
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.wire.gossip_pb2 import LogDelta, LogRecord

HOST_KIND: Final = 'host'


@dataclass(frozen=True)
class HostRecord:
    """Hold what a host says of itself under the kind ``host``.

    ``leaving`` asks for no new work; ``left`` ends the host's membership.
    """

    zone: str
    region: str
    address: str
    leaving: bool = False
    left: bool = False


class RecordStore:
    """Hold the logs, facts and members as one host knows them."""

    def __init__(
        self,
        own: Self,
        incarnation: int,
        membership: Membership,
        announce: Callable[[Entry | Fact], None],
    ) -> None:
        self.own = own
        self.facts = FactTable()
        self.logs = LogTable()
        self.membership = membership
        self._announce = announce
        self._entries: dict[str, dict[tuple[str, str], Entry]] = {}
        self._peers: dict[str, Peer] = {}
        self.own_log = OriginLog(own.name, own.zone, incarnation)
        self.logs.add(self.own_log)

    def describe_self(self, record: HostRecord) -> None:
        """Publish what this host says of itself."""
        self.publish(HOST_KIND, '', msgpack.encode(record))

    def publish(self, kind: str, key: str, payload: bytes) -> None:
        """Set this host's entry under a key."""
        log = self.own_log
        record = LogRecord(
            kind=kind, key=key, payload=payload, sequence=log.sequence + 1
        )
        log.put(record)
        self._take_record(log, record)

    def merge_fact(self, fact: Fact, now_wall: float) -> bool:
        """Keep a fact if it stands; return whether it is new here."""
        fresh = self.facts.merge(fact, now_wall)
        if fresh:
            self._announce(fact)
        return fresh

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return the entries of a kind of all hosts that are not gone."""
        return tuple(self._entries.get(kind, {}).values())

    def list_peers(self) -> tuple[Peer, ...]:
        """Return the other hosts that are not gone."""
        return tuple(self._peers.values())

    def find_peer(self, name: str) -> Peer | None:
        """Return another host that is not gone."""
        return self._peers.get(name)

    def begin_round(self, now: float, now_wall: float) -> tuple[str, ...]:
        """Beat, and drop what is over; return the hosts judged gone."""
        self.own_log.heartbeat += 1
        self.facts.expire(now_wall)
        gone = self.membership.judge(now)
        for name in gone:
            self._drop(name)
        return gone

    def hear(self, log: OriginLog, heartbeat: int, now: float) -> None:
        """Take in a heartbeat of a known origin."""
        if log is self.own_log:
            return
        pulse = Pulse(log.incarnation, heartbeat)
        if self.membership.hear(log.name, pulse, now):
            log.heartbeat = heartbeat

    def take_deltas(self, deltas: Iterable[LogDelta], now: float) -> None:
        """Keep what is new of other hosts' logs."""
        for delta in deltas:
            if delta.origin != self.own.name:
                self._take_delta(delta, now)

    def _take_delta(self, delta: LogDelta, now: float) -> None:
        pulse = Pulse(delta.incarnation, delta.heartbeat)
        known = self.logs.find(delta.origin)
        if known is None and not self.membership.is_news(delta.origin, pulse):
            return
        if known is not None and known.incarnation < delta.incarnation:
            self._drop(delta.origin)
        fresh = self.logs.apply(delta)
        log = self.logs.find(delta.origin)
        if log is None:
            return
        self.membership.hear(delta.origin, pulse, now)
        for record in fresh:
            self._take_record(log, record)
        if _has_left(log):
            self.membership.remove(log.name)
            self._drop(log.name)

    def _take_record(self, log: OriginLog, record: LogRecord) -> None:
        entry = Entry(log.name, record.kind, record.key, record.payload)
        kind = self._entries.setdefault(entry.kind, {})
        kind[entry.origin, entry.key] = entry
        self._announce(entry)
        if record.kind == HOST_KIND and log is not self.own_log:
            self._take_host(log, record.payload)

    def _take_host(self, log: OriginLog, payload: bytes) -> None:
        record = _read_host(payload)
        if record is None:
            return
        self._peers[log.name] = Peer(
            log.name,
            record.zone,
            record.region,
            record.address,
            log.incarnation,
            record.leaving,
        )

    def _drop(self, name: str) -> None:
        self._peers.pop(name, None)
        log = self.logs.drop(name)
        if log is None:
            return
        for kind, key in log.records:
            self._entries[kind].pop((name, key), None)


def _read_host(payload: bytes) -> HostRecord | None:
    try:
        return msgpack.decode(payload, type=HostRecord)
    except (DecodeError, ValidationError):
        return None


def _has_left(log: OriginLog) -> bool:
    found = log.records.get((HOST_KIND, ''))
    record = found and _read_host(found.payload)
    return bool(record and record.left)
