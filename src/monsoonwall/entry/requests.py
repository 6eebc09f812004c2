"""Carry accepted requests through the stages."""

import asyncio
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.entry.state import HostState, Serving
from monsoonwall.logs import make_logger
from monsoonwall.metrics import REFUSALS, REQUESTS, RUNNING_REQUESTS
from monsoonwall.pipeline.acceptance import CallerRequest
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Refusal,
    RefusalReason,
    ServiceReply,
)

_RETRY_AFTER_SECONDS: Final = 1.0
_KEEP_ANSWER_SECONDS: Final = 60.0

_log = make_logger('requests')


class RequestTasks:
    """Start one task for each accepted request and follow it to its end."""

    def __init__(self, state: HostState, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._running: set[asyncio.Task[None]] = set()

    def start_completion(
        self, request: CallerRequest, chat: bool
    ) -> Result[tuple[Answer, bool], Refusal]:
        """Return the growing answer and whether its caller streams."""
        serving = self._find_serving()
        if not is_successful(serving):
            return Failure(serving.failure())
        now = self._clock.read_monotonic()
        accepted = serving.unwrap().acceptance.accept_completion(
            request, chat, now
        )
        if not is_successful(accepted):
            return Failure(accepted.failure())
        wanted = accepted.unwrap()
        screened = self._enter(serving.unwrap(), wanted.call)
        if not is_successful(screened):
            return Failure(screened.failure())
        answer = self._state.answers.open_answer(wanted.call)
        self._start(
            self._run_completion(serving.unwrap(), answer, screened.unwrap())
        )
        return Success((answer, wanted.stream))

    async def run_service_call(
        self, request: CallerRequest, service: str
    ) -> Result[ServiceReply, Refusal]:
        """Return a plain service's reply, or the refusal."""
        serving = self._find_serving()
        if not is_successful(serving):
            return Failure(serving.failure())
        now = self._clock.read_monotonic()
        accepted = serving.unwrap().acceptance.accept_service_call(
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
        """Wait for running requests; return how many are left."""
        remaining = deadline - self._clock.read_monotonic()
        if self._running and remaining > 0:
            await asyncio.wait(self._running, timeout=remaining)
        return len(self._running)

    def _find_serving(self) -> Result[Serving, Refusal]:
        if self._state.leaving:
            return Failure(
                _refuse_for_now(RefusalReason.leaving, 'this host is leaving')
            )
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

    def _start(self, work):
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    async def _run_completion(
        self, serving: Serving, answer: Answer, isolated: bool
    ) -> None:
        try:
            await serving.dispatcher.run_model_call(answer, isolated)
        except Exception as error:
            _log.opt(exception=error).error('Request ended by a defect.')
            answer.refuse(_refuse_defect())
        finally:
            self._leave(serving, answer.call)
        if answer.refusal is not None:
            count_refusal(answer.refusal)
        asyncio.get_running_loop().call_later(
            _KEEP_ANSWER_SECONDS,
            self._state.answers.forget,
            answer.call.request_id,
        )

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

    def _leave(self, serving: Serving, call: Call) -> None:
        serving.admission.release(call, self._clock.read_monotonic())
        RUNNING_REQUESTS.dec()


def count_refusal(refusal: Refusal) -> None:
    """Count a refusal by its reason and effect."""
    REFUSALS.labels(refusal.reason, refusal.effect).inc()


def _refuse_for_now(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Effect.not_run, detail, _RETRY_AFTER_SECONDS)


def _refuse_defect() -> Refusal:
    # Nobody can say how far a request came that a defect ended.
    return Refusal(
        RefusalReason.internal, Effect.unknown, 'see the log of this host'
    )
