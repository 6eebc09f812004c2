"""Conduct one request from its entrance to its final answer."""

import asyncio
from functools import partial
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.conclusions import Concluder
from monsoonwall.gateway.dialect import Attempt, Continuation
from monsoonwall.gateway.ingress import RequestHandler
from monsoonwall.gateway.journeys import Journey, Recorder
from monsoonwall.gateway.loads import Work
from monsoonwall.gateway.model import (
    BackendServer,
    CallerRequest,
    RouteKind,
)
from monsoonwall.gateway.parts import Parts
from monsoonwall.gateway.placing import Place
from monsoonwall.gateway.repeating import RepeatVerdict
from monsoonwall.gateway.runs import Moved, Run
from monsoonwall.gateway.sending import AnswerSink, SendingResult
from monsoonwall.gateway.sinks import StreamSink, WholeSink
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Effect,
    Refusal,
    RefusalReason,
)

# An answer that may be repeated is awaited for this many objectives.
_PATIENCE_OBJECTIVES: Final = 1.3
_LEAST_URGENT: Final = 9
_SILENT: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.timed_out,
    )
)


class Conductor(RequestHandler):
    """Serve requests, each in a task of its own."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._recorder = Recorder(parts.clock)
        self._concluder = Concluder(parts.dialect, self._recorder)

    async def serve(self, request: CallerRequest, caller: Caller) -> None:
        """Give a request its final answer."""
        entered = self._parts.entrance.admit(request)
        if not is_successful(entered):
            self.refuse(request.attempt_id, caller, entered.failure())
            return
        journey = Journey(entered.unwrap(), caller)
        self._parts.repeater.note_request(journey)
        try:
            async with asyncio.timeout_at(journey.admitted.deadline):
                await self._run(journey)
        except TimeoutError:
            self._concluder.conclude(journey, _make_late(journey))
        except asyncio.CancelledError:
            self._recorder.note_ended(journey, 'caller_left', 'cancelled')
            raise
        finally:
            self._parts.screener.release(journey)
            if journey.effect is Effect.not_run:
                self._parts.entrance.give_back(journey.admitted)

    def refuse(self, attempt_id: str, caller: Caller, refusal: Refusal) -> None:
        """Answer a request that did not enter."""
        self._concluder.write_refusal(attempt_id, caller, refusal)
        self._recorder.note_refused(
            attempt_id, refusal, self._parts.entrance.revision
        )

    async def _run(self, journey: Journey) -> None:
        while True:
            place = self._parts.screener.screen(
                journey
            ) or self._parts.placer.choose(journey)
            if isinstance(place, Refusal):
                self._concluder.conclude(journey, place)
                return
            outcome = await self._send_on(journey, place)
            if outcome.ending is AttemptEnding.completed:
                self._recorder.note_ended(journey, 'answered', 'completed')
                return
            verdict = self._parts.repeater.decide(journey, outcome)
            if verdict is not RepeatVerdict.allowed:
                self._concluder.conclude(
                    journey,
                    self._parts.placer.refuse_repeat(
                        journey, f'{outcome.detail}; not sent again: {verdict}'
                    ),
                )
                return

    async def _send_on(self, journey: Journey, place: Place) -> SendingResult:
        """Send a request, and follow its run where it is moved."""
        moved: Moved | None = None
        while True:
            run = Run(journey, moved.place if moved else place)
            self._parts.runs.add(run)
            try:
                outcome, record = await self._send(
                    journey, run.place, moved and moved.continuation
                )
            finally:
                self._parts.runs.drop(run)
            moved = await run.find_move(outcome)
            if moved is None:
                await self._parts.screener.note_ending(record, run.place.server)
            if moved is None or self._parts.screener.screen(journey):
                return outcome

    async def _send(
        self,
        journey: Journey,
        place: Place,
        continuation: Continuation | None,
    ) -> tuple[SendingResult, AttemptRecord]:
        server = place.server
        work = self._parts.loads.begin(
            server,
            place.candidate,
            journey.admitted.priority,
            journey.suspect,
        )
        journey.tried.append(server.name)
        # Counted before the answer, since the wait for it may be cancelled.
        journey.runs += 1
        try:
            outcome = await self._parts.sender.send(
                _make_attempt(journey, server, continuation),
                self._make_sink(journey, server, work),
                self._choose_first_deadline(journey),
            )
        finally:
            self._parts.loads.end(server, work)
        journey.runs -= int(not outcome.may_have_run)
        if outcome.ending is AttemptEnding.failed:
            journey.fallback = outcome.reply
            self._note_begun(journey, server, work)
        self._judge_server(server, outcome)
        record = journey.describe_sending(
            server, outcome, work.sent_at, self._parts.clock.read_monotonic()
        )
        self._parts.rollouts.note_sending(record, server)
        self._recorder.note_sending(
            journey, server, outcome, self._parts.loads.find_health(server)
        )
        return outcome, record

    def _make_sink(
        self, journey: Journey, server: BackendServer, work: Work
    ) -> AnswerSink:
        begin = partial(self._note_begun, journey, server, work)
        dialect = self._parts.dialect
        if journey.admitted.route.kind is RouteKind.streaming:
            return StreamSink(journey.caller, dialect, journey.progress, begin)
        return WholeSink(journey.caller, dialect, begin)

    def _note_begun(
        self, journey: Journey, server: BackendServer, work: Work
    ) -> None:
        if work.started:
            return
        admitted = journey.admitted
        self._parts.loads.note_started(server, work, admitted.request.prompt)
        self._recorder.note_first(journey)
        if admitted.workspace is not None:
            self._parts.usage.count(admitted.workspace.name)

    def _choose_first_deadline(self, journey: Journey) -> float:
        route = journey.admitted.route
        if not route.repeatable or journey.runs >= route.max_attempts:
            return journey.admitted.deadline
        now = self._parts.clock.read_monotonic()
        patience = route.objective_seconds * _PATIENCE_OBJECTIVES
        return min(journey.admitted.deadline, now + patience)

    def _judge_server(
        self, server: BackendServer, outcome: SendingResult
    ) -> None:
        health = self._parts.loads.find_health(server)
        now = self._parts.clock.read_monotonic()
        if outcome.ending is AttemptEnding.completed:
            health.note_success()
        elif outcome.ending in _SILENT:
            health.note_no_answer(now)
        elif not health.is_backing_off(now):
            # A full server that says when to come back has not failed.
            health.note_failure()


def _make_attempt(
    journey: Journey,
    server: BackendServer,
    continuation: Continuation | None,
) -> Attempt:
    admitted = journey.admitted
    workspace = admitted.workspace
    return Attempt(
        admitted.request,
        server,
        admitted.deadline,
        workspace=workspace.name if workspace else None,
        priority=min(_LEAST_URGENT, max(0, admitted.priority))
        if admitted.service.engine
        else None,
        last_event_id=journey.progress.last_event_id
        or admitted.request.last_event_id,
        continuation=continuation,
    )


def _make_late(journey: Journey) -> Refusal:
    return Refusal(
        RefusalReason.deadline_passed,
        journey.effect,
        'the time for the request is over',
    )
