"""Pace what this host publishes, so that gossip keeps its budget.

Every host of a zone receives and hands on what one of them publishes, so the
rate that each may use falls with their number. A value that waits is
replaced by a newer one of the same key, and keys wait in turn.
"""

from typing import Final

from monsoonwall.mesh.logs import OriginLog, Place
from monsoonwall.mesh.store import RecordStore
from monsoonwall.mesh.wire.gossip_pb2 import LogRecord

# Seconds' worth of the rate that may be written at once.
_BURST_SECONDS: Final = 4


class Outbox:
    """Hold the values that wait for their place in a log."""

    def __init__(self, store: RecordStore, log: OriginLog, now: float) -> None:
        self._store = store
        self.log = log
        self._waiting: dict[Place, bytes] = {}
        self._allowance = float(0)
        self._filled = now - _BURST_SECONDS

    def put(self, kind: str, key: str, payload: bytes) -> None:
        """Set a value; this host reads it at once, the others in time."""
        self._waiting[kind, key] = payload

    def find(self, kind: str, key: str) -> bytes | None:
        """Return the last value put under a key."""
        waiting = self._waiting.get((kind, key))
        if waiting is not None:
            return waiting
        record = self.log.records.get((kind, key))
        return record.payload if record else None

    def list_keys(self, kind: str) -> set[str]:
        """Return the keys of a kind that have a value."""
        places = {*self._waiting, *self.log.records}
        return {key for written, key in places if written == kind}

    def flush(self, now: float, bytes_per_second: float) -> None:
        """Write as many values as the rate has allowed by now."""
        self._allowance = min(
            _BURST_SECONDS * bytes_per_second,
            self._allowance + (now - self._filled) * bytes_per_second,
        )
        self._filled = now
        while self._waiting and self._allowance > 0:
            place = next(iter(self._waiting))
            payload = self._waiting.pop(place)
            record = self._store.write(self.log, *place, payload)
            self._allowance -= _measure(record)


def _measure(record: LogRecord) -> int:
    return record.ByteSize() + 2
