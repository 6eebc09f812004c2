"""Run an accepted call: choose, dispatch, relay, conclude."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.backends.engine import GenerateOrder
from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.metrics import (
    ATTEMPTS,
    DROPPED_CHUNKS,
    FIRST_TOKEN,
    RETRIES,
    TOKENS,
)
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    AttemptRecord,
    Call,
    Chunk,
    Refusal,
    ServerChoice,
    ServiceReply,
)
from monsoonwall.pipeline.stages import (
    Claiming,
    Observer,
    RetryRule,
    ServerRouting,
    VersionChoice,
)

_VANISHED = AttemptFailure(
    AttemptEnding.unreachable, 'the server left the configuration', False
)


@dataclass(frozen=True)
class Stages:
    """Hold the rules that dispatch asks."""

    versions: VersionChoice
    routing: ServerRouting
    retries: RetryRule
    claiming: Claiming
    observers: Sequence[Observer]


@dataclass(frozen=True)
class _Progress:
    """Follow one call over its attempts."""

    call: Call
    version: str
    isolated: bool
    attempt: int = 1
    excluded: frozenset[str] = frozenset()


class Dispatcher:
    """Make attempts until a call has its answer or its refusal."""

    def __init__(self, stages: Stages, pool: BackendPool, clock: Clock) -> None:
        self._stages = stages
        self._pool = pool
        self._clock = clock

    async def run_model_call(
        self, answer: Answer, isolated: bool, attempt: int = 1
    ) -> None:
        """Fill the answer, resuming on other servers as need be."""
        progress = self._begin(answer.call, isolated, attempt)
        while not answer.ended:
            choice = self._choose(progress)
            if not is_successful(choice):
                answer.refuse(choice.failure())
                return
            failure = await self._generate(answer, progress, choice.unwrap())
            if failure is None:
                return
            following = await self._follow_failure(
                progress, choice.unwrap(), failure, len(answer.tokens)
            )
            if not is_successful(following):
                answer.refuse(following.failure())
                return
            progress = following.unwrap()

    async def run_plain_call(
        self, call: Call, isolated: bool
    ) -> Result[ServiceReply, Refusal]:
        """Return a plain service's reply, or the final refusal."""
        if call.idempotent:
            outcome = await self._send(call, isolated)
            return outcome.alt(_get_refusal)
        claimed = await self._stages.claiming.claim(call)
        if not is_successful(claimed):
            return Failure(claimed.failure())
        earlier = claimed.unwrap()
        if earlier is not None:
            return Success(earlier)
        outcome = await self._send(call, isolated)
        ending = (
            outcome.unwrap()
            if is_successful(outcome)
            else outcome.failure().last
        )
        await self._stages.claiming.conclude(call, ending)
        return outcome.alt(_get_refusal)

    async def _send(
        self, call: Call, isolated: bool
    ) -> 'Result[ServiceReply, _GivenUp]':
        progress = self._begin(call, isolated, 1)
        last = _VANISHED
        while True:
            choice = self._choose(progress)
            if not is_successful(choice):
                return Failure(_GivenUp(choice.failure(), last))
            reply = await self._send_once(progress, choice.unwrap())
            if is_successful(reply):
                return reply
            last = reply.failure()
            following = await self._follow_failure(
                progress, choice.unwrap(), last
            )
            if not is_successful(following):
                return Failure(_GivenUp(following.failure(), last))
            progress = following.unwrap()

    def _begin(self, call: Call, isolated: bool, attempt: int) -> _Progress:
        now = self._clock.read_monotonic()
        version = self._stages.versions.choose_version(call, now)
        return _Progress(call, version, isolated, attempt)

    def _choose(self, progress: _Progress) -> Result[ServerChoice, Refusal]:
        now = self._clock.read_monotonic()
        choice = self._stages.routing.choose_server(
            progress.call,
            progress.version,
            progress.excluded,
            progress.isolated,
            now,
        )
        if is_successful(choice):
            self._stages.routing.note_dispatch(
                progress.call, choice.unwrap(), now
            )
        return choice

    async def _follow_failure(
        self,
        progress: _Progress,
        choice: ServerChoice,
        failure: AttemptFailure,
        emitted: int = 0,
    ) -> Result[_Progress, Refusal]:
        now = self._clock.read_monotonic()
        decision = self._stages.retries.decide_retry(
            progress.call, progress.attempt, failure, now
        )
        if not is_successful(decision):
            return Failure(decision.failure())
        RETRIES.labels(failure.ending).inc()
        await asyncio.sleep(max(0, decision.unwrap() - now))
        return Success(
            replace(
                progress,
                version=self._stages.versions.choose_again(
                    progress.call, progress.version, emitted, now
                ),
                attempt=progress.attempt + 1,
                excluded=progress.excluded | {choice.server},
            )
        )

    async def _generate(
        self, answer: Answer, progress: _Progress, choice: ServerChoice
    ) -> AttemptFailure | None:
        engine = self._pool.find_engine(choice.server)
        if engine is None:
            return _VANISHED
        relay = _Relay(answer, progress.attempt, self._clock)
        order = GenerateOrder(
            answer.call, progress.attempt, tuple(answer.tokens)
        )
        stream = engine.generate(order)
        failure = await relay.take_all(stream)
        await stream.aclose()
        self._record(progress, choice, relay, failure)
        return failure

    async def _send_once(
        self, progress: _Progress, choice: ServerChoice
    ) -> Result[ServiceReply, AttemptFailure]:
        service = self._pool.find_service(choice.server)
        if service is None:
            return Failure(_VANISHED)
        relay = _Relay(Answer(progress.call), progress.attempt, self._clock)
        reply = await service.send_call(progress.call)
        failure = None if is_successful(reply) else reply.failure()
        self._record(progress, choice, relay, failure)
        return reply

    def _record(
        self,
        progress: _Progress,
        choice: ServerChoice,
        relay: '_Relay',
        failure: AttemptFailure | None,
    ) -> None:
        ending = failure.ending if failure else AttemptEnding.completed
        call = progress.call
        ATTEMPTS.labels(call.service, choice.version, ending).inc()
        record = AttemptRecord(
            call,
            progress.attempt,
            choice,
            relay.started,
            relay.first_token_at,
            self._clock.read_monotonic(),
            relay.taken,
            relay.prompt_tokens,
            relay.cached_tokens,
            ending,
        )
        for observer in self._stages.observers:
            observer.observe(record)


@dataclass(frozen=True)
class _GivenUp:
    refusal: Refusal
    last: AttemptFailure


def _get_refusal(given_up: _GivenUp) -> Refusal:
    return given_up.refusal


class _Relay:
    """Take the chunks of one attempt that fit into the answer."""

    def __init__(self, answer: Answer, attempt: int, clock: Clock) -> None:
        self._answer = answer
        self._attempt = attempt
        self._clock = clock
        self.started = clock.read_monotonic()
        self.first_token_at: float | None = None
        self.taken = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0

    async def take_all(self, stream) -> AttemptFailure | None:
        """Return None once the answer is whole, or why it is not."""
        async for message in stream:
            if isinstance(message, AttemptFailure):
                return message
            failure = self._take(message)
            if failure is not None or self._answer.finished:
                return failure
        return AttemptFailure(
            AttemptEnding.crashed, 'the stream ended early', True
        )

    def _take(self, chunk: Chunk) -> AttemptFailure | None:
        call = self._answer.call
        if (chunk.request_id, chunk.attempt) != (
            call.request_id,
            self._attempt,
        ):
            DROPPED_CHUNKS.labels('foreign').inc()
            return AttemptFailure(
                AttemptEnding.malformed, 'chunk of another stream', True
            )
        if chunk.offset != len(self._answer.tokens):
            DROPPED_CHUNKS.labels('offset').inc()
            return AttemptFailure(
                AttemptEnding.malformed, 'chunk does not follow', True
            )
        if self.first_token_at is None:
            self._note_first(chunk)
        self.taken += len(chunk.tokens)
        TOKENS.labels(call.service).inc(len(chunk.tokens))
        self._answer.append(chunk.tokens, chunk.finished)
        return None

    def _note_first(self, chunk: Chunk) -> None:
        self.first_token_at = self._clock.read_monotonic()
        self.prompt_tokens = chunk.prompt_tokens or 0
        self.cached_tokens = chunk.cached_tokens or 0
        FIRST_TOKEN.labels(self._answer.call.route).observe(
            self.first_token_at - self.started
        )
