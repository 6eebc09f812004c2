"""Store the records of all hosts, and merge the updates that arrive."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from msgspec import msgpack

from monsoonwall.decisions.gossip import Identity
from monsoonwall.decisions.membership import HeartbeatState, Membership
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.mesh.board import Entry, Fact
from monsoonwall.mesh.facts import FactTable
from monsoonwall.mesh.logs import LogTable, OriginLog, RecordKey
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.watermarks import WatermarkTable
from monsoonwall.mesh.wire.gossip_pb2 import LogDelta, LogRecord

HOST_KIND: Final = 'host'
# The zone under which the summary logs of all zones are exchanged.
SUMMARY_ZONE: Final = ''


@dataclass(frozen=True)
class HostRecord:
    """Describe a host; each host publishes its own under ``HOST_KIND``.

    In a zone's summary the record describes the relay that writes it, and
    ``hosts`` is the number of hosts in the zone. A host that is ``leaving``
    must get no new work. ``left`` ends the log: receivers drop it.
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
    """Hold the identity of another host's log and its host record.

    ``zone`` is that of the log: ``SUMMARY_ZONE`` for a zone's summary.
    """

    name: str
    zone: str
    incarnation: int
    record: HostRecord

    @property
    def is_summary(self) -> bool:
        """Return whether the log is a zone's summary."""
        return self.zone == SUMMARY_ZONE

    @property
    def peer(self) -> Peer:
        """Return the host that wrote the log, as a peer."""
        return Peer(
            self.record.name,
            self.record.zone,
            self.record.region,
            self.record.address,
            self.incarnation,
            self.record.leaving,
        )


class RecordStore:
    """Hold one host's copy of all logs, facts and host records.

    Hosts' logs are dropped when the membership considers the host gone.
    ``hosts_version`` changes with each change of ``list_host_logs``.
    """

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
        self.watermarks = WatermarkTable()
        self.logs = LogTable()
        self.membership = membership
        self._notify = notify
        self._entries: dict[str, dict[RecordKey, Entry]] = {}
        self._host_logs: dict[str, HostLog] = {}
        self._own_logs: dict[str, OriginLog] = {}
        self.own_log = OriginLog(own.name, own.zone, incarnation)
        self.open_log(self.own_log)

    def open_log(self, log: OriginLog) -> None:
        """Start writing a log.

        Records of this log from before a restart, received from peers, are
        dropped. Its name is removed from the membership as well: there it
        would time out, and the log written now would be dropped with it.
        """
        self.remove_log(log.name)
        self._own_logs[log.name] = log
        self.logs.add(log)

    def close_log(self, log: OriginLog, now: float) -> None:
        """Stop writing a log; it times out like that of a silent host."""
        self._own_logs.pop(log.name)
        heartbeat_state = HeartbeatState(log.incarnation, log.heartbeat)
        self.membership.record_heartbeat(log.name, heartbeat_state, now)

    def write(
        self, log: OriginLog, kind: str, key: str, payload: bytes
    ) -> LogRecord:
        """Append a record to a log that this host writes."""
        record = LogRecord(
            kind=kind, key=key, payload=payload, sequence=log.sequence + 1
        )
        log.append(record)
        return record

    def set_entry(self, entry: Entry) -> None:
        """Make an entry readable on this host and notify its subscribers."""
        entries_of_kind = self._entries.setdefault(entry.kind, {})
        entries_of_kind[entry.origin, entry.key] = entry
        self._notify(entry)

    def merge_fact(self, fact: Fact, now_wall: float) -> bool:
        """Store a fact if it wins; return whether it did."""
        fresh = self.facts.merge(fact, now_wall)
        if fresh:
            self._notify(fact)
        return fresh

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return the entries of a kind from all logs."""
        return tuple(self._entries.get(kind, {}).values())

    def list_host_logs(self) -> tuple['HostLog', ...]:
        """Return the logs that others write and that have a host record."""
        return tuple(self._host_logs.values())

    def begin_round(self, now: float, now_wall: float) -> tuple[str, ...]:
        """Advance own heartbeats; drop expired facts and logs.

        Returns the names of the logs whose hosts timed out.
        """
        for log in self._own_logs.values():
            log.heartbeat += 1
        self.facts.expire(now_wall)
        timed_out = self.membership.expire_silent(now)
        for name in timed_out:
            self._delete_log(name)
        return timed_out

    def remove_log(self, name: str) -> None:
        """Drop a log; only a later heartbeat or incarnation brings it back."""
        self.membership.remove(name)
        self._delete_log(name)

    def receive_heartbeat(
        self, log: OriginLog, heartbeat: int, now: float
    ) -> None:
        """Record the heartbeat of a log that another host writes."""
        if log.name in self._own_logs:
            return
        heartbeat_state = HeartbeatState(log.incarnation, heartbeat)
        if self.membership.record_heartbeat(log.name, heartbeat_state, now):
            log.heartbeat = heartbeat

    def apply_deltas(self, deltas: Iterable[LogDelta], now: float) -> None:
        """Store the new records of other hosts' logs."""
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
        host_log = self._host_logs.get(log.name)
        if host_log is not None and host_log.record.left:
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
        self._host_logs[log.name] = HostLog(
            log.name, log.zone, log.incarnation, record
        )

    def _delete_log(self, name: str) -> None:
        self.hosts_version += 1
        self._host_logs.pop(name, None)
        log = self.logs.drop(name)
        if log is None:
            return
        for kind, key in log.records:
            self._entries[kind].pop((name, key), None)


def _decode_host_record(payload: bytes) -> HostRecord | None:
    try:
        return msgpack.decode(payload, type=HostRecord)
    except DECODE_ERRORS:
        return None
