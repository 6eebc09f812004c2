"""Run one interruptible attempt at a model engine."""

import asyncio
from asyncio import Future, Task, TimerHandle
from collections.abc import AsyncIterator
from types import MappingProxyType
from typing import Final

from monsoonwall.backends.engine import GenerateRequest, ModelEngine
from monsoonwall.clocks import Clock
from monsoonwall.decisions.assembly import FATAL_VERDICTS, ChunkVerdict
from monsoonwall.metrics import DROPPED_CHUNKS, FIRST_TOKEN, TOKENS
from monsoonwall.pipeline.answers import (
    Answer,
    Interruption,
    InterruptionKind,
    RunningAttempt,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Chunk,
    Priority,
    ServerChoice,
)

# Before the first chunk, the call waits for a slot in the engine's batch and
# for its prompt to be processed.
FIRST_CHUNK_SECONDS: Final = MappingProxyType(
    {Priority.interactive: 5.0, Priority.batch: 30.0}
)
BETWEEN_CHUNKS_SECONDS: Final = 2.0
# If the watchdog fires later than this, this process was paused rather than
# the engine, and unread chunks may be waiting in the socket.
_PROCESS_PAUSE_SECONDS: Final = 0.5
# The stream of a superseded attempt is read for this long, so that its late
# chunks are counted as dropped.
_DRAIN_SECONDS: Final = 5.0

_ENDED_EARLY: Final = AttemptFailure(
    AttemptEnding.crashed, 'the stream ended early', True
)
_STALLED: Final = AttemptFailure(
    AttemptEnding.timed_out, 'no chunk within the stall deadline', True
)


class Attempt(RunningAttempt):
    """Add the valid chunks of one attempt to the answer."""

    def __init__(
        self, answer: Answer, number: int, choice: ServerChoice, clock: Clock
    ) -> None:
        self.choice = choice
        self.number = number
        self.started = clock.read_monotonic()
        self.first_token_at: float | None = None
        self.accepted_tokens = 0
        self._answer = answer
        self._clock = clock
        self._last_chunk_at = self.started
        self._ending: Future[Interruption | None] = Future()

    async def run(
        self, engine: ModelEngine, kv_handle: str
    ) -> Interruption | None:
        """Return None once the answer is complete, else the interruption."""
        answer = self._answer
        answer.begin_attempt(self.number)
        generate_request = GenerateRequest(
            answer.call, self.number, tuple(answer.tokens), kv_handle
        )
        read_task = asyncio.create_task(
            self._read(engine.generate(generate_request))
        )
        answer.running_attempt = self
        try:
            return await self._wait_ending()
        finally:
            answer.running_attempt = None
            self._cancel_and_drain(engine, read_task)

    def interrupt(self, interruption: Interruption) -> None:
        """End the attempt with this interruption unless it has ended."""
        self._end(interruption)

    async def _wait_ending(self) -> Interruption | None:
        watchdog = _Watchdog(
            self._check_stall, self._find_stall_deadline(), self._clock
        )
        try:
            return await self._ending
        finally:
            watchdog.cancel()

    async def _read(
        self, stream: AsyncIterator[Chunk | AttemptFailure]
    ) -> None:
        async for message in stream:
            if isinstance(message, AttemptFailure):
                self._fail(message)
                return
            self._accept_chunk(message)
        self._fail(_ENDED_EARLY)

    def _accept_chunk(self, chunk: Chunk) -> None:
        verdict = self._answer.add_chunk(chunk)
        if verdict is not ChunkVerdict.taken:
            DROPPED_CHUNKS.labels(verdict).inc()
        if verdict in FATAL_VERDICTS:
            self._fail(
                AttemptFailure(
                    AttemptEnding.malformed, f'chunk is {verdict}', True
                )
            )
        elif verdict is ChunkVerdict.taken:
            self._record_chunk(chunk)

    def _record_chunk(self, chunk: Chunk) -> None:
        answer = self._answer
        self._last_chunk_at = self._clock.read_monotonic()
        if self.first_token_at is None:
            self.first_token_at = self._last_chunk_at
            answer.prompt_tokens = chunk.prompt_tokens or 0
            answer.cached_tokens = chunk.cached_tokens or 0
            FIRST_TOKEN.labels(answer.call.route).observe(
                self.first_token_at - self.started
            )
        self.accepted_tokens += len(chunk.tokens)
        TOKENS.labels(answer.call.service).inc(len(chunk.tokens))
        if answer.finished:
            self._end(None)

    def _fail(self, failure: AttemptFailure) -> None:
        self._end(Interruption(InterruptionKind.failed, failure))

    def _end(self, ending: Interruption | None) -> None:
        if not self._ending.done():
            self._ending.set_result(ending)

    def _find_stall_deadline(self) -> float:
        if self.first_token_at is None:
            allowed = FIRST_CHUNK_SECONDS[self._answer.call.priority]
        else:
            allowed = BETWEEN_CHUNKS_SECONDS
        return self._last_chunk_at + allowed

    def _check_stall(self) -> float | None:
        deadline = self._find_stall_deadline()
        if self._clock.read_monotonic() < deadline:
            return deadline
        self._fail(_STALLED)
        return None

    def _cancel_and_drain(
        self, engine: ModelEngine, read_task: Task[None]
    ) -> None:
        if self._answer.finished or read_task.done():
            return
        cancel_task = asyncio.create_task(
            engine.cancel(self._answer.call.request_id, self.number)
        )
        # The event loop keeps only weak references to tasks. The callback
        # keeps the cancel task alive as long as the read task.
        read_task.add_done_callback(lambda _: cancel_task)
        asyncio.get_running_loop().call_later(_DRAIN_SECONDS, read_task.cancel)


class _Watchdog:
    """Run a check at a deadline, and again at any deadline that it returns."""

    def __init__(self, check, deadline: float, clock: Clock) -> None:
        self._check = check
        self._clock = clock
        self._handle: TimerHandle
        self._arm(deadline)

    def cancel(self) -> None:
        """Cancel the next check."""
        self._handle.cancel()

    def _arm(self, deadline: float) -> None:
        self._deadline = deadline
        self._handle = asyncio.get_running_loop().call_later(
            max(0, deadline - self._clock.read_monotonic()), self._fire
        )

    def _fire(self) -> None:
        now = self._clock.read_monotonic()
        if now > self._deadline + _PROCESS_PAUSE_SECONDS:
            self._arm(now + _PROCESS_PAUSE_SECONDS)
            return
        next_deadline = self._check()
        if next_deadline is not None:
            self._arm(next_deadline)
