"""Tell the other hosts of records, for those that the store turns away."""

import asyncio
import zlib
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact

RECORD_KIND: Final = 'record'
# The first host to tell saves the others from telling the same.
_SPREAD_SECONDS: Final = 0.4
_KEEP_SECONDS: Final = 3600.0
_REVISION_BYTES: Final = 8
_REMOVED: Final = b'-'
_STANDING: Final = b'+'

_log = make_logger('spread')


def encode_record(record: Record) -> bytes:
    """Return a payload that is greater the higher the revision is."""
    revision = record.revision.to_bytes(_REVISION_BYTES, 'big')
    if record.content is None:
        return revision + _REMOVED
    return revision + _STANDING + zlib.compress(record.content)


def decode_record(fact: Fact) -> Record | None:
    """Return the record that a fact holds; None if it is damaged."""
    kind, _, name = fact.key.partition('/')
    revision = int.from_bytes(fact.payload[:_REVISION_BYTES], 'big')
    sign = fact.payload[_REVISION_BYTES : _REVISION_BYTES + 1]
    packed = fact.payload[_REVISION_BYTES + 1 :]
    try:
        content = zlib.decompress(packed) if sign == _STANDING else None
        return Record(RecordKind(kind), name, revision, content)
    except (ValueError, zlib.error) as error:
        _log.warning('Damaged record.', key=fact.key, reason=str(error))
        return None


class Spreader:
    """Own the exchange of records with the other hosts."""

    def __init__(
        self, board: Board, knowledge: Knowledge, clock: Clock, random: Random
    ) -> None:
        self._board = board
        self._knowledge = knowledge
        self._clock = clock
        self._random = random
        self._arriving = board.subscribe(RECORD_KIND)
        self._waiting: asyncio.Queue[Record] = asyncio.Queue()
        knowledge.subscribe(self._waiting.put_nowait)

    async def run(self) -> None:
        """Take in and tell until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._tell())

    async def _receive(self) -> None:
        while True:
            self._take(await self._arriving.get())

    def _take(self, arrived: Entry | Fact) -> None:
        if not isinstance(arrived, Fact):
            return
        record = decode_record(arrived)
        if record is not None and self._knowledge.adopt(record):
            _log.info(
                'Record learned from another host.',
                key=arrived.key,
                revision=record.revision,
            )

    async def _tell(self) -> None:
        while True:
            records = [await self._waiting.get()]
            await asyncio.sleep(_SPREAD_SECONDS * self._random.random())
            while not self._waiting.empty():
                records.append(self._waiting.get_nowait())
            known = {
                fact.key: fact.payload
                for fact in self._board.read_facts(RECORD_KIND)
            }
            for record in records:
                self._publish(record, known)

    def _publish(self, record: Record, known: dict[str, bytes]) -> None:
        key = f'{record.kind}/{record.name}'
        told = int.from_bytes(known.get(key, b'')[:_REVISION_BYTES], 'big')
        if told >= record.revision:
            return
        expires_wall = self._clock.read_wall() + _KEEP_SECONDS
        self._board.publish_fact(
            Fact(RECORD_KIND, key, encode_record(record), expires_wall)
        )
