"""Exchange evidence about moves between hosts over the board."""

from collections.abc import Sequence
from typing import Final

from msgspec import msgpack

from monsoonwall.decisions.evidence import (
    EvidenceCounter,
    EvidencePool,
    HostEvidence,
    Increment,
    merge_increments,
    sum_evidence,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry

_EVIDENCE_KIND: Final = 'move-evidence'
# In large fleets the board merges the entries of a zone into one, whose origin
# has this prefix.
_SUMMARY_PREFIX: Final = 'zone/'

_log = make_logger('moves')


class SharedEvidence:
    """Publish this host's counters for one move and read those of all hosts."""

    def __init__(self, board: Board, identity: str, epoch: int) -> None:
        self.counter = EvidenceCounter(epoch)
        self._board = board
        self._identity = identity
        self._pool = EvidencePool()
        self._last_published = b''
        self._last_payloads: dict[str, bytes] = {}
        self._decoder = msgpack.Decoder(HostEvidence)

    def publish(self) -> None:
        """Publish the counters if they changed."""
        payload = msgpack.encode(self.counter.freeze())
        if payload != self._last_published:
            self._last_published = payload
            self._board.publish_entry(_EVIDENCE_KIND, self._identity, payload)

    def collect(self) -> Increment:
        """Return what all hosts have counted since the last call."""
        return merge_increments(
            self._read_entry(entry)
            for entry in self._board.read_entries(_EVIDENCE_KIND)
            if entry.key == self._identity
            and self._last_payloads.get(entry.origin) != entry.payload
        )

    def _read_entry(self, entry: Entry) -> Increment:
        self._last_payloads[entry.origin] = entry.payload
        try:
            evidence = self._decoder.decode(entry.payload)
        except DECODE_ERRORS as error:
            _log.error(
                'Evidence is malformed.', origin=entry.origin, error=str(error)
            )
            return Increment()
        if entry.origin.startswith(_SUMMARY_PREFIX):
            return self._pool.read_summary_increment(entry.origin, evidence)
        return self._pool.read_increment(entry.origin, evidence)


def register_evidence_merge(board: Board) -> None:
    """Let the board merge evidence entries in large fleets."""
    board.declare_merge(_EVIDENCE_KIND, _merge_payloads)


def _merge_payloads(payloads: Sequence[bytes]) -> bytes:
    decoder = msgpack.Decoder(HostEvidence)
    return msgpack.encode(
        sum_evidence([decoder.decode(payload) for payload in payloads])
    )
