"""Publish and store the conclusions of moves.

Conclusions are published on the board, which is fast and does not need the
platform. Each is also written to the platform once, in case all hosts that
received it are gone. A withdrawal replaces a completion, never vice versa.
"""

from typing import Final

from msgspec import json, msgpack
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.decisions.moves import Conclusion, Phase
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.mesh.board import Board, Fact
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

CONCLUSION_KIND: Final = 'move-conclusion'
_RECORDED_KIND: Final = 'move-recorded'
_RETENTION_SECONDS: Final = 2_592_000
_PREFIX: Final = 'moves/'
# The board keeps the greater payload of two facts with the same key. These
# first bytes let a withdrawal replace a completion.
_DONE_MARK: Final = b'\x01'
_WITHDRAWN_MARK: Final = b'\x02'


class ConclusionBoard:
    """Publish conclusions, and which of them the platform has stored."""

    def __init__(self, board: Board) -> None:
        self._board = board
        self._decoder = msgpack.Decoder(Conclusion)

    def publish_conclusion(self, identity: str, conclusion: Conclusion) -> None:
        """Publish how a move ended to all hosts."""
        withdrawn = conclusion.phase is Phase.withdrawn
        mark = _WITHDRAWN_MARK if withdrawn else _DONE_MARK
        self._publish(
            CONCLUSION_KIND,
            identity,
            mark + msgpack.encode(conclusion),
            conclusion.decided_wall,
        )

    def publish_recorded(self, identity: str, conclusion: Conclusion) -> None:
        """Publish to all hosts that the platform has stored the conclusion."""
        self._publish(
            _RECORDED_KIND,
            identity,
            conclusion.phase.encode(),
            conclusion.decided_wall,
        )

    def read(self) -> dict[str, Conclusion]:
        """Return the published conclusions by identity of the move."""
        return {
            fact.key: self.decode(fact)
            for fact in self._board.read_facts(CONCLUSION_KIND)
        }

    def is_recorded(self, identity: str, conclusion: Conclusion) -> bool:
        """Return whether a host has stored this conclusion on the platform."""
        return any(
            (fact.key, fact.payload) == (identity, conclusion.phase.encode())
            for fact in self._board.read_facts(_RECORDED_KIND)
        )

    def decode(self, fact: Fact) -> Conclusion:
        """Return the conclusion in a fact's payload."""
        return self._decoder.decode(fact.payload[len(_DONE_MARK) :])

    def _publish(
        self, kind: str, key: str, payload: bytes, from_wall: float
    ) -> None:
        self._board.publish_fact(
            Fact(kind, key, payload, from_wall + _RETENTION_SECONDS)
        )


class ConclusionStore:
    """Read and write conclusions in the platform's object store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def read(
        self, identity: str
    ) -> Result[Conclusion | None, StoreFailure]:
        """Return the stored conclusion, or None."""
        found = await self._read_stored(identity)
        return found.map(_decode)

    async def record(self, identity: str, conclusion: Conclusion) -> bool:
        """Store a conclusion; return whether it or a withdrawal is stored."""
        found = await self._read_stored(identity)
        if not is_successful(found):
            return False
        stored = found.unwrap()
        recorded = _decode(stored)
        if recorded is not None and (
            recorded.phase is conclusion.phase
            or recorded.phase is Phase.withdrawn
        ):
            return True
        content = json.encode(conclusion)
        key = f'{_PREFIX}{identity}'
        if stored is None:
            written = await self._store.create(key, content, CallReason.status)
        else:
            written = await self._store.update(
                key, content, stored.version, CallReason.status
            )
        # If a write fails or conflicts, the next try reads the new state first.
        return is_successful(written)

    async def _read_stored(
        self, identity: str
    ) -> Result[StoredObject | None, StoreFailure]:
        found = await self._store.read(
            f'{_PREFIX}{identity}', CallReason.status
        )
        if is_successful(found):
            return Success(found.unwrap())
        if found.failure() is StoreFailure.missing:
            return Success(None)
        return Failure(found.failure())


def _decode(stored: StoredObject | None) -> Conclusion | None:
    if stored is None:
        return None
    try:
        return json.decode(stored.content, type=Conclusion)
    except DECODE_ERRORS:
        return None
