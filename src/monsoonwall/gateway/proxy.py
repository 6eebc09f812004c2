"""Proxy each request to a backend server, from admission to response."""

import asyncio
from functools import partial
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.dependencies import RequestDependencies
from monsoonwall.gateway.dialect import Attempt, Continuation
from monsoonwall.gateway.final_responses import FinalResponder
from monsoonwall.gateway.ingress import RequestHandler
from monsoonwall.gateway.loads import ActiveAttempt
from monsoonwall.gateway.model import (
    BackendServer,
    CallerRequest,
    RouteKind,
)
from monsoonwall.gateway.request_state import RequestRecorder, RequestState
from monsoonwall.gateway.response_writers import (
    BufferedResponseWriter,
    EventStreamWriter,
)
from monsoonwall.gateway.retrying import RetryDecision
from monsoonwall.gateway.runs import MovedRun, Run
from monsoonwall.gateway.sending import AttemptResult, ResponseWriter
from monsoonwall.gateway.server_selection import SelectedServer
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Effect,
    Refusal,
    RefusalReason,
)

# A server is considered silent when a response has not started after this
# multiple of the route's latency objective. If the request can be retried, the
# attempt times out then.
_RESPONSE_TIMEOUT_FACTOR: Final = 1.3
# Engines are sent priorities from 0, the most urgent, to this one.
_LOWEST_PRIORITY: Final = 9
_NO_RESPONSE_ENDINGS: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.timed_out,
    )
)


class ProxyHandler(RequestHandler):
    """Serve callers' requests, each in a task of its own."""

    def __init__(self, dependencies: RequestDependencies) -> None:
        self._dependencies = dependencies
        self._recorder = RequestRecorder(dependencies.clock)
        self._final_responder = FinalResponder(
            dependencies.dialect, self._recorder
        )

    async def serve(self, request: CallerRequest, caller: Caller) -> None:
        """Serve a request until its caller has the final response."""
        await self._dependencies.configuration_bound.ensure_recent()
        admission = self._dependencies.admission_check.admit(request)
        if not is_successful(admission):
            self.refuse(request.attempt_id, caller, admission.failure())
            return
        state = RequestState(admission.unwrap(), caller)
        self._dependencies.retry_policy.record_request(state)
        try:
            async with asyncio.timeout_at(state.admitted.deadline):
                await self._run(state)
        except TimeoutError:
            self._final_responder.finish_request(
                state, _make_deadline_refusal(state)
            )
        except asyncio.CancelledError:
            self._recorder.record_end(state, 'caller_left', 'cancelled')
            raise
        finally:
            self._dependencies.screener.release(state)
            if state.effect is Effect.not_run:
                self._dependencies.admission_check.cancel_grant(state.admitted)

    def refuse(self, attempt_id: str, caller: Caller, refusal: Refusal) -> None:
        """Refuse a request that was not admitted."""
        self._final_responder.write_refusal(attempt_id, caller, refusal)
        self._recorder.record_refusal(
            attempt_id, refusal, self._dependencies.admission_check.revision
        )

    async def _run(self, state: RequestState) -> None:
        while True:
            selected = self._dependencies.screener.screen(
                state
            ) or self._dependencies.server_selector.choose(state)
            if isinstance(selected, Refusal):
                self._final_responder.finish_request(state, selected)
                return
            outcome = await self._run_attempt(state, selected)
            if outcome.ending is AttemptEnding.completed:
                self._recorder.record_end(state, 'answered', 'completed')
                return
            decision = self._dependencies.retry_policy.decide(state, outcome)
            if decision is not RetryDecision.allowed:
                self._final_responder.finish_request(
                    state,
                    self._dependencies.server_selector.make_final_refusal(
                        state, f'{outcome.detail}; not sent again: {decision}'
                    ),
                )
                return

    async def _run_attempt(
        self, state: RequestState, selected: SelectedServer
    ) -> AttemptResult:
        """Send a request to a server, and resume it wherever its run moves."""
        moved: MovedRun | None = None
        while True:
            run = Run(state, moved.selected if moved else selected)
            self._dependencies.runs.add(run)
            try:
                outcome, record = await self._send(
                    state, run, moved and moved.continuation
                )
            finally:
                self._dependencies.runs.remove(run)
            moved = await run.wait_for_move(outcome)
            if moved is None:
                await self._dependencies.screener.record_attempt_end(
                    record, run.selected.server
                )
            if moved is None or self._dependencies.screener.screen(state):
                return outcome

    async def _send(
        self,
        state: RequestState,
        run: Run,
        continuation: Continuation | None,
    ) -> tuple[AttemptResult, AttemptRecord]:
        server = run.selected.server
        active_attempt = self._dependencies.loads.begin(
            server,
            run.selected.candidate,
            state.admitted.priority,
            state.suspect,
        )
        state.tried_servers.append(server.name)
        # Counted before the response, since waiting for it may be cancelled.
        state.possible_runs += 1
        try:
            outcome = await self._dependencies.sender.send(
                _make_attempt(state, server, continuation),
                self._make_response_writer(run, active_attempt),
                self._choose_response_deadline(state),
            )
        except asyncio.CancelledError:
            self._record_interruption(state, server, active_attempt)
            raise
        finally:
            self._dependencies.loads.end(server, active_attempt)
        state.possible_runs -= int(not outcome.may_have_run)
        if outcome.open_channel is not None:
            state.used_channels.add(outcome.open_channel)
        if outcome.ending is AttemptEnding.failed:
            state.failure_response = outcome.reply
            self._record_response_start(state, server, active_attempt)
        record = self._record_attempt_end(
            state, server, outcome, active_attempt
        )
        self._dependencies.rollouts.record_attempt_end(record, server)
        return outcome, record

    def _record_interruption(
        self,
        state: RequestState,
        server: BackendServer,
        active_attempt: ActiveAttempt,
    ) -> None:
        """Record a silent server whose attempt the deadline or caller ended."""
        now = self._dependencies.clock.read_monotonic()
        silent_from = active_attempt.sent_at + _compute_response_timeout(state)
        if active_attempt.started or now < silent_from:
            return
        outcome = AttemptResult(AttemptEnding.timed_out, 'given up')
        self._dependencies.screener.record_interruption(
            self._record_attempt_end(state, server, outcome, active_attempt),
            server,
        )

    def _record_attempt_end(
        self,
        state: RequestState,
        server: BackendServer,
        outcome: AttemptResult,
        active_attempt: ActiveAttempt,
    ) -> AttemptRecord:
        self._update_health(server, outcome)
        record = state.make_attempt_record(
            server,
            outcome,
            active_attempt.sent_at,
            self._dependencies.clock.read_monotonic(),
        )
        self._recorder.record_attempt(
            state, server, outcome, self._dependencies.loads.find_health(server)
        )
        return record

    def _make_response_writer(
        self,
        run: Run,
        active_attempt: ActiveAttempt,
    ) -> ResponseWriter:
        state = run.request_state
        on_start = partial(
            self._record_response_start,
            state,
            run.selected.server,
            active_attempt,
        )
        dialect = self._dependencies.dialect
        if state.admitted.route.kind is RouteKind.streaming:
            return EventStreamWriter(
                state.caller,
                dialect,
                state.progress,
                on_start,
                run.may_have_been_stopped,
            )
        return BufferedResponseWriter(state.caller, dialect, on_start)

    def _record_response_start(
        self,
        state: RequestState,
        server: BackendServer,
        active_attempt: ActiveAttempt,
    ) -> None:
        if active_attempt.started:
            return
        admitted = state.admitted
        self._dependencies.loads.record_response_start(
            server, active_attempt, admitted.request.prompt
        )
        self._recorder.record_first_response(state)
        if admitted.workspace is not None:
            self._dependencies.usage.count(admitted.workspace.name)

    def _choose_response_deadline(self, state: RequestState) -> float:
        route = state.admitted.route
        if not route.repeatable or state.possible_runs >= route.max_attempts:
            return state.admitted.deadline
        now = self._dependencies.clock.read_monotonic()
        return min(
            state.admitted.deadline, now + _compute_response_timeout(state)
        )

    def _update_health(
        self, server: BackendServer, outcome: AttemptResult
    ) -> None:
        health = self._dependencies.loads.find_health(server)
        now = self._dependencies.clock.read_monotonic()
        if outcome.ending is AttemptEnding.completed:
            health.record_success()
        elif outcome.ending in _NO_RESPONSE_ENDINGS:
            health.record_no_response(now)
        elif (
            outcome.ending is not AttemptEnding.unsent
            and not health.is_backing_off(now)
        ):
            # A full server that asks for backoff has not failed.
            health.record_failure()


def _compute_response_timeout(state: RequestState) -> float:
    return state.admitted.route.objective_seconds * _RESPONSE_TIMEOUT_FACTOR


def _make_attempt(
    state: RequestState,
    server: BackendServer,
    continuation: Continuation | None,
) -> Attempt:
    admitted = state.admitted
    workspace = admitted.workspace
    return Attempt(
        admitted.request,
        server,
        admitted.deadline,
        workspace=workspace.name if workspace else None,
        priority=min(_LOWEST_PRIORITY, max(0, admitted.priority))
        if admitted.service.engine
        else None,
        last_event_id=state.progress.last_event_id
        or admitted.request.last_event_id,
        continuation=continuation,
        used_channels=frozenset(state.used_channels),
    )


def _make_deadline_refusal(state: RequestState) -> Refusal:
    return Refusal(
        RefusalReason.deadline_passed,
        state.effect,
        'the time for the request is over',
    )
