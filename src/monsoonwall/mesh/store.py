"""Keep what this host knows of all hosts, and merge what arrives."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack

from monsoonwall.decisions.gossip import Identity
from monsoonwall.decisions.membership import HeartbeatState, Membership
from monsoonwall.mesh.board import Entry, Fact
from monsoonwall.mesh.facts import FactTable
from monsoonwall.mesh.logs import LogTable, OriginLog, RecordKey
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.wire.gossip_pb2 import LogDelta, LogRecord

HOST_KIND: Final = 'host'
# The logs that relays write for their zones form a group of this name.
SUMMARY_ZONE: Final = ''


@dataclass(frozen=True)
class HostRecord:
    """Hold what a host says of itself under the kind ``host``.

    In a zone's summary it describes the relay, and ``hosts`` counts the
    zone's. ``leaving`` asks for no new work; ``left`` ends the log.
    """

    name: str
    zone: str
    region: str
    address: str
    leaving: bool = False
    left: bool = False
    hosts: int = 1


@dataclass(frozen=True)
class HostLog:
    """Name a log of another host and what it says of its writer."""

    name: str
    zone: str
    incarnation: int
    record: HostRecord

    @property
    def is_summary(self) -> bool:
        """Tell a zone's summary from a host's own log."""
        return self.zone == SUMMARY_ZONE

    @property
    def peer(self) -> Peer:
        """Return the peer that wrote the log."""
        return Peer(
            self.record.name,
            self.record.zone,
            self.record.region,
            self.record.address,
            self.incarnation,
            self.record.leaving,
        )


class RecordStore:
    """Hold the logs, facts and members as one host knows them."""

    def __init__(
        self,
        own: Identity,
        incarnation: int,
        membership: Membership,
        notify: Callable[[Entry | Fact], None],
    ) -> None:
        self.own = own
        self.hosts_version = 0
        self.facts = FactTable()
        self.logs = LogTable()
        self.membership = membership
        self._notify = notify
        self._entries: dict[str, dict[RecordKey, Entry]] = {}
        self._hosts: dict[str, HostLog] = {}
        self._own_logs: dict[str, OriginLog] = {}
        self.own_log = OriginLog(own.name, own.zone, incarnation)
        self.open_log(self.own_log)

    def open_log(self, log: OriginLog) -> None:
        """Begin a log that this host writes.

        What is known of it from before a restart is dropped and not judged
        any more, which would end the log that is written now.
        """
        self.remove_log(log.name)
        self._own_logs[log.name] = log
        self.logs.add(log)

    def close_log(self, log: OriginLog, now: float) -> None:
        """Write a log no more; it goes like that of a silent host."""
        self._own_logs.pop(log.name)
        heartbeat_state = HeartbeatState(log.incarnation, log.heartbeat)
        self.membership.record_heartbeat(log.name, heartbeat_state, now)

    def write(
        self, log: OriginLog, kind: str, key: str, payload: bytes
    ) -> LogRecord:
        """Add a record to a log that this host writes."""
        record = LogRecord(
            kind=kind, key=key, payload=payload, sequence=log.sequence + 1
        )
        log.append(record)
        return record

    def set_entry(self, entry: Entry) -> None:
        """Let this host's parts read an entry."""
        kind = self._entries.setdefault(entry.kind, {})
        kind[entry.origin, entry.key] = entry
        self._notify(entry)

    def merge_fact(self, fact: Fact, now_wall: float) -> bool:
        """Keep a fact if it stands; return whether it is new here."""
        fresh = self.facts.merge(fact, now_wall)
        if fresh:
            self._notify(fact)
        return fresh

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return the entries of a kind from all logs."""
        return tuple(self._entries.get(kind, {}).values())

    def list_hosts(self) -> tuple['HostLog', ...]:
        """Return what the logs of other hosts say of their writers.

        ``hosts_version`` changes whenever this does.
        """
        return tuple(self._hosts.values())

    def begin_round(self, now: float, now_wall: float) -> tuple[str, ...]:
        """Beat, and drop what is over; return the logs judged gone."""
        for log in self._own_logs.values():
            log.heartbeat += 1
        self.facts.expire(now_wall)
        gone = self.membership.expire_silent(now)
        for name in gone:
            self._delete_log(name)
        return gone

    def remove_log(self, name: str) -> None:
        """Drop a log until it is heard with a later pulse."""
        self.membership.remove(name)
        self._delete_log(name)

    def receive_heartbeat(
        self, log: OriginLog, heartbeat: int, now: float
    ) -> None:
        """Take in a heartbeat of a known log."""
        if log.name in self._own_logs:
            return
        heartbeat_state = HeartbeatState(log.incarnation, heartbeat)
        if self.membership.record_heartbeat(log.name, heartbeat_state, now):
            log.heartbeat = heartbeat

    def apply_deltas(self, deltas: Iterable[LogDelta], now: float) -> None:
        """Keep what is new of other hosts' logs."""
        for delta in deltas:
            if delta.origin not in self._own_logs:
                self._apply_delta(delta, now)

    def _apply_delta(self, delta: LogDelta, now: float) -> None:
        heartbeat_state = HeartbeatState(delta.incarnation, delta.heartbeat)
        current = self.logs.find(delta.origin)
        if current is None and not self.membership.is_newer(
            delta.origin, heartbeat_state
        ):
            return
        if current is not None and current.incarnation < delta.incarnation:
            self._delete_log(delta.origin)
        fresh = self.logs.apply(delta)
        log = self.logs.find(delta.origin)
        if log is None:
            return
        self.membership.record_heartbeat(delta.origin, heartbeat_state, now)
        for record in fresh:
            self._apply_record(log, record)
        host = self._hosts.get(log.name)
        if host is not None and host.record.left:
            self.remove_log(log.name)

    def _apply_record(self, log: OriginLog, record: LogRecord) -> None:
        if record.kind == HOST_KIND:
            self._apply_host_record(log, record.payload)
        self.set_entry(Entry(log.name, record.kind, record.key, record.payload))

    def _apply_host_record(self, log: OriginLog, payload: bytes) -> None:
        record = _decode_host_record(payload)
        if record is None:
            return
        self.hosts_version += 1
        self._hosts[log.name] = HostLog(
            log.name, log.zone, log.incarnation, record
        )

    def _delete_log(self, name: str) -> None:
        self.hosts_version += 1
        self._hosts.pop(name, None)
        log = self.logs.drop(name)
        if log is None:
            return
        for kind, key in log.records:
            self._entries[kind].pop((name, key), None)


def _decode_host_record(payload: bytes) -> HostRecord | None:
    try:
        return msgpack.decode(payload, type=HostRecord)
    except (DecodeError, ValidationError):
        return None
