"""Claim a call before it is dispatched, and record how it ended."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from types import MappingProxyType
from typing import Any, Final

from cachetools import TTLCache
from returns.result import Failure, Result, Success

from monsoonwall.claims.status import (
    UNKNOWN_CLAIM,
    ClaimRegistry,
    ClaimReport,
    ClaimState,
    ClaimStatusClient,
    get_claiming_host,
)
from monsoonwall.claims.writer import BaseJournalWriter
from monsoonwall.clocks import Clock
from monsoonwall.decisions.claims import (
    AnswerWish,
    ClaimRecord,
    ClaimWish,
    VoidWish,
    WriteRequest,
    WriteResult,
    WriteVerdict,
    choose_shard,
    make_claim_key,
)
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CLAIMS
from monsoonwall.pipeline.messages import (
    AttemptFailure,
    Call,
    Effect,
    Refusal,
    RefusalReason,
    ServiceReply,
)
from monsoonwall.pipeline.stages import Claiming

CLAIM_TIMEOUT_SECONDS: Final = 2.0
MAX_RECORDED_BODY_BYTES: Final = 8192
_MAX_REPORTS: Final = 100_000
_REPORT_TTL_SECONDS: Final = 3600
_TOKEN_BYTES: Final = 12
_RETRY_AFTER_SECONDS: Final = 1.0
_LONG_RETRY_AFTER_SECONDS: Final = 10.0
_RETRY_DELAYS_SECONDS: Final = (0.5, 1, 2, 5, 10, 20, 30, 60, 120, 300)

_log = make_logger('claims')


class JournalClaiming(Claiming, ClaimRegistry):
    """Claim calls in the journals that the platform stores.

    The states of this host's claims are kept in memory for other hosts.
    """

    def __init__(
        self,
        host_name: str,
        find_writer: Callable[[int], BaseJournalWriter],
        status_client: ClaimStatusClient,
        clock: Clock,
    ) -> None:
        self._host_name = host_name
        self._find_writer = find_writer
        self._status_client = status_client
        self._clock = clock
        self._reports: TTLCache[str, ClaimReport] = TTLCache(
            _MAX_REPORTS, _REPORT_TTL_SECONDS
        )
        self._tokens: dict[str, str] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def claim(self, call: Call) -> Result[ServiceReply | None, Refusal]:
        """Return None for a new claim, or the reply of the earlier call."""
        write_request = ClaimWish(
            make_claim_key(call), self._make_token(), call.content_key
        )
        outcome = await self._try_claim(write_request, call)
        if outcome.verdict is WriteVerdict.held and outcome.record is not None:
            outcome = await self._resolve_held(
                write_request, call, outcome.record
            )
        CLAIMS.labels(outcome.verdict).inc()
        if outcome.verdict is WriteVerdict.granted:
            self._tokens[call.request_id] = write_request.token
            self._reports[write_request.token] = ClaimReport(ClaimState.running)
            return Success(None)
        return _make_result(outcome)

    async def conclude(
        self, call: Call, ending: ServiceReply | AttemptFailure
    ) -> None:
        """Record how the claimed call ended."""
        token = self._tokens.pop(call.request_id)
        key = make_claim_key(call)
        if isinstance(ending, ServiceReply):
            self._reports[token] = ClaimReport(ClaimState.answered, ending)
            self._write_in_background(
                AnswerWish(key, token, _drop_large_body(ending))
            )
        elif ending.may_have_run:
            self._reports[token] = UNKNOWN_CLAIM
        else:
            self._abandon(key, token)

    def get_claim_report(self, token: str) -> ClaimReport:
        """Return the state of this host's claim, ``unknown`` if not found."""
        return self._reports.get(token, UNKNOWN_CLAIM)

    async def drain(self, deadline: float) -> None:
        """Wait until pending journal writes are done, at most to a deadline.

        The deadline is in monotonic seconds.
        """
        remaining = deadline - self._clock.read_monotonic()
        if self._background and remaining > 0:
            await asyncio.wait(self._background, timeout=remaining)

    async def _try_claim(
        self, write_request: ClaimWish, call: Call
    ) -> WriteResult:
        now = self._clock.read_monotonic()
        timeout = min(CLAIM_TIMEOUT_SECONDS, call.deadline - now)
        submission = asyncio.ensure_future(self._submit(write_request))
        finished, _ = await asyncio.wait((submission,), timeout=max(0, timeout))
        if (
            finished
            and submission.result().verdict is not WriteVerdict.unavailable
        ):
            return submission.result()
        # The write may still take effect. Another host may run the call only
        # once this host reports that it will never dispatch it.
        self._abandon(write_request.key, write_request.token)
        return WriteResult(WriteVerdict.unavailable)

    async def _resolve_held(
        self, write_request: ClaimWish, call: Call, held: ClaimRecord
    ) -> WriteResult:
        report = await self._query_claiming_host(held.token)
        if report.state is ClaimState.abandoned:
            await self._submit(VoidWish(held.key, held.token))
            return await self._try_claim(write_request, call)
        if report.state is ClaimState.answered and report.reply is not None:
            answered = ClaimRecord(
                held.kind,
                held.key,
                held.token,
                held.fingerprint,
                held.written_wall,
                report.reply,
            )
            return WriteResult(WriteVerdict.answered, answered)
        if report.state is ClaimState.running:
            return WriteResult(WriteVerdict.held, held)
        return WriteResult(WriteVerdict.ignored, held)

    async def _query_claiming_host(self, token: str) -> ClaimReport:
        if get_claiming_host(token) == self._host_name:
            return self.get_claim_report(token)
        return await self._status_client.query_status(token)

    def _abandon(self, key: str, token: str) -> None:
        self._reports[token] = ClaimReport(ClaimState.abandoned)
        self._write_in_background(VoidWish(key, token))

    def _write_in_background(self, write_request: WriteRequest) -> None:
        self._spawn(self._write_with_retries(write_request))

    async def _write_with_retries(self, write_request: WriteRequest) -> None:
        for pause in _RETRY_DELAYS_SECONDS:
            outcome = await self._submit(write_request)
            if outcome.verdict is not WriteVerdict.unavailable:
                return
            await asyncio.sleep(pause)
        _log.error('Claim outcome not written.', key=write_request.key)

    async def _submit(self, write_request: WriteRequest) -> WriteResult:
        return await self._find_writer(choose_shard(write_request.key)).submit(
            write_request
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _make_token(self) -> str:
        return f'{self._host_name}.{secrets.token_hex(_TOKEN_BYTES)}'


def _drop_large_body(reply: ServiceReply) -> ServiceReply:
    if len(reply.body) <= MAX_RECORDED_BODY_BYTES:
        return reply
    return ServiceReply(reply.status, '', b'')


def _make_result(
    outcome: WriteResult,
) -> Result[ServiceReply | None, Refusal]:
    record = outcome.record
    if outcome.verdict is WriteVerdict.answered and record and record.reply:
        if record.reply.content_type:
            return Success(record.reply)
        return Failure(_REPLY_NOT_RECORDED)
    return Failure(_REFUSALS[outcome.verdict])


_REPLY_NOT_RECORDED: Final = Refusal(
    RefusalReason.answer_not_kept,
    Effect.run,
    f'the call ran; its answer was over {MAX_RECORDED_BODY_BYTES} bytes '
    'and not kept',
)
_REFUSALS: Final = MappingProxyType(
    {
        WriteVerdict.held: Refusal(
            RefusalReason.in_progress,
            Effect.unknown,
            'the call with this key is running; ask again for its answer',
            _RETRY_AFTER_SECONDS,
        ),
        WriteVerdict.ignored: Refusal(
            RefusalReason.outcome_unknown,
            Effect.unknown,
            'the host that ran this call cannot tell how it ended; look the '
            'record up in the service',
            _LONG_RETRY_AFTER_SECONDS,
        ),
        WriteVerdict.reused: Refusal(
            RefusalReason.key_reused,
            Effect.not_run,
            'this key was used for another call; send a new key',
        ),
        WriteVerdict.unavailable: Refusal(
            RefusalReason.platform_unavailable,
            Effect.not_run,
            'the call could not be claimed, so it was not dispatched',
            _RETRY_AFTER_SECONDS,
        ),
    }
)
