"""Claim a call before it is dispatched, and record how it ended."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from types import MappingProxyType
from typing import Any, Final

from cachetools import TTLCache
from returns.result import Failure, Result, Success

from monsoonwall.claims.asking import (
    UNKNOWN_CLAIM,
    ClaimInquiry,
    ClaimMemory,
    ClaimReport,
    ClaimState,
    get_maker,
)
from monsoonwall.claims.writer import WishTaker
from monsoonwall.clocks import Clock
from monsoonwall.decisions.claims import (
    AnswerWish,
    ClaimRecord,
    ClaimWish,
    Verdict,
    VoidWish,
    WriteRequest,
    WriteResult,
    choose_shard,
    make_key,
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

CLAIM_WAIT_SECONDS: Final = 2.0
MAX_KEPT_BYTES: Final = 8192
_MEMORY_SIZE: Final = 100_000
_MEMORY_SECONDS: Final = 3600
_TOKEN_BYTES: Final = 12
_RETRY_AFTER_SECONDS: Final = 1.0
_LONG_RETRY_AFTER_SECONDS: Final = 10.0
_REWRITE_SECONDS: Final = (0.5, 1, 2, 5, 10, 20, 30, 60, 120, 300)

_log = make_logger('claims')


class JournalClaiming(Claiming, ClaimMemory):
    """Claim calls in the journals of the platform."""

    def __init__(
        self,
        host_name: str,
        writers: Callable[[int], WishTaker],
        inquiry: ClaimInquiry,
        clock: Clock,
    ) -> None:
        self._host_name = host_name
        self._writers = writers
        self._inquiry = inquiry
        self._clock = clock
        self._reports: TTLCache[str, ClaimReport] = TTLCache(
            _MEMORY_SIZE, _MEMORY_SECONDS
        )
        self._tokens: dict[str, str] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def claim(self, call: Call) -> Result[ServiceReply | None, Refusal]:
        """Return None for a new claim, or the earlier answer."""
        wish = ClaimWish(make_key(call), self._make_token(), call.content_key)
        outcome = await self._ask_for(wish, call)
        if outcome.verdict is Verdict.held and outcome.record is not None:
            outcome = await self._settle_held(wish, call, outcome.record)
        CLAIMS.labels(outcome.verdict).inc()
        if outcome.verdict is Verdict.granted:
            self._tokens[call.request_id] = wish.token
            self._reports[wish.token] = ClaimReport(ClaimState.running)
            return Success(None)
        return _answer_claim(outcome)

    async def conclude(
        self, call: Call, ending: ServiceReply | AttemptFailure
    ) -> None:
        """Record how the claimed call ended."""
        token = self._tokens.pop(call.request_id)
        key = make_key(call)
        if isinstance(ending, ServiceReply):
            self._reports[token] = ClaimReport(ClaimState.answered, ending)
            self._write_later(AnswerWish(key, token, _trim_reply(ending)))
        elif ending.may_have_run:
            self._reports[token] = UNKNOWN_CLAIM
        else:
            self._abandon(key, token)

    def describe_claim(self, token: str) -> ClaimReport:
        """Return what became of a claim made here."""
        return self._reports.get(token, UNKNOWN_CLAIM)

    async def drain(self, deadline: float) -> None:
        """Wait until the endings of calls are written, at most so long."""
        remaining = deadline - self._clock.read_monotonic()
        if self._background and remaining > 0:
            await asyncio.wait(self._background, timeout=remaining)

    async def _ask_for(self, wish: ClaimWish, call: Call) -> WriteResult:
        now = self._clock.read_monotonic()
        limit = min(CLAIM_WAIT_SECONDS, call.deadline - now)
        asking = asyncio.ensure_future(self._submit(wish))
        finished, _ = await asyncio.wait((asking,), timeout=max(0, limit))
        if finished and asking.result().verdict is not Verdict.unavailable:
            return asking.result()
        # The write may still land. Nobody else may run the call until this
        # host says that it never will.
        self._abandon(wish.key, wish.token)
        return WriteResult(Verdict.unavailable)

    async def _settle_held(
        self, wish: ClaimWish, call: Call, held: ClaimRecord
    ) -> WriteResult:
        report = await self._ask_maker(held.token)
        if report.state is ClaimState.abandoned:
            await self._submit(VoidWish(held.key, held.token))
            return await self._ask_for(wish, call)
        if report.state is ClaimState.answered and report.reply is not None:
            answered = ClaimRecord(
                held.kind,
                held.key,
                held.token,
                held.fingerprint,
                held.written_wall,
                report.reply,
            )
            return WriteResult(Verdict.answered, answered)
        if report.state is ClaimState.running:
            return WriteResult(Verdict.held, held)
        return WriteResult(Verdict.ignored, held)

    async def _ask_maker(self, token: str) -> ClaimReport:
        if get_maker(token) == self._host_name:
            return self.describe_claim(token)
        return await self._inquiry.ask(token)

    def _abandon(self, key: str, token: str) -> None:
        self._reports[token] = ClaimReport(ClaimState.abandoned)
        self._write_later(VoidWish(key, token))

    def _write_later(self, wish: WriteRequest) -> None:
        self._spawn(self._write_until_known(wish))

    async def _write_until_known(self, wish: WriteRequest) -> None:
        for pause in _REWRITE_SECONDS:
            outcome = await self._submit(wish)
            if outcome.verdict is not Verdict.unavailable:
                return
            await asyncio.sleep(pause)
        _log.error('Claim ending not written.', key=wish.key)

    async def _submit(self, wish: WriteRequest) -> WriteResult:
        return await self._writers(choose_shard(wish.key)).submit(wish)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _make_token(self) -> str:
        return f'{self._host_name}.{secrets.token_hex(_TOKEN_BYTES)}'


def _trim_reply(reply: ServiceReply) -> ServiceReply:
    if len(reply.body) <= MAX_KEPT_BYTES:
        return reply
    return ServiceReply(reply.status, '', b'')


def _answer_claim(
    outcome: WriteResult,
) -> Result[ServiceReply | None, Refusal]:
    record = outcome.record
    if outcome.verdict is Verdict.answered and record and record.reply:
        if record.reply.content_type:
            return Success(record.reply)
        return Failure(_NOT_KEPT)
    return Failure(_REFUSALS[outcome.verdict])


_NOT_KEPT: Final = Refusal(
    RefusalReason.answer_not_kept,
    Effect.run,
    f'the call ran; its answer was over {MAX_KEPT_BYTES} bytes and not kept',
)
_REFUSALS: Final = MappingProxyType(
    {
        Verdict.held: Refusal(
            RefusalReason.in_progress,
            Effect.unknown,
            'the call with this key is running; ask again for its answer',
            _RETRY_AFTER_SECONDS,
        ),
        Verdict.ignored: Refusal(
            RefusalReason.outcome_unknown,
            Effect.unknown,
            'the host that ran this call cannot tell how it ended; look the '
            'record up in the service',
            _LONG_RETRY_AFTER_SECONDS,
        ),
        Verdict.reused: Refusal(
            RefusalReason.key_reused,
            Effect.not_run,
            'this key was used for another call; send a new key',
        ),
        Verdict.unavailable: Refusal(
            RefusalReason.platform_unavailable,
            Effect.not_run,
            'the call could not be claimed, so it was not dispatched',
            _RETRY_AFTER_SECONDS,
        ),
    }
)
