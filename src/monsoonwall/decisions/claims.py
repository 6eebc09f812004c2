"""Decide which host may run a call that is not idempotent.

A claim belongs permanently to the host that made it. It is never transferred
and never expires, so that a host resuming after a pause, a lost response or a
second caller cannot make the call run twice. A claim can only become answered,
or be voided by the host that made it, if that host has not dispatched the call
and never will.
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
    """List the kinds of journal records."""

    claimed = 'claimed'
    answered = 'answered'
    voided = 'voided'


@dataclass(frozen=True)
class ClaimRecord:
    """Hold one record of a journal; ``written_wall`` is in Unix seconds.

    ``token`` is unique to the claim and names the claiming host,
    ``fingerprint`` is the content key of the call.
    """

    kind: RecordKind
    key: str
    token: str
    fingerprint: str
    written_wall: float
    reply: ServiceReply | None = None


@dataclass(frozen=True)
class ClaimWish:
    """Request the right to run a call."""

    key: str
    token: str
    fingerprint: str


@dataclass(frozen=True)
class AnswerWish:
    """Request to record the reply of a call that ran."""

    key: str
    token: str
    reply: ServiceReply


@dataclass(frozen=True)
class VoidWish:
    """Request to void a claim whose call was not and will not be sent."""

    key: str
    token: str


WriteRequest = ClaimWish | AnswerWish | VoidWish


class WriteVerdict(StrEnum):
    """List the outcomes of a write request.

    ``granted``, ``held`` (by another claim), ``answered`` and ``reused`` (the
    key was used for another call) are results of a claim, ``recorded`` and
    ``ignored`` of the other requests. After ``unavailable`` the request may
    still take effect.
    """

    granted = 'granted'
    held = 'held'
    answered = 'answered'
    reused = 'reused'
    recorded = 'recorded'
    ignored = 'ignored'
    unavailable = 'unavailable'


@dataclass(frozen=True)
class WriteResult:
    """Hold the outcome of a write request and the record it is based on."""

    verdict: WriteVerdict
    record: ClaimRecord | None = None


@dataclass(frozen=True)
class BatchResult:
    """Hold the records to append to a journal and the requests' results."""

    records: tuple[ClaimRecord, ...]
    results: tuple[WriteResult, ...]


def make_claim_key(call: Call) -> str:
    """Return the key of a call's claim.

    It is a digest of the call's workspace, service and idempotency key.
    """
    parts = (call.workspace, call.service, call.idempotency_key or '')
    # A cryptographic hash, so that a caller can't find two colliding keys.
    return sha256('\0'.join(parts).encode()).hexdigest()[:_KEY_HEX_DIGITS]


def choose_shard(key: str) -> int:
    """Return the number of the journal that holds a key."""
    return int(key, base=_HEX_BASE) % SHARD_COUNT


def find_current_records(
    records: Iterable[ClaimRecord],
) -> dict[str, ClaimRecord]:
    """Return each key's current record, given records oldest first."""
    current: dict[str, ClaimRecord] = {}
    for record in records:
        _put_record(current, record)
    return current


def apply_requests(
    current: Mapping[str, ClaimRecord],
    requests: Iterable[WriteRequest],
    now_wall: float,
) -> BatchResult:
    """Return the records that the requests append, and their results."""
    pending = dict(current)
    appended: list[ClaimRecord] = []
    results: list[WriteResult] = []
    for request in requests:
        verdict = _decide_request(pending.get(request.key), request)
        if verdict in {WriteVerdict.granted, WriteVerdict.recorded}:
            record = _make_record(pending.get(request.key), request, now_wall)
            if record != pending.get(request.key):
                appended.append(record)
                _put_record(pending, record)
        results.append(WriteResult(verdict, pending.get(request.key)))
    return BatchResult(tuple(appended), tuple(results))


def _put_record(current: dict[str, ClaimRecord], record: ClaimRecord) -> None:
    if record.kind is RecordKind.voided:
        current.pop(record.key, None)
    else:
        current[record.key] = record


def _decide_request(
    current_record: ClaimRecord | None, request: WriteRequest
) -> WriteVerdict:
    if isinstance(request, ClaimWish):
        return _decide_claim(current_record, request)
    own = current_record is not None and current_record.token == request.token
    if own and current_record.kind is RecordKind.claimed:
        return WriteVerdict.recorded
    return WriteVerdict.ignored


def _decide_claim(
    current_record: ClaimRecord | None, request: ClaimWish
) -> WriteVerdict:
    if current_record is None:
        return WriteVerdict.granted
    if current_record.fingerprint != request.fingerprint:
        return WriteVerdict.reused
    if current_record.kind is RecordKind.answered:
        return WriteVerdict.answered
    # The host's own claim may be there already if a write's response was lost.
    return (
        WriteVerdict.granted
        if current_record.token == request.token
        else WriteVerdict.held
    )


def _make_record(
    current_record: ClaimRecord | None, request: WriteRequest, now_wall: float
) -> ClaimRecord:
    if isinstance(request, ClaimWish):
        return current_record or ClaimRecord(
            RecordKind.claimed,
            request.key,
            request.token,
            request.fingerprint,
            now_wall,
        )
    fingerprint = current_record.fingerprint if current_record else ''
    answered = isinstance(request, AnswerWish)
    return ClaimRecord(
        RecordKind.answered if answered else RecordKind.voided,
        request.key,
        request.token,
        fingerprint,
        now_wall,
        request.reply if answered else None,
    )
