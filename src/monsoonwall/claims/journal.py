"""Store one shard's claims in the platform as a head and sealed segments.

The head is replaced by conditional updates, so several writers are safe. To
keep it small, its records are moved into segments that never change. A head
lists its segments, so one read of it shows whether the records in memory are
complete.
"""

from dataclasses import dataclass
from hashlib import sha256
from typing import Final

from msgspec import json
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.decisions.claims import ClaimRecord
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

MAX_HEAD_RECORDS: Final = 256
RETENTION_SECONDS: Final = 86_400.0


@dataclass(frozen=True)
class Segment:
    """Hold a sealed segment's key and the Unix time of its last record."""

    key: str
    last_wall: float


@dataclass(frozen=True)
class Head:
    """Hold the segments, and the records that are in no segment yet."""

    segments: tuple[Segment, ...] = ()
    records: tuple[ClaimRecord, ...] = ()


@dataclass(frozen=True)
class LoadedHead:
    """Hold a head and its object version; 0 if there is no object yet."""

    head: Head
    version: int


class Journal:
    """Read and write the journal of one shard."""

    def __init__(self, store: ObjectStore, shard: int) -> None:
        self._store = store
        self._key = f'claims/{shard}'
        self._segments: dict[str, tuple[ClaimRecord, ...]] = {}
        self._expired: list[str] = []

    async def load(self) -> Result[LoadedHead, StoreFailure]:
        """Read the head, and the segments that are not in memory yet."""
        found = await self._store.read(self._key, CallReason.claim)
        if not is_successful(found):
            if found.failure() is StoreFailure.missing:
                return Success(LoadedHead(Head(), 0))
            return Failure(found.failure())
        stored = found.unwrap()
        head = json.decode(stored.content, type=Head)
        for segment in head.segments:
            failure = await self._load_segment(segment.key)
            if failure is not None:
                return Failure(failure)
        return Success(LoadedHead(head, stored.version))

    def list_records(self, head: Head) -> list[ClaimRecord]:
        """Return the records of a loaded head and its segments in order."""
        records: list[ClaimRecord] = []
        for segment in head.segments:
            records.extend(self._segments[segment.key])
        records.extend(head.records)
        return records

    async def append(
        self,
        loaded: LoadedHead,
        records: tuple[ClaimRecord, ...],
        now_wall: float,
    ) -> Result[LoadedHead, StoreFailure]:
        """Append records to a loaded head; fail with a conflict if it is stale.

        Segments older than the retention time are dropped from the new head.
        """
        head = Head(
            _drop_expired(loaded.head.segments, now_wall),
            (*loaded.head.records, *records),
        )
        if len(head.records) > MAX_HEAD_RECORDS:
            sealed = await self._seal(head, loaded.version)
            if not is_successful(sealed):
                return Failure(sealed.failure())
            head = sealed.unwrap()
        written = await self._write_head(json.encode(head), loaded.version)
        if not is_successful(written):
            return Failure(written.failure())
        # Dropped segments are unused only once a head without them is stored.
        for segment in loaded.head.segments:
            if segment not in head.segments:
                self._segments.pop(segment.key, None)
                self._expired.append(segment.key)
        return Success(LoadedHead(head, written.unwrap().version))

    async def delete_expired(self) -> None:
        """Delete the segments that were dropped from the head."""
        while self._expired:
            key = self._expired.pop()
            found = await self._store.read(key, CallReason.claim)
            if is_successful(found):
                version = found.unwrap().version
                await self._store.delete(key, version, CallReason.claim)

    async def _write_head(
        self, content: bytes, version: int
    ) -> Result[StoredObject, StoreFailure]:
        if version:
            return await self._store.update(
                self._key, content, version, CallReason.claim
            )
        return await self._store.create(self._key, content, CallReason.claim)

    async def _load_segment(self, key: str) -> StoreFailure | None:
        if key in self._segments:
            return None
        found = await self._store.read(key, CallReason.claim)
        if not is_successful(found):
            return found.failure()
        self._segments[key] = json.decode(
            found.unwrap().content, type=tuple[ClaimRecord, ...]
        )
        return None

    async def _seal(
        self, head: Head, version: int
    ) -> Result[Head, StoreFailure]:
        # The key contains a hash of the content, so a segment that already
        # has this key is identical. The version distinguishes later heads
        # with equal content.
        content = json.encode(head.records)
        digest = sha256(content).hexdigest()
        key = f'{self._key}/{version}-{digest}'
        written = await self._store.create(key, content, CallReason.claim)
        if not is_successful(written):
            failure = written.failure()
            if failure is not StoreFailure.conflict:
                return Failure(failure)
        self._segments[key] = head.records
        segment = Segment(key, head.records[-1].written_wall)
        return Success(Head((*head.segments, segment), ()))


def _drop_expired(
    segments: tuple[Segment, ...], now_wall: float
) -> tuple[Segment, ...]:
    return tuple(
        segment
        for segment in segments
        if segment.last_wall + RETENTION_SECONDS > now_wall
    )
