"""Run requests through the stages of the pipeline."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.entry.state import HostState, RequestPipeline
from monsoonwall.logs import make_logger
from monsoonwall.metrics import (
    REFUSALS,
    REQUESTS,
    RUNNING_REQUESTS,
    TAKEOVERS,
)
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Refusal,
    RefusalReason,
    ServiceReply,
)
from monsoonwall.pipeline.request_parsing import CallerRequest
from monsoonwall.streams.copy_store import CopyStore
from monsoonwall.streams.replication import Replicator
from monsoonwall.streams.runner import AnswerRunner

_RETRY_AFTER_SECONDS: Final = 1.0
# Enough to try twice to reach a peer that does not respond.
_HAND_OVER_SECONDS: Final = 1.0
# Lets the notices about the hand-over reach the callers.
_HAND_OVER_NOTICE_SECONDS: Final = 0.1

_log = make_logger('requests')


class RequestTasks(AnswerRunner):
    """Run each admitted request in a task of its own."""

    def __init__(
        self,
        state: HostState,
        clock: Clock,
        replicator: Replicator,
        copies: CopyStore,
    ) -> None:
        self._state = state
        self._clock = clock
        self._replicator = replicator
        self._copies = copies
        self._running: set[asyncio.Task[Any]] = set()

    async def start_completion(
        self, request: CallerRequest, chat: bool
    ) -> Result[tuple[Answer, bool], Refusal]:
        """Start a completion; return its answer and whether to stream it."""
        pipeline = self._find_pipeline()
        if not is_successful(pipeline):
            return Failure(pipeline.failure())
        now = self._clock.read_monotonic()
        parsed = pipeline.unwrap().parser.parse_completion(request, chat, now)
        if not is_successful(parsed):
            return Failure(parsed.failure())
        completion = parsed.unwrap()
        screened = self._admit(pipeline.unwrap(), completion.call)
        if not is_successful(screened):
            return Failure(screened.failure())
        answer = await self._create_answer(
            pipeline.unwrap(), completion.call, screened.unwrap()
        )
        if self._state.leaving:
            # The shutdown began while a copy of the request was placed.
            self._release(pipeline.unwrap(), answer.call)
            self._replicator.untrack(answer.call.request_id)
            return Failure(_refuse_leaving())
        self._state.answers.add(answer)
        self._start_answer(pipeline.unwrap(), answer, admitted=True)
        return Success((answer, completion.stream))

    def find_answer(self, request_id: str) -> Answer | None:
        """Return an answer of this host, resumed if it was paused."""
        answer = self._state.answers.find(request_id)
        if answer is None or answer.handed_over:
            return None
        self._resume(answer)
        return answer

    def take_over(self, request_id: str, reason: str) -> Answer | None:
        """Run a request that this host has a copy of; None without a copy."""
        if self._state.leaving or self._state.pipeline is None:
            return None
        answer = self._copies.pop_answer(request_id)
        if answer is None:
            return None
        _log.info('Request taken over.', request=request_id, reason=reason)
        TAKEOVERS.labels(reason).inc()
        self._state.answers.add(answer)
        self._replicator.track(answer)
        self._resume(answer)
        return answer

    async def run_service_call(
        self, request: CallerRequest, service: str
    ) -> Result[ServiceReply, Refusal]:
        """Run a call to a plain service; return its reply or the refusal."""
        pipeline = self._find_pipeline()
        if not is_successful(pipeline):
            return Failure(pipeline.failure())
        now = self._clock.read_monotonic()
        parsed = pipeline.unwrap().parser.parse_service_call(
            request, service, now
        )
        if not is_successful(parsed):
            return Failure(parsed.failure())
        call = parsed.unwrap()
        screened = self._admit(pipeline.unwrap(), call)
        if not is_successful(screened):
            return Failure(screened.failure())
        # The call continues if its caller disconnects: it may be claimed.
        return await asyncio.shield(
            self._start_task(
                self._run_service_call(
                    pipeline.unwrap(), call, screened.unwrap()
                )
            )
        )

    async def drain(self, deadline: float) -> int:
        """Wait for running requests, then hand the rest over to peers.

        Return how many tasks are still running at ``deadline``, which is in
        monotonic seconds.
        """
        hand_over_at = deadline - _HAND_OVER_SECONDS
        await self._wait_running(hand_over_at)
        running = self._state.answers.list_running()
        handed_over_count = await self._replicator.hand_over(running)
        if running:
            _log.info(
                'Requests handed over.',
                moved=handed_over_count,
                of=len(running),
            )
        # Callers must be redirected to their answers before this host stops.
        await asyncio.sleep(_HAND_OVER_NOTICE_SECONDS)
        await self._wait_running(deadline)
        return len(self._running)

    async def _wait_running(self, deadline: float) -> None:
        remaining = deadline - self._clock.read_monotonic()
        while self._running and remaining > 0:
            await asyncio.wait(self._running, timeout=remaining)
            remaining = deadline - self._clock.read_monotonic()

    def _find_pipeline(self) -> Result[RequestPipeline, Refusal]:
        if self._state.leaving:
            return Failure(_refuse_leaving())
        if self._state.pipeline is None:
            return Failure(
                _refuse_temporarily(
                    RefusalReason.not_ready, 'no configuration adopted yet'
                )
            )
        return Success(self._state.pipeline)

    def _admit(
        self, pipeline: RequestPipeline, call: Call
    ) -> Result[bool, Refusal]:
        """Screen and admit a call; return whether it must run isolated."""
        now = self._clock.read_monotonic()
        screened = pipeline.screening.screen(call, now)
        if not is_successful(screened):
            return screened
        admitted = pipeline.admission.admit(call, now)
        if not is_successful(admitted):
            return Failure(admitted.failure())
        REQUESTS.labels(call.workspace, call.route).inc()
        RUNNING_REQUESTS.inc()
        return screened

    async def _create_answer(
        self, pipeline: RequestPipeline, call: Call, isolated: bool
    ) -> Answer:
        # The version is chosen before the copy is made, so that a host that
        # takes the request over uses the same version.
        version = pipeline.dispatcher.choose_version(call)
        return await self._replicator.place(call, version, isolated)

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def _resume(self, answer: Answer) -> None:
        pipeline = self._state.pipeline
        if pipeline and not answer.active and not answer.ended:
            RUNNING_REQUESTS.inc()
            self._start_answer(pipeline, answer, admitted=False)

    def _start_answer(
        self, pipeline: RequestPipeline, answer: Answer, admitted: bool
    ) -> None:
        answer.active = True
        self._start_task(self._run_completion(pipeline, answer, admitted))

    async def _run_completion(
        self, pipeline: RequestPipeline, answer: Answer, admitted: bool
    ) -> None:
        try:
            await pipeline.dispatcher.run_model_call(
                answer, answer.isolated, answer.next_attempt
            )
        except Exception as error:
            _log.opt(exception=error).error('Request failed with an exception.')
            answer.refuse(_refuse_internal_error())
        finally:
            answer.active = False
            self._release(pipeline, answer.call, admitted)
        if answer.refusal is not None:
            count_refusal(answer.refusal)

    async def _run_service_call(
        self, pipeline: RequestPipeline, call: Call, isolated: bool
    ) -> Result[ServiceReply, Refusal]:
        try:
            return await pipeline.dispatcher.run_plain_call(call, isolated)
        except Exception as error:
            _log.opt(exception=error).error('Request failed with an exception.')
            return Failure(_refuse_internal_error())
        finally:
            self._release(pipeline, call)

    def _release(
        self, pipeline: RequestPipeline, call: Call, admitted: bool = True
    ) -> None:
        # A request that was taken over counts at the host that admitted it.
        if admitted:
            pipeline.admission.release(call, self._clock.read_monotonic())
        RUNNING_REQUESTS.dec()


def count_refusal(refusal: Refusal) -> None:
    """Count a refusal by its reason and effect."""
    REFUSALS.labels(refusal.reason, refusal.effect).inc()


def _refuse_leaving() -> Refusal:
    return _refuse_temporarily(RefusalReason.leaving, 'this host is leaving')


def _refuse_temporarily(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Effect.not_run, detail, _RETRY_AFTER_SECONDS)


def _refuse_internal_error() -> Refusal:
    # After an exception it is unknown how far the request was processed.
    return Refusal(
        RefusalReason.internal, Effect.unknown, 'see the log of this host'
    )
