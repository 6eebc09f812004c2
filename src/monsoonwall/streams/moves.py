"""Move this entry host's streams off backend servers that are leaving."""

import asyncio
from collections.abc import Callable
from typing import Final

from cachetools import TTLCache
from returns.pipeline import is_successful

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.decisions.leaving import LeavingServer
from monsoonwall.decisions.reclaims import (
    StreamAtRisk,
    StreamMoveCosts,
    StreamMoveKind,
    StreamMoveWindow,
    plan_stream_moves,
)
from monsoonwall.logs import make_logger
from monsoonwall.metrics import STREAM_MOVES
from monsoonwall.pipeline.answers import (
    Answer,
    AnswerTable,
    Interruption,
    InterruptionKind,
    RunningAttempt,
)
from monsoonwall.pipeline.dispatch import Dispatcher
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    ServerChoice,
)

_MAX_TRANSFER_TRIES: Final = 2
_MAX_TRACKED_TRIES: Final = 10_000
_TRIES_TTL_SECONDS: Final = 60
_CHARACTERS_PER_TOKEN: Final = 4
_RECLAIMED: Final = AttemptFailure(
    AttemptEnding.reclaimed, 'the server is being reclaimed', True
)

_log = make_logger('moves')


class StreamMover:
    """Plan and execute moves of streams off leaving servers.

    A stream is moved by transferring its KV cache to another server, or by
    resuming it there from the prompt and the tokens so far.
    """

    def __init__(
        self,
        answers: AnswerTable,
        pool: BackendPool,
        clock: Clock,
        find_dispatcher: Callable[[], Dispatcher | None],
        costs: StreamMoveCosts | None = None,
    ) -> None:
        self._answers = answers
        self._pool = pool
        self._clock = clock
        self._find_dispatcher = find_dispatcher
        self._costs = costs or StreamMoveCosts()
        self._active_transfers: dict[str, dict[str, int]] = {}
        self._transfer_tries: TTLCache[str, int] = TTLCache(
            _MAX_TRACKED_TRIES, _TRIES_TTL_SECONDS
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def move(self, leaving: dict[str, LeavingServer]) -> None:
        """Start the moves that are due; call repeatedly until none remain."""
        for server, answers in self._group_answers(leaving).items():
            if server not in self._active_transfers:
                self._active_transfers[server] = {}
                _log.info(
                    'Moving streams off a server.',
                    server=server,
                    streams=len(answers),
                )
            self._move_streams(leaving[server], answers, frozenset(leaving))

    def _group_answers(
        self, leaving: dict[str, LeavingServer]
    ) -> dict[str, list[Answer]]:
        affected: dict[str, list[Answer]] = {}
        for answer in self._answers.list_running():
            if (
                answer.running_attempt
                and answer.running_attempt.choice.server in leaving
            ):
                server = answer.running_attempt.choice.server
                affected.setdefault(server, []).append(answer)
        return affected

    def _move_streams(
        self,
        notice: LeavingServer,
        affected: list[Answer],
        leaving: frozenset[str],
    ) -> None:
        transferring = self._active_transfers[notice.server]
        at_risk = {
            answer.call.request_id: _make_stream_at_risk(answer)
            for answer in affected
            if answer.call.request_id not in transferring
        }
        answers = {answer.call.request_id: answer for answer in affected}
        plan = plan_stream_moves(
            list(at_risk.values()),
            self._make_window(notice, sum(transferring.values())),
            self._costs,
        )
        for move in plan:
            answer = answers[move.request_id]
            if move.kind is StreamMoveKind.resume:
                self._resume(answer, leaving)
            elif (
                move.kind is StreamMoveKind.transfer
                and len(transferring) < self._costs.parallel_transfers
            ):
                tokens = at_risk[move.request_id].held_tokens
                transferring[move.request_id] = tokens
                self._start(self._transfer(answer, notice, leaving))

    def _make_window(
        self, notice: LeavingServer, tokens_under_way: int
    ) -> StreamMoveWindow:
        now = self._clock.read_monotonic()
        remaining = notice.deadline_wall - self._clock.read_wall()
        return StreamMoveWindow(now, now + remaining, tokens_under_way)

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _resume(self, answer: Answer, leaving: frozenset[str]) -> None:
        attempt = answer.running_attempt
        if attempt is None:
            return
        STREAM_MOVES.labels(StreamMoveKind.resume).inc()
        target = self._choose_target(answer, leaving)
        attempt.interrupt(_make_interruption(target, ''))

    async def _transfer(
        self, answer: Answer, notice: LeavingServer, leaving: frozenset[str]
    ) -> None:
        request_id = answer.call.request_id
        attempt = answer.running_attempt
        try:
            await self._transfer_and_interrupt(answer, attempt, notice, leaving)
        finally:
            self._active_transfers[notice.server].pop(request_id)

    async def _transfer_and_interrupt(
        self,
        answer: Answer,
        attempt: RunningAttempt,
        notice: LeavingServer,
        leaving: frozenset[str],
    ) -> None:
        target = self._choose_target(answer, leaving)
        remaining = notice.deadline_wall - self._clock.read_wall()
        handle = ''
        try:
            async with asyncio.timeout(max(0, remaining)):
                handle = await self._copy_cache(answer, attempt, target)
        except TimeoutError:
            _log.warning('KV transfer timed out.', server=notice.server)
        if answer.ended or answer.running_attempt is not attempt:
            return
        if not handle and self._may_retry_transfer(answer):
            return
        kind = StreamMoveKind.transfer if handle else StreamMoveKind.resume
        STREAM_MOVES.labels(kind).inc()
        attempt.interrupt(_make_interruption(target, handle))

    def _may_retry_transfer(self, answer: Answer) -> bool:
        # The next plan includes this stream, and resumes it if time is short.
        request_id = answer.call.request_id
        tries = self._transfer_tries.get(request_id, 0) + 1
        self._transfer_tries[request_id] = tries
        return tries < _MAX_TRANSFER_TRIES

    async def _copy_cache(
        self,
        answer: Answer,
        attempt: RunningAttempt,
        target: ServerChoice | None,
    ) -> str:
        source = self._pool.find_engine(attempt.choice.server)
        destination = self._pool.find_engine(target.server) if target else None
        if source is None or destination is None:
            return ''
        exported = await source.export_kv(answer.call.request_id)
        if not is_successful(exported):
            return ''
        imported = await destination.import_kv(exported.unwrap())
        return imported.value_or('')

    def _choose_target(
        self, answer: Answer, leaving: frozenset[str]
    ) -> ServerChoice | None:
        dispatcher = self._find_dispatcher()
        if dispatcher is None:
            return None
        return dispatcher.choose_move_target(answer, leaving).value_or(None)


def _make_stream_at_risk(answer: Answer) -> StreamAtRisk:
    prompt = answer.prompt_tokens or (
        len(answer.call.prompt) // _CHARACTERS_PER_TOKEN
    )
    emitted = len(answer.tokens)
    return StreamAtRisk(
        answer.call.request_id,
        prompt + emitted if emitted else 0,
        answer.call.max_tokens - emitted,
    )


def _make_interruption(
    target: ServerChoice | None, handle: str
) -> Interruption:
    return Interruption(InterruptionKind.moved, _RECLAIMED, target, handle)
