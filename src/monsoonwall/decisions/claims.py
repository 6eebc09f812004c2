"""Decide who may run a call that is not idempotent.

A claim belongs for good to the host that made it: it is never transferred
and never lapses, so a paused host that wakes, a lost answer or a second
caller cannot make a call run twice. All a claim can become is answered, or
voided by its own maker, which then has not dispatched it and never will.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256

from monsoonwall.pipeline.messages import Call, ServiceReply

SHARD_COUNT = 16
_KEY_HEX_DIGITS = 32
_HEX_BASE = 16


class RecordKind(StrEnum):
    """Name what a journal record says of its key."""

    claimed = 'claimed'
    answered = 'answered'
    voided = 'voided'


@dataclass(frozen=True)
class ClaimRecord:
    """Hold one line of a journal; ``written_wall`` is in Unix seconds."""

    kind: RecordKind
    key: str
    token: str
    fingerprint: str
    written_wall: float
    reply: ServiceReply | None = None


@dataclass(frozen=True)
class ClaimWish:
    """Ask for the right to run a call."""

    key: str
    token: str
    fingerprint: str


@dataclass(frozen=True)
class AnswerWish:
    """Record the reply of a call that ran."""

    key: str
    token: str
    reply: ServiceReply


@dataclass(frozen=True)
class VoidWish:
    """Give up a claim that was not, and will not be, dispatched."""

    key: str
    token: str


Wish = ClaimWish | AnswerWish | VoidWish


class Verdict(StrEnum):
    """Name what became of a wish."""

    granted = 'granted'
    held = 'held'
    answered = 'answered'
    reused = 'reused'
    recorded = 'recorded'
    ignored = 'ignored'
    unavailable = 'unavailable'


@dataclass(frozen=True)
class WishResult:
    """Tell the maker of a wish the verdict and the record it rests on."""

    verdict: Verdict
    record: ClaimRecord | None = None


@dataclass(frozen=True)
class Applied:
    """Hold what to append to a journal and the results of the wishes."""

    records: tuple[ClaimRecord, ...]
    results: tuple[WishResult, ...]


def make_key(call: Call) -> str:
    """Return the claim's key: a digest of workspace, service and key."""
    parts = (call.workspace, call.service, call.idempotency_key or '')
    # A caller must not be able to find two keys with one digest.
    return sha256('\0'.join(parts).encode()).hexdigest()[:_KEY_HEX_DIGITS]


def choose_shard(key: str) -> int:
    """Return the number of the journal that holds a key."""
    return int(key, base=_HEX_BASE) % SHARD_COUNT


def find_standing(records: Iterable[ClaimRecord]) -> dict[str, ClaimRecord]:
    """Return the record in force for each key, oldest records first."""
    standing: dict[str, ClaimRecord] = {}
    for record in records:
        _put_record(standing, record)
    return standing


def apply_wishes(
    standing: Mapping[str, ClaimRecord],
    wishes: Iterable[Wish],
    now_wall: float,
) -> Applied:
    """Return what the wishes append to a journal, and their results."""
    view = dict(standing)
    appended: list[ClaimRecord] = []
    results: list[WishResult] = []
    for wish in wishes:
        verdict = _judge_wish(view.get(wish.key), wish)
        if verdict in {Verdict.granted, Verdict.recorded}:
            record = _make_record(view.get(wish.key), wish, now_wall)
            if record != view.get(wish.key):
                appended.append(record)
                _put_record(view, record)
        results.append(WishResult(verdict, view.get(wish.key)))
    return Applied(tuple(appended), tuple(results))


def _put_record(standing: dict[str, ClaimRecord], record: ClaimRecord) -> None:
    if record.kind is RecordKind.voided:
        standing.pop(record.key, None)
    else:
        standing[record.key] = record


def _judge_wish(found: ClaimRecord | None, wish: Wish) -> Verdict:
    if isinstance(wish, ClaimWish):
        return _judge_claim(found, wish)
    own = found is not None and found.token == wish.token
    if own and found.kind is RecordKind.claimed:
        return Verdict.recorded
    return Verdict.ignored


def _judge_claim(found: ClaimRecord | None, wish: ClaimWish) -> Verdict:
    if found is None:
        return Verdict.granted
    if found.fingerprint != wish.fingerprint:
        return Verdict.reused
    if found.kind is RecordKind.answered:
        return Verdict.answered
    # A write whose answer was lost shows here as one's own claim.
    return Verdict.granted if found.token == wish.token else Verdict.held


def _make_record(
    found: ClaimRecord | None, wish: Wish, now_wall: float
) -> ClaimRecord:
    if isinstance(wish, ClaimWish):
        return found or ClaimRecord(
            RecordKind.claimed,
            wish.key,
            wish.token,
            wish.fingerprint,
            now_wall,
        )
    fingerprint = found.fingerprint if found else ''
    answered = isinstance(wish, AnswerWish)
    return ClaimRecord(
        RecordKind.answered if answered else RecordKind.voided,
        wish.key,
        wish.token,
        fingerprint,
        now_wall,
        wish.reply if answered else None,
    )
