"""Tell how recent this host's records are, whichever way they came.

A host confirms a revision when the store has responded to it, and passes that
on with an exchange of records (see ``mesh.watermarks``). So a host also knows
of the records that it received from others up to when they are complete.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.mesh.board import Board, Watermark

# Builds before this key may state later times than they knew.
_KEY_PREFIX: Final = 'current-record/'
# Era and revision, in an order in which greater bytes are later.
_POSITION: Final = struct.Struct('>QQ')
# Kinds whose changes must take effect within a bound. Other hosts need no
# confirmations of the others, and each exchange of records carries all.
ANNOUNCED_KINDS: Final = frozenset((RecordKind.catalogue, RecordKind.server))


@dataclass(frozen=True)
class Confirmation:
    """State that all records of a kind are known up to a revision of an era.

    ``confirmed_at`` is when that was the store's latest revision, in monotonic
    seconds.
    """

    kind: RecordKind
    era: int
    revision: int
    confirmed_at: float


class RecordConfirmations:
    """Hold the latest confirmation of each kind of record."""

    def __init__(self, board: Board) -> None:
        self._board = board
        self._is_publishing = False
        self._held: list[Confirmation] = []
        # The latest confirmation by the store itself, held or not.
        self._own: dict[RecordKind, Confirmation] = {}
        # The latest ones by other hosts whose records have been adopted.
        self._received: dict[RecordKind, Confirmation] = {}
        self._has_unadopted: Callable[[], bool] = _adopts_at_once

    def track_unadopted(self, has_unadopted: Callable[[], bool]) -> None:
        """Disregard later confirmations while received records wait.

        ``has_unadopted`` returns whether records wait to be adopted.
        """
        self._has_unadopted = has_unadopted

    def hold(self, _record: Record) -> None:
        """Hold further confirmations until ``release`` is called.

        Other hosts must not hear of a revision before its records.
        """
        self._is_publishing = True

    def release(self) -> None:
        """Announce the held confirmations, as all records are published."""
        self._is_publishing = False
        for confirmation in self._held:
            self.confirm(confirmation)
        self._held.clear()

    def confirm(self, confirmation: Confirmation) -> None:
        """Adopt what the store has confirmed to this host."""
        own = self._own.get(confirmation.kind)
        if own is None or own.confirmed_at <= confirmation.confirmed_at:
            self._own[confirmation.kind] = confirmation
        if confirmation.kind not in ANNOUNCED_KINDS:
            return
        if self._is_publishing:
            self._held.append(confirmation)
            return
        self._board.advance_watermark(
            Watermark(
                f'{_KEY_PREFIX}{confirmation.kind}',
                _POSITION.pack(confirmation.era, confirmation.revision),
                confirmation.confirmed_at,
            )
        )

    def find(self, kind: RecordKind) -> Confirmation | None:
        """Return the latest confirmation, of this host or of another one."""
        if not self._has_unadopted():
            self._receive(kind)
        own = self._own.get(kind)
        received = self._received.get(kind)
        if own is None or received is None:
            return own or received
        return own if own.confirmed_at > received.confirmed_at else received

    def _receive(self, kind: RecordKind) -> None:
        watermark = self._board.find_watermark(f'{_KEY_PREFIX}{kind}')
        if watermark is None or len(watermark.position) != _POSITION.size:
            return
        era, revision = _POSITION.unpack(watermark.position)
        self._received[kind] = Confirmation(
            kind, era, revision, watermark.confirmed_at
        )


def _adopts_at_once() -> bool:
    return False
