"""Limit the rate at which this host publishes entries.

Every host of a zone receives and forwards what one of them publishes, so the
rate that each may use falls with the number of hosts. Keys wait in the order
in which they were queued; a newer value replaces a waiting one of its key.
"""

from typing import Final

from monsoonwall.mesh.logs import OriginLog, RecordKey
from monsoonwall.mesh.store import RecordStore
from monsoonwall.mesh.wire.gossip_pb2 import LogRecord

# The largest burst, as the number of seconds at the allowed rate.
_BURST_SECONDS: Final = 4


class Outbox:
    """Queue values until the rate limit permits writing them to a log."""

    def __init__(self, store: RecordStore, log: OriginLog, now: float) -> None:
        self._store = store
        self.log = log
        self._pending: dict[RecordKey, bytes] = {}
        self._available_bytes = float(0)
        self._refilled_at = now - _BURST_SECONDS

    def put(self, kind: str, key: str, payload: bytes) -> None:
        """Queue a value for publication to the other hosts."""
        self._pending[kind, key] = payload

    def find(self, kind: str, key: str) -> bytes | None:
        """Return the last value put under a key, written or still pending."""
        pending = self._pending.get((kind, key))
        if pending is not None:
            return pending
        record = self.log.records.get((kind, key))
        return record.payload if record else None

    def list_keys(self, kind: str) -> set[str]:
        """Return the keys of a kind that have a written or pending value."""
        record_keys = {*self._pending, *self.log.records}
        return {key for record_kind, key in record_keys if record_kind == kind}

    def flush(self, now: float, bytes_per_second: float) -> None:
        """Write as many pending values as the rate allows by now."""
        self._available_bytes = min(
            _BURST_SECONDS * bytes_per_second,
            self._available_bytes
            + (now - self._refilled_at) * bytes_per_second,
        )
        self._refilled_at = now
        while self._pending and self._available_bytes > 0:
            record_key = next(iter(self._pending))
            payload = self._pending.pop(record_key)
            record = self._store.write(self.log, *record_key, payload)
            self._available_bytes -= _count_bytes(record)


def _count_bytes(record: LogRecord) -> int:
    # In a delta, a record takes about two more bytes, for its field number
    # and size.
    return record.ByteSize() + 2
