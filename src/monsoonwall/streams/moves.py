"""Move the streams of this entry host off leaving backend servers."""

import asyncio
from collections.abc import Callable
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.decisions.leaving import LeavingServer
from monsoonwall.decisions.reclaims import (
    MoveCosts,
    MoveKind,
    MoveWindow,
    StreamAtRisk,
    plan_moves,
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

_LOAD_SECONDS: Final = 0.3
_CHARACTERS_A_TOKEN: Final = 4
_RECLAIMED: Final = AttemptFailure(
    AttemptEnding.reclaimed, 'the server is being reclaimed', True
)

_log = make_logger('moves')


class Mover:
    """Carry out the plans for leaving servers, one step at a time."""

    def __init__(
        self,
        answers: AnswerTable,
        pool: BackendPool,
        clock: Clock,
        find_dispatcher: Callable[[], Dispatcher | None],
        costs: MoveCosts | None = None,
    ) -> None:
        self._answers = answers
        self._pool = pool
        self._clock = clock
        self._find_dispatcher = find_dispatcher
        self._costs = costs or MoveCosts()
        self._shares: dict[str, float] = {}
        self._transfers: dict[str, set[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def move(self, leaving: dict[str, LeavingServer]) -> None:
        """Make the moves that are due now; call again until none are left."""
        for gone in set(self._shares) - set(leaving):
            self._shares.pop(gone)
            self._transfers.pop(gone, None)
        affected = self._group_answers(leaving)
        async with asyncio.TaskGroup() as group:
            for name in set(affected) - set(self._shares):
                group.create_task(self._learn_share(name, len(affected[name])))
        # Streams came and went while the shares were asked for.
        for server, answers in self._group_answers(leaving).items():
            if server in self._shares:
                self._move_off(leaving[server], answers, frozenset(leaving))

    def _group_answers(
        self, leaving: dict[str, LeavingServer]
    ) -> dict[str, list[Answer]]:
        affected: dict[str, list[Answer]] = {}
        for answer in self._answers.list_running():
            if answer.running and answer.running.choice.server in leaving:
                server = answer.running.choice.server
                affected.setdefault(server, []).append(answer)
        return affected

    async def _learn_share(self, server: str, own: int) -> None:
        _log.info('Streams must leave a server.', server=server, streams=own)
        running = await self._read_running(server)
        self._shares[server] = own / max(own, running)

    async def _read_running(self, server: str) -> int:
        engine = self._pool.find_engine(server)
        if engine is None:
            return 0
        try:
            async with asyncio.timeout(_LOAD_SECONDS):
                load = await engine.read_load()
        except TimeoutError:
            return 0
        return load.map(lambda report: report.running).value_or(0)

    def _move_off(
        self,
        notice: LeavingServer,
        affected: list[Answer],
        leaving: frozenset[str],
    ) -> None:
        under_way = self._transfers.setdefault(notice.server, set())
        answers = {
            answer.call.request_id: answer
            for answer in affected
            if answer.call.request_id not in under_way
        }
        plan = plan_moves(
            [_describe_risk(answer) for answer in answers.values()],
            self._make_window(notice, len(under_way)),
            self._costs,
        )
        for move in plan:
            answer = answers[move.request_id]
            if move.kind is MoveKind.resume:
                self._resume(answer, leaving)
            elif (
                move.kind is MoveKind.transfer
                and len(under_way) < self._costs.parallel_transfers
            ):
                under_way.add(move.request_id)
                self._start(self._transfer(answer, notice, leaving))

    def _make_window(self, notice: LeavingServer, transfers: int) -> MoveWindow:
        now = self._clock.read_monotonic()
        left = notice.deadline_wall - self._clock.read_wall()
        return MoveWindow(
            now, now + left, self._shares[notice.server], transfers
        )

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _resume(self, answer: Answer, leaving: frozenset[str]) -> None:
        attempt = answer.running
        if attempt is None:
            return
        STREAM_MOVES.labels(MoveKind.resume).inc()
        target = self._choose_target(answer, leaving)
        attempt.interrupt(_make_interruption(target, ''))

    async def _transfer(
        self, answer: Answer, notice: LeavingServer, leaving: frozenset[str]
    ) -> None:
        request_id = answer.call.request_id
        attempt = answer.running
        try:
            await self._transfer_from(answer, attempt, notice, leaving)
        finally:
            self._transfers.get(notice.server, set()).discard(request_id)

    async def _transfer_from(
        self,
        answer: Answer,
        attempt: RunningAttempt,
        notice: LeavingServer,
        leaving: frozenset[str],
    ) -> None:
        target = self._choose_target(answer, leaving)
        left = notice.deadline_wall - self._clock.read_wall()
        handle = ''
        try:
            async with asyncio.timeout(max(0, left)):
                handle = await self._copy_cache(answer, attempt, target)
        except TimeoutError:
            _log.warning('A KV transfer took too long.', server=notice.server)
        if answer.ended or answer.running is not attempt:
            return
        kind = MoveKind.transfer if handle else MoveKind.resume
        STREAM_MOVES.labels(kind).inc()
        attempt.interrupt(_make_interruption(target, handle))

    async def _copy_cache(
        self,
        answer: Answer,
        attempt: RunningAttempt,
        target: ServerChoice | None,
    ) -> str:
        source = self._pool.find_engine(attempt.choice.server)
        sink = self._pool.find_engine(target.server) if target else None
        if source is None or sink is None:
            return ''
        exported = await source.export_kv(answer.call.request_id)
        if not is_successful(exported):
            return ''
        imported = await sink.import_kv(exported.unwrap())
        return imported.value_or('')

    def _choose_target(
        self, answer: Answer, leaving: frozenset[str]
    ) -> ServerChoice | None:
        dispatcher = self._find_dispatcher()
        if dispatcher is None:
            return None
        return dispatcher.choose_target(answer, leaving).value_or(None)


def _describe_risk(answer: Answer) -> StreamAtRisk:
    prompt = answer.prompt_tokens or (
        len(answer.call.prompt) // _CHARACTERS_A_TOKEN
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
