"""Share crash records and clear records of one kind with the other hosts."""

from abc import ABC, abstractmethod
from asyncio import Queue
from collections.abc import Iterable
from typing import Any, Final

from msgspec import msgpack

from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    ClearRecord,
    CrashHistory,
    CrashRecord,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact

# What completed this recently is not suspected of a crash.
COMPLETED_SECONDS: Final = 60.0
_SWEEP_SECONDS: Final = 30.0

_log = make_logger('suspects')


class ConvictionRecords(ABC):
    """Give access to the crash records that convictions follow from."""

    @abstractmethod
    def list_conviction_records(self) -> tuple[CrashRecord, ...]:
        """Return the records of what is convicted, earliest first."""

    @abstractmethod
    def extend_expiry(self, records: Iterable[CrashRecord]) -> None:
        """Publish records of what is convicted with a long expiry."""


class _RecordTable:
    """Cache crash records or clear records from the board; never blocks.

    ``records`` maps content keys, then the keys of facts, to records.
    """

    def __init__(self, board: Board, kind: str, record_type: type) -> None:
        self.records: dict[str, dict[str, Any]] = {}
        self.change_count = 0
        self._board = board
        self._kind = kind
        self._swept_wall: float = 0
        self._decoder = msgpack.Decoder(record_type)
        # Subscribe before reading, so that no fact is missed in between.
        self._incoming: Queue[Entry | Fact] = board.subscribe(kind)
        for fact in board.read_facts(kind):
            self._merge(fact)

    def refresh(self, now_wall: float) -> None:
        """Merge received facts and drop expired records."""
        while not self._incoming.empty():
            self._merge(self._incoming.get_nowait())
        if now_wall >= self._swept_wall + _SWEEP_SECONDS:
            self._swept_wall = now_wall
            self._drop_expired(now_wall - CONVICTION_SECONDS)

    def publish(
        self, key: str, record: CrashRecord | ClearRecord, expires_wall: float
    ) -> None:
        """Store a record and send it to the other hosts."""
        fact = Fact(self._kind, key, msgpack.encode(record), expires_wall)
        # Merge locally, as the board may deliver the fact with a delay.
        self._merge(fact)
        self._board.publish_fact(fact)

    def _merge(self, fact: Entry | Fact) -> None:
        """Store a record unless a later one with the same key exists."""
        try:
            record = self._decoder.decode(fact.payload)
        except DECODE_ERRORS as error:
            _log.error('Crash record is malformed.', error=str(error))
            return
        by_key = self.records.setdefault(record.content_key, {})
        earlier = by_key.get(fact.key)
        if earlier is None or get_order_time(record) > get_order_time(earlier):
            by_key[fact.key] = record
            self.change_count += 1

    def _drop_expired(self, before_wall: float) -> None:
        self.records = {
            content_key: by_key
            for content_key, by_key in self.records.items()
            if max(map(get_order_time, by_key.values())) > before_wall
        }


class CrashRecords:
    """Hold the crash and clear records of all hosts, and publish new ones."""

    def __init__(self, board: Board, crash_kind: str, clear_kind: str) -> None:
        self._crashes = _RecordTable(board, crash_kind, CrashRecord)
        self._clears = _RecordTable(board, clear_kind, ClearRecord)

    @property
    def change_count(self) -> int:
        """Return a number that differs after each change of the records."""
        return self._crashes.change_count + self._clears.change_count

    def refresh(self, now_wall: float) -> CrashHistory:
        """Return the records, those that have arrived meanwhile included."""
        self._crashes.refresh(now_wall)
        self._clears.refresh(now_wall)
        return CrashHistory(self._crashes.records, self._clears.records)

    def list_crashes(self, content_key: str) -> tuple[CrashRecord, ...]:
        """Return the crash records of a content."""
        return tuple(self._crashes.records.get(content_key, {}).values())

    def publish_crashes(
        self, records: Iterable[CrashRecord], lifetime_seconds: float
    ) -> None:
        """Publish crashes; they expire that long after they happened."""
        for record in records:
            self._crashes.publish(
                f'{record.content_key}/{record.server}',
                record,
                record.crashed_wall + lifetime_seconds,
            )

    def publish_clear(self, record: ClearRecord, expires_wall: float) -> None:
        """Publish that a content completed an attempt."""
        self._clears.publish(record.content_key, record, expires_wall)


def get_order_time(record: CrashRecord | ClearRecord) -> float:
    """Return the time by which the later of two records is found."""
    if isinstance(record, CrashRecord):
        return record.crashed_wall
    return record.started_wall
