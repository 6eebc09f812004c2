"""Keep one log of entries for each origin, and compare logs.

An origin numbers its entries; a log holds the last entry of each key in the
order of these numbers. A delta is always a run of that order, so a log is at
any time what its origin had published by some number, and two numbers, of
incarnation and sequence, tell all about which part of it a host has.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

from monsoonwall.mesh.wire.gossip_pb2 import LogDelta, LogRecord

RecordKey = tuple[str, str]


def make_origin_id(name: str, incarnation: int) -> int:
    """Return the number that stands for an origin in digests."""
    return xxh64_intdigest(f'{name}/{incarnation}'.encode())


@dataclass
class OriginLog:
    """Hold the entries of one origin's incarnation."""

    name: str
    zone: str
    incarnation: int
    sequence: int = 0
    heartbeat: int = 0
    records: dict[RecordKey, LogRecord] = field(default_factory=dict)

    def append(self, record: LogRecord) -> None:
        """Add a record above all others."""
        record_key = record.kind, record.key
        # The dictionary's order is the order of the sequence numbers.
        self.records.pop(record_key, None)
        self.records[record_key] = record
        self.sequence = record.sequence

    def list_after(self, sequence: int) -> list[LogRecord]:
        """Return the records above a sequence number, in order."""
        found = []
        for record in reversed(self.records.values()):
            if record.sequence <= sequence:
                break
            found.append(record)
        found.reverse()
        return found

    def make_delta(self, base: int, max_bytes: int) -> LogDelta:
        """Return the records above ``base`` that fit, one at least."""
        delta = LogDelta(
            origin=self.name,
            zone=self.zone,
            incarnation=self.incarnation,
            base=base,
            through=self.sequence,
            heartbeat=self.heartbeat,
        )
        size = 0
        for record in self.list_after(base):
            size += record.ByteSize()
            if size > max_bytes and delta.records:
                delta.through = delta.records[-1].sequence
                break
            delta.records.append(record)
        return delta


class LogTable:
    """Hold the logs of all known origins by name and by digest number."""

    def __init__(self) -> None:
        self._by_name: dict[str, OriginLog] = {}
        self._by_id: dict[int, OriginLog] = {}

    def __iter__(self) -> Iterator[OriginLog]:
        """Iterate over the logs."""
        return iter(self._by_name.values())

    def __len__(self) -> int:
        """Return the number of logs."""
        return len(self._by_name)

    def add(self, log: OriginLog) -> None:
        """Add a log in place of any of the same name."""
        self.drop(log.name)
        self._by_name[log.name] = log
        self._by_id[make_origin_id(log.name, log.incarnation)] = log

    def drop(self, name: str) -> OriginLog | None:
        """Remove and return a log."""
        log = self._by_name.pop(name, None)
        if log is not None:
            self._by_id.pop(make_origin_id(name, log.incarnation))
        return log

    def find(self, name: str) -> OriginLog | None:
        """Return the log of a name."""
        return self._by_name.get(name)

    def find_by_id(self, origin_id: int) -> OriginLog | None:
        """Return the log of a digest number."""
        return self._by_id.get(origin_id)

    def apply(self, delta: LogDelta) -> tuple[LogRecord, ...]:
        """Take in a delta; return the records that are new here.

        A delta of an earlier incarnation, or one that leaves a gap after
        what is known, changes nothing.
        """
        log = self._by_name.get(delta.origin)
        if log is None or log.incarnation < delta.incarnation:
            if delta.base:
                return ()
            log = OriginLog(delta.origin, delta.zone, delta.incarnation)
            self.add(log)
        if log.incarnation > delta.incarnation or delta.base > log.sequence:
            return ()
        fresh = _select_after(delta.records, log.sequence)
        for record in fresh:
            log.append(record)
        log.sequence = max(log.sequence, delta.through)
        log.heartbeat = max(log.heartbeat, delta.heartbeat)
        return fresh


def _select_after(
    records: Iterable[LogRecord], sequence: int
) -> tuple[LogRecord, ...]:
    return tuple(record for record in records if record.sequence > sequence)
