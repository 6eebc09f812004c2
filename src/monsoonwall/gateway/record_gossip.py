"""Exchange records between hosts over the mesh.

This is how hosts that do not watch the store, or that it refuses, get them.
"""

import asyncio
import struct
import zlib
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_confirmations import RecordConfirmations
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact, find_expiry

RECORD_KIND: Final = 'positioned-record'
# Random delay before a record is published. Hosts that receive it from another
# host meanwhile need not publish it themselves.
_JITTER_SECONDS: Final = 0.4
_FACT_TTL_SECONDS: Final = 3600.0
# Version, era, revision, and whether the record was listed, written or removed.
# In this order the greater payload, which the board keeps, is the later record.
_HEAD: Final = struct.Struct('>QQQc')
_LISTED: Final = b'*'
_WRITTEN: Final = b'+'
_REMOVED: Final = b'-'

_log = make_logger('spread')


def encode_record(record: Record) -> bytes:
    """Encode a record so that a later one is a greater payload."""
    head = _encode_head(record)
    if record.content is None:
        return head
    return head + zlib.compress(record.content)


def decode_record(fact: Fact) -> Record | None:
    """Decode the record in a fact; return None if it is malformed."""
    kind, _, name = fact.key.partition('/')
    compressed = fact.payload[_HEAD.size :]
    try:
        version, era, revision, presence = _HEAD.unpack(
            fact.payload[: _HEAD.size]
        )
        return Record(
            RecordKind(kind),
            name,
            revision,
            None if presence == _REMOVED else zlib.decompress(compressed),
            era,
            presence == _LISTED,
            version,
        )
    except (ValueError, struct.error, zlib.error) as error:
        _log.warning('Cannot decode record.', key=fact.key, reason=str(error))
        return None


def _encode_head(record: Record) -> bytes:
    presence = _LISTED if record.listed else _WRITTEN
    if record.content is None:
        presence = _REMOVED
    return _HEAD.pack(record.version, record.era, record.revision, presence)


class RecordGossip:
    """Publish adopted records and adopt those of other hosts."""

    def __init__(
        self,
        board: Board,
        record_cache: RecordCache,
        clock: Clock,
        random: Random,
        confirmations: RecordConfirmations | None = None,
    ) -> None:
        self._board = board
        self._record_cache = record_cache
        self._clock = clock
        self._random = random
        self._received = board.subscribe(RECORD_KIND)
        # Kept if the task fails while it adopts a record.
        self._unadopted: Entry | Fact | None = None
        self._pending: asyncio.Queue[Record] = asyncio.Queue()
        # Kept if the task fails and is started again: what is confirmed to
        # other hosts must have been published.
        self._unpublished: list[Record] = []
        record_cache.subscribe(self._pending.put_nowait)
        self._confirmations = confirmations or RecordConfirmations(board)
        record_cache.subscribe(self._confirmations.hold)
        self._confirmations.track_unadopted(self._has_unadopted)

    async def run(self) -> None:
        """Receive and publish records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._publish_records())

    async def _receive(self) -> None:
        while True:
            if self._unadopted is None:
                self._unadopted = await self._received.get()
            self._adopt(self._unadopted)
            self._unadopted = None

    def _has_unadopted(self) -> bool:
        return self._unadopted is not None or not self._received.empty()

    def _adopt(self, received: Entry | Fact) -> None:
        if not isinstance(received, Fact):
            return
        record = decode_record(received)
        if record is not None and self._record_cache.adopt(record):
            _log.info(
                'Record received from another host.',
                key=received.key,
                era=record.era,
                revision=record.revision,
            )

    async def _publish_records(self) -> None:
        while True:
            if not self._unpublished:
                self._unpublished.append(await self._pending.get())
            await asyncio.sleep(_JITTER_SECONDS * self._random.random())
            while not self._pending.empty():
                self._unpublished.append(self._pending.get_nowait())
            published = {
                fact.key: fact.payload
                for fact in self._board.read_facts(RECORD_KIND)
            }
            for record in self._unpublished:
                self._publish(record, published)
            self._unpublished.clear()
            self._confirmations.release()

    def _publish(self, record: Record, published: dict[str, bytes]) -> None:
        key = f'{record.kind}/{record.name}'
        published_head = published.get(key, b'')[: _HEAD.size]
        if published_head >= _encode_head(record):
            return
        expires_wall = find_expiry(self._clock.read_wall(), _FACT_TTL_SECONDS)
        self._board.publish_fact(
            Fact(RECORD_KIND, key, encode_record(record), expires_wall)
        )
