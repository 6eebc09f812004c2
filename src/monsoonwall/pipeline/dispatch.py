"""Run an admitted call: choose a server, send the call, and retry."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.metrics import ATTEMPTS, RETRIES
from monsoonwall.pipeline.answers import (
    Answer,
    Interruption,
    InterruptionKind,
)
from monsoonwall.pipeline.attempts import Attempt
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    AttemptRecord,
    Call,
    Refusal,
    ServerChoice,
    ServiceReply,
)
from monsoonwall.pipeline.selection import CallProgress, ServerSelection
from monsoonwall.pipeline.stages import (
    Claiming,
    Observer,
    RetryPolicy,
    ServerRouting,
    VersionChoice,
)

_SERVER_ERROR: Final = 500
_SERVER_REMOVED: Final = AttemptFailure(
    AttemptEnding.unreachable, 'the server left the configuration', False
)


@dataclass(frozen=True)
class Stages:
    """Hold the stages that the dispatcher calls."""

    versions: VersionChoice
    routing: ServerRouting
    retries: RetryPolicy
    claiming: Claiming
    observers: Sequence[Observer]


class Dispatcher:
    """Make attempts until a call has an answer or a final refusal."""

    def __init__(self, stages: Stages, pool: BackendPool, clock: Clock) -> None:
        self._stages = stages
        self._pool = pool
        self._clock = clock
        self._selection = ServerSelection(stages.routing, clock)

    def choose_version(self, call: Call) -> str:
        """Return the version that generates the answer of a call."""
        now = self._clock.read_monotonic()
        return self._stages.versions.choose_version(call, now)

    def choose_move_target(
        self, answer: Answer, excluded: frozenset[str]
    ) -> Result[ServerChoice, Refusal]:
        """Return another server of the same version to move the answer to."""
        progress = CallProgress(answer.call, answer.version, answer.isolated)
        return self._selection.choose_excluding(progress, excluded)

    async def run_model_call(
        self, answer: Answer, isolated: bool, attempt: int = 1
    ) -> None:
        """Generate the answer, resuming on other servers after failures.

        If the attempt is abandoned, returns before the answer has ended;
        another run with a greater attempt number resumes the answer.
        """
        progress = self._start_progress(answer, isolated, attempt)
        while not answer.ended:
            if answer.full:
                answer.finish()
                return
            next_progress = await self._make_attempt(answer, progress)
            if next_progress is None:
                return
            if not is_successful(next_progress):
                answer.refuse(next_progress.failure())
                return
            progress = next_progress.unwrap()
            # After a failure, an answer of a withdrawn version may continue on
            # another version.
            answer.version = progress.version

    async def run_plain_call(
        self, call: Call, isolated: bool
    ) -> Result[ServiceReply, Refusal]:
        """Return a plain service's reply, or the final refusal."""
        if call.idempotent:
            outcome = await self._send_with_retries(call, isolated)
            return outcome.alt(_get_refusal)
        claimed = await self._stages.claiming.claim(call)
        if not is_successful(claimed):
            return Failure(claimed.failure())
        earlier_reply = claimed.unwrap()
        if earlier_reply is not None:
            return Success(earlier_reply)
        outcome = await self._send_with_retries(call, isolated)
        ending = (
            outcome.unwrap()
            if is_successful(outcome)
            else outcome.failure().last_failure
        )
        await self._stages.claiming.conclude(call, ending)
        return outcome.alt(_get_refusal)

    async def _send_with_retries(
        self, call: Call, isolated: bool
    ) -> 'Result[ServiceReply, _FinalFailure]':
        progress = CallProgress(call, self.choose_version(call), isolated)
        last_failure = _SERVER_REMOVED
        while True:
            choice = self._selection.choose(progress)
            if not is_successful(choice):
                return Failure(_FinalFailure(choice.failure(), last_failure))
            reply = await self._send_once(progress, choice.unwrap())
            if is_successful(reply):
                return reply
            last_failure = reply.failure()
            next_progress = await self._plan_after_failure(
                progress, choice.unwrap(), last_failure
            )
            if not is_successful(next_progress):
                return Failure(
                    _FinalFailure(next_progress.failure(), last_failure)
                )
            progress = next_progress.unwrap()

    def _start_progress(
        self, answer: Answer, isolated: bool, attempt: int
    ) -> CallProgress:
        # An answer keeps its version when it resumes, also on other hosts.
        answer.version = answer.version or self.choose_version(answer.call)
        return CallProgress(answer.call, answer.version, isolated, attempt)

    async def _make_attempt(
        self, answer: Answer, progress: CallProgress
    ) -> Result[CallProgress, Refusal] | None:
        """Return the next progress, a refusal, or None to end this run."""
        choice = await self._selection.choose_or_wait(progress)
        if answer.handed_over:
            return None
        if not is_successful(choice):
            return Failure(choice.failure())
        ending = await self._generate(answer, progress, choice.unwrap())
        if ending is None or ending.kind is InterruptionKind.abandoned:
            return None
        return await self._plan_after_interruption(
            progress, choice.unwrap(), ending, len(answer.tokens)
        )

    async def _plan_after_interruption(
        self,
        progress: CallProgress,
        choice: ServerChoice,
        ending: Interruption,
        emitted: int,
    ) -> Result[CallProgress, Refusal]:
        if ending.kind is InterruptionKind.failed:
            return await self._plan_after_failure(
                progress, choice, ending.failure, emitted
            )
        # The system itself moves streams between servers, so a move does not
        # count as a retry.
        return Success(
            replace(
                progress,
                attempt=progress.attempt + 1,
                excluded=progress.excluded | {choice.server},
                target=ending.choice,
                kv_handle=ending.kv_handle,
            )
        )

    async def _plan_after_failure(
        self,
        progress: CallProgress,
        choice: ServerChoice,
        failure: AttemptFailure,
        emitted: int = 0,
    ) -> Result[CallProgress, Refusal]:
        now = self._clock.read_monotonic()
        failures = progress.failures + 1
        decision = self._stages.retries.decide_retry(
            progress.call, failures, failure, now
        )
        if not is_successful(decision):
            return Failure(decision.failure())
        RETRIES.labels(failure.ending).inc()
        await asyncio.sleep(max(0, decision.unwrap() - now))
        return Success(
            replace(
                progress,
                version=self._stages.versions.choose_retry_version(
                    progress.call, progress.version, emitted, now
                ),
                attempt=progress.attempt + 1,
                excluded=progress.excluded | {choice.server},
                failures=failures,
                target=None,
                kv_handle='',
            )
        )

    async def _generate(
        self, answer: Answer, progress: CallProgress, choice: ServerChoice
    ) -> Interruption | None:
        engine = self._pool.find_engine(choice.server)
        if engine is None:
            return Interruption(InterruptionKind.failed, _SERVER_REMOVED)
        attempt = Attempt(answer, progress.attempt, choice, self._clock)
        ending = await attempt.run(engine, progress.kv_handle)
        now = self._clock.read_monotonic()
        self._record(_describe_generation(answer, attempt, ending, now))
        return ending

    async def _send_once(
        self, progress: CallProgress, choice: ServerChoice
    ) -> Result[ServiceReply, AttemptFailure]:
        service = self._pool.find_service(choice.server)
        if service is None:
            return Failure(_SERVER_REMOVED)
        started = self._clock.read_monotonic()
        reply = await service.send_call(progress.call)
        self._record(
            AttemptRecord(
                call=progress.call,
                attempt=progress.attempt,
                choice=choice,
                started=started,
                first_token_at=None,
                ended=self._clock.read_monotonic(),
                tokens=0,
                prompt_tokens=0,
                cached_tokens=0,
                ending=_classify_reply(reply),
            )
        )
        return reply

    def _record(self, record: AttemptRecord) -> None:
        ATTEMPTS.labels(
            record.call.service, record.choice.version, record.ending
        ).inc()
        for observer in self._stages.observers:
            observer.observe(record)


@dataclass(frozen=True)
class _FinalFailure:
    refusal: Refusal
    last_failure: AttemptFailure


def _describe_generation(
    answer: Answer, attempt: Attempt, ending: Interruption | None, now: float
) -> AttemptRecord:
    return AttemptRecord(
        call=answer.call,
        attempt=attempt.number,
        choice=attempt.choice,
        started=attempt.started,
        first_token_at=attempt.first_token_at,
        ended=now,
        tokens=attempt.accepted_tokens,
        prompt_tokens=answer.prompt_tokens,
        cached_tokens=answer.cached_tokens,
        ending=ending.failure.ending if ending else AttemptEnding.completed,
    )


def _get_refusal(final_failure: _FinalFailure) -> Refusal:
    return final_failure.refusal


def _classify_reply(
    reply: Result[ServiceReply, AttemptFailure],
) -> AttemptEnding:
    # The caller receives the server's error reply, but the attempt is recorded
    # as failed.
    if not is_successful(reply):
        return reply.failure().ending
    if reply.unwrap().status >= _SERVER_ERROR:
        return AttemptEnding.failed
    return AttemptEnding.completed
