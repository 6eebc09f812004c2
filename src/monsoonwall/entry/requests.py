"""Carry accepted requests through the stages."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.entry.state import HostState, Serving
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
# Enough for two tries at a peer that does not answer.
_HAND_OVER_SECONDS: Final = 1.0
_DEPARTURE_SECONDS: Final = 0.1

_log = make_logger('requests')


class RequestTasks(AnswerRunner):
    """Start one task for each accepted request and follow it to its end."""

    def __init__(
        self,
        state: HostState,
        clock: Clock,
        replicator: Replicator,
        holdings: CopyStore,
    ) -> None:
        self._state = state
        self._clock = clock
        self._replicator = replicator
        self._holdings = holdings
        self._running: set[asyncio.Task[Any]] = set()

    async def start_completion(
        self, request: CallerRequest, chat: bool
    ) -> Result[tuple[Answer, bool], Refusal]:
        """Return the growing answer and whether its caller streams."""
        serving = self._find_serving()
        if not is_successful(serving):
            return Failure(serving.failure())
        now = self._clock.read_monotonic()
        accepted = serving.unwrap().acceptance.parse_completion(
            request, chat, now
        )
        if not is_successful(accepted):
            return Failure(accepted.failure())
        wanted = accepted.unwrap()
        screened = self._enter(serving.unwrap(), wanted.call)
        if not is_successful(screened):
            return Failure(screened.failure())
        answer = await self._place(
            serving.unwrap(), wanted.call, screened.unwrap()
        )
        if self._state.leaving:
            self._leave(serving.unwrap(), answer.call)
            self._replicator.untrack(answer.call.request_id)
            return Failure(_refuse_leaving())
        self._state.answers.add(answer)
        self._run(serving.unwrap(), answer, admitted=True)
        return Success((answer, wanted.stream))

    def find_answer(self, request_id: str) -> Answer | None:
        """Return an answer that this host has, being filled if not ended."""
        answer = self._state.answers.find(request_id)
        if answer is None or answer.handed_over:
            return None
        self._continue(answer)
        return answer

    def take_over(self, request_id: str, reason: str) -> Answer | None:
        """Run a request whose copy is here; None if it is not."""
        if self._state.leaving or self._state.serving is None:
            return None
        answer = self._holdings.pop_answer(request_id)
        if answer is None:
            return None
        _log.info('Request taken over.', request=request_id, reason=reason)
        TAKEOVERS.labels(reason).inc()
        self._state.answers.add(answer)
        self._replicator.track(answer)
        self._continue(answer)
        return answer

    async def run_service_call(
        self, request: CallerRequest, service: str
    ) -> Result[ServiceReply, Refusal]:
        """Return a plain service's reply, or the refusal."""
        serving = self._find_serving()
        if not is_successful(serving):
            return Failure(serving.failure())
        now = self._clock.read_monotonic()
        accepted = serving.unwrap().acceptance.parse_service_call(
            request, service, now
        )
        if not is_successful(accepted):
            return Failure(accepted.failure())
        call = accepted.unwrap()
        screened = self._enter(serving.unwrap(), call)
        if not is_successful(screened):
            return Failure(screened.failure())
        # The call goes on when its caller hangs up: it may be claimed.
        return await asyncio.shield(
            self._start(
                self._run_service_call(
                    serving.unwrap(), call, screened.unwrap()
                )
            )
        )

    async def drain(self, deadline: float) -> int:
        """Wait for running requests, then hand them over; return the rest.

        ``deadline`` is in monotonic seconds.
        """
        handing_over_at = deadline - _HAND_OVER_SECONDS
        await self._wait_running(handing_over_at)
        running = self._state.answers.list_running()
        moved = await self._replicator.hand_over(running)
        if running:
            _log.info('Requests handed over.', moved=moved, of=len(running))
        # Callers are told where their answers go on before all ends.
        await asyncio.sleep(_DEPARTURE_SECONDS)
        await self._wait_running(deadline)
        return len(self._running)

    async def _wait_running(self, deadline: float) -> None:
        remaining = deadline - self._clock.read_monotonic()
        while self._running and remaining > 0:
            await asyncio.wait(self._running, timeout=remaining)
            remaining = deadline - self._clock.read_monotonic()

    def _find_serving(self) -> Result[Serving, Refusal]:
        if self._state.leaving:
            return Failure(_refuse_leaving())
        if self._state.serving is None:
            return Failure(
                _refuse_for_now(
                    RefusalReason.not_ready, 'no configuration adopted yet'
                )
            )
        return Success(self._state.serving)

    def _enter(self, serving: Serving, call: Call) -> Result[bool, Refusal]:
        now = self._clock.read_monotonic()
        screened = serving.screening.screen(call, now)
        if not is_successful(screened):
            return screened
        admitted = serving.admission.admit(call, now)
        if not is_successful(admitted):
            return Failure(admitted.failure())
        REQUESTS.labels(call.workspace, call.route).inc()
        RUNNING_REQUESTS.inc()
        return screened

    async def _place(
        self, serving: Serving, call: Call, isolated: bool
    ) -> Answer:
        # The version is chosen before the copy is made, so that whoever
        # takes the request over goes on with the same one.
        version = serving.dispatcher.choose_version(call)
        return await self._replicator.place(call, version, isolated)

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def _continue(self, answer: Answer) -> None:
        serving = self._state.serving
        if serving and not answer.active and not answer.ended:
            RUNNING_REQUESTS.inc()
            self._run(serving, answer, admitted=False)

    def _run(self, serving: Serving, answer: Answer, admitted: bool) -> None:
        answer.active = True
        self._start(self._run_completion(serving, answer, admitted))

    async def _run_completion(
        self, serving: Serving, answer: Answer, admitted: bool
    ) -> None:
        try:
            await serving.dispatcher.run_model_call(
                answer, answer.isolated, answer.next_attempt
            )
        except Exception as error:
            _log.opt(exception=error).error('Request ended by a defect.')
            answer.refuse(_refuse_defect())
        finally:
            answer.active = False
            self._leave(serving, answer.call, admitted)
        if answer.refusal is not None:
            count_refusal(answer.refusal)

    async def _run_service_call(
        self, serving: Serving, call: Call, isolated: bool
    ) -> Result[ServiceReply, Refusal]:
        try:
            return await serving.dispatcher.run_plain_call(call, isolated)
        except Exception as error:
            _log.opt(exception=error).error('Request ended by a defect.')
            return Failure(_refuse_defect())
        finally:
            self._leave(serving, call)

    def _leave(
        self, serving: Serving, call: Call, admitted: bool = True
    ) -> None:
        # A request that was taken over was admitted by another host.
        if admitted:
            serving.admission.release(call, self._clock.read_monotonic())
        RUNNING_REQUESTS.dec()


def count_refusal(refusal: Refusal) -> None:
    """Count a refusal by its reason and effect."""
    REFUSALS.labels(refusal.reason, refusal.effect).inc()


def _refuse_leaving() -> Refusal:
    return _refuse_for_now(RefusalReason.leaving, 'this host is leaving')


def _refuse_for_now(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Effect.not_run, detail, _RETRY_AFTER_SECONDS)


def _refuse_defect() -> Refusal:
    # Nobody can say how far a request came that a defect ended.
    return Refusal(
        RefusalReason.internal, Effect.unknown, 'see the log of this host'
    )
