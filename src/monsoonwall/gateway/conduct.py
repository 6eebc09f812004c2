"""Conduct one request from its entrance to its final answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.clocks import Clock
from monsoonwall.decisions.hashing import choose_by_hash
from monsoonwall.decisions.placement import (
    Candidate,
    Placement,
    choose_server,
)
from monsoonwall.decisions.repeats import RepeatBudget
from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.dialect import Attempt, Dialect
from monsoonwall.gateway.entrance import Admitted, Entrance
from monsoonwall.gateway.ingress import RequestHandler
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.loads import LoadBook
from monsoonwall.gateway.model import (
    BackendServer,
    CallerRequest,
    RouteKind,
)
from monsoonwall.gateway.sending import Sender, SendingResult
from monsoonwall.gateway.settings import Bounds
from monsoonwall.gateway.sinks import StreamProgress, StreamSink, WholeSink
from monsoonwall.logs import make_logger
from monsoonwall.metrics import (
    GATEWAY_ATTEMPTS,
    GATEWAY_ENDINGS,
    GATEWAY_FIRST_EVENT,
    GATEWAY_REPEATS,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    Effect,
    Refusal,
    RefusalReason,
)
from monsoonwall.transport.messages import Reply

# Sendings of one request that servers did not execute, at most.
_MAX_SENDINGS: Final = 4
# An answer that may be repeated is awaited for this many objectives.
_PATIENCE_OBJECTIVES: Final = 1.3
# Comes back when the work ahead is done, and not all at once.
_LEAST_RETRY_SECONDS: Final = 0.2
_RETRY_SPREAD: Final = 0.5
_SILENT: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.timed_out,
    )
)

_log = make_logger('request')


@dataclass
class _Journey:
    """Hold what has happened to one request so far."""

    admitted: Admitted
    caller: Caller
    progress: StreamProgress = field(default_factory=StreamProgress)
    tried: list[str] = field(default_factory=list)
    endings: list[str] = field(default_factory=list)
    runs: int = 0
    first_at: float | None = None
    in_flight: bool = False
    fallback: Reply | None = None

    @property
    def effect(self) -> Effect:
        """Return what is known of the request's effect."""
        if self.fallback is not None:
            return Effect.run
        return Effect.unknown if self.runs else Effect.not_run


@dataclass(frozen=True)
class Parts:
    """Hold what conducting a request needs."""

    entrance: Entrance
    knowledge: Knowledge
    loads: LoadBook
    sender: Sender
    dialect: Dialect
    bounds: Bounds
    zone: str
    clock: Clock
    random: Random
    count_hosts: Callable[[], int]


class Conductor(RequestHandler):
    """Serve requests, each in a task of its own."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._repeats: dict[str, RepeatBudget] = {}

    async def serve(self, request: CallerRequest, caller: Caller) -> None:
        """Give a request its final answer, also when it is cancelled."""
        entered = self._parts.entrance.admit(request)
        if not is_successful(entered):
            self.refuse(request.attempt_id, caller, entered.failure())
            return
        journey = _Journey(entered.unwrap(), caller)
        self._find_repeats(journey).note_request(
            self._parts.clock.read_monotonic()
        )
        try:
            async with asyncio.timeout_at(journey.admitted.deadline):
                await self._run(journey)
        except TimeoutError:
            self._give_up(journey)
        except asyncio.CancelledError:
            self._note_ended(journey, 'caller_left', 'cancelled')
            raise
        finally:
            if journey.effect is Effect.not_run:
                self._parts.entrance.give_back(journey.admitted)

    def refuse(self, attempt_id: str, caller: Caller, refusal: Refusal) -> None:
        """Answer a request that did not enter."""
        _write_refusal(self._parts.dialect, attempt_id, caller, refusal)
        GATEWAY_ENDINGS.labels('unknown', 'refused', refusal.reason).inc()
        _log.info(
            'Request refused at entrance.',
            request_id=attempt_id,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after=refusal.retry_after,
            revision=self._get_revision(),
        )

    async def _run(self, journey: _Journey) -> None:
        while True:
            placed = self._place(journey)
            if isinstance(placed, Refusal):
                self._conclude(journey, placed)
                return
            server, candidate = placed
            outcome = await self._send(journey, server, candidate)
            if outcome.ending is AttemptEnding.completed:
                self._note_ended(journey, 'answered', 'completed')
                return
            refusal = self._decide_repeat(journey, outcome)
            if refusal is not None:
                self._conclude(journey, refusal)
                return

    def _place(
        self, journey: _Journey
    ) -> tuple[BackendServer, Candidate] | Refusal:
        admitted = journey.admitted
        servers = {
            server.name: server
            for server in self._parts.knowledge.list_servers(
                admitted.service.name
            )
            if not server.leaving
        }
        fresh = [name for name in servers if name not in journey.tried] or list(
            servers
        )
        candidates = self._describe(journey, servers, fresh)
        placement = choose_server(tuple(candidates.values()))
        if placement is None:
            return Refusal(
                RefusalReason.no_server,
                journey.effect,
                'no server of the service is known',
                self._spread_retry(_LEAST_RETRY_SECONDS),
            )
        refusal = self._judge_wait(journey, placement)
        if refusal is not None:
            return refusal
        return servers[placement.server], candidates[placement.server]

    def _describe(
        self,
        journey: _Journey,
        servers: dict[str, BackendServer],
        fresh: list[str],
    ) -> dict[str, Candidate]:
        admitted = journey.admitted
        prompt = admitted.request.prompt
        home = ''
        if servers and prompt is not None and prompt.subject:
            home = choose_by_hash(prompt.subject, servers)
        return {
            name: self._parts.loads.make_candidate(
                servers[name],
                prompt,
                admitted.priority,
                near=servers[name].zone == self._parts.zone,
                home=name == home,
            )
            for name in fresh
        }

    def _judge_wait(
        self, journey: _Journey, placement: Placement
    ) -> Refusal | None:
        admitted = journey.admitted
        now = self._parts.clock.read_monotonic()
        objective = (
            admitted.request.received_at + admitted.route.objective_seconds
        )
        late = now + placement.start_seconds - objective
        if late <= 0 or journey.endings:
            return None
        return Refusal(
            RefusalReason.overloaded,
            journey.effect,
            f'an answer would begin in {placement.start_seconds:.2f} s',
            self._spread_retry(max(late, _LEAST_RETRY_SECONDS)),
        )

    async def _send(
        self, journey: _Journey, server: BackendServer, candidate: Candidate
    ) -> SendingResult:
        admitted = journey.admitted
        work = self._parts.loads.begin(server, candidate, admitted.priority)

        def begun() -> None:
            self._parts.loads.note_started(
                server, work, admitted.request.prompt
            )
            self._note_first(journey)

        sink = (
            StreamSink(
                journey.caller, self._parts.dialect, journey.progress, begun
            )
            if admitted.route.kind is RouteKind.streaming
            else WholeSink(journey.caller, self._parts.dialect, begun)
        )
        journey.tried.append(server.name)
        journey.runs += 1
        try:
            outcome = await self._parts.sender.send(
                self._make_attempt(journey, server),
                sink,
                self._choose_first_deadline(journey),
            )
        finally:
            self._parts.loads.end(server, work)
        self._note_outcome(journey, server, outcome)
        return outcome

    def _make_attempt(
        self, journey: _Journey, server: BackendServer
    ) -> Attempt:
        admitted = journey.admitted
        return Attempt(
            admitted.request,
            server,
            admitted.deadline,
            workspace=admitted.workspace and admitted.workspace.name,
            priority=min(9, max(0, admitted.priority))
            if admitted.service.engine
            else None,
            last_event_id=journey.progress.last_event_id
            or admitted.request.last_event_id,
        )

    def _choose_first_deadline(self, journey: _Journey) -> float:
        route = journey.admitted.route
        if not route.repeatable or journey.runs >= route.max_attempts:
            return journey.admitted.deadline
        now = self._parts.clock.read_monotonic()
        patience = route.objective_seconds * _PATIENCE_OBJECTIVES
        return min(journey.admitted.deadline, now + patience)

    def _note_outcome(
        self, journey: _Journey, server: BackendServer, outcome: SendingResult
    ) -> None:
        GATEWAY_ATTEMPTS.labels(outcome.ending).inc()
        journey.endings.append(f'{server.name}:{outcome.ending}')
        if not outcome.may_have_run:
            journey.runs -= 1
        if outcome.ending is AttemptEnding.failed:
            journey.fallback = outcome.reply
        health = self._parts.loads.find_health(server)
        now = self._parts.clock.read_monotonic()
        if outcome.ending is AttemptEnding.completed:
            health.note_success()
        elif outcome.ending in _SILENT:
            health.note_silence(now)
        else:
            health.note_failure()
        if outcome.ending is not AttemptEnding.completed:
            _log.info(
                'Sending failed.',
                request_id=journey.admitted.request.attempt_id,
                server=server.name,
                ending=outcome.ending,
                detail=outcome.detail,
                events=journey.progress.events,
                failing=round(health.failing, 2),
            )

    def _decide_repeat(
        self, journey: _Journey, outcome: SendingResult
    ) -> Refusal | None:
        """Return None to send once more, else how the request ends."""
        route = journey.admitted.route
        verdict = 'allowed'
        if len(journey.endings) >= _MAX_SENDINGS:
            verdict = 'sendings'
        elif journey.runs and not route.repeatable:
            verdict = 'not_repeatable'
        elif outcome.may_have_run and journey.runs >= route.max_attempts:
            verdict = 'attempts'
        elif outcome.ending is not AttemptEnding.unreachable:
            now = self._parts.clock.read_monotonic()
            budget = self._find_repeats(journey)
            if not budget.take(self._parts.count_hosts(), now):
                verdict = 'budget'
        GATEWAY_REPEATS.labels(verdict).inc()
        if verdict == 'allowed':
            return None
        reason = (
            RefusalReason.overloaded
            if journey.effect is Effect.not_run
            else RefusalReason.outcome_unknown
        )
        return Refusal(
            reason,
            journey.effect,
            f'{outcome.detail}; not sent again: {verdict}',
            self._spread_retry(_LEAST_RETRY_SECONDS)
            if journey.effect is Effect.not_run
            else None,
        )

    def _conclude(self, journey: _Journey, refusal: Refusal) -> None:
        caller = journey.caller
        if caller.started:
            caller.cut()
            self._note_ended(journey, 'cut', refusal.detail)
            return
        if journey.fallback is not None:
            self._pass_on(journey.fallback, caller)
            self._note_ended(journey, 'answered', 'server_failed')
            return
        _write_refusal(
            self._parts.dialect,
            journey.admitted.request.attempt_id,
            caller,
            refusal,
        )
        self._note_ended(journey, 'refused', refusal.reason, refusal)

    def _pass_on(self, reply: Reply, caller: Caller) -> None:
        headers = self._parts.dialect.write_answer_headers(reply.head)
        headers['Content-Length'] = str(len(reply.body))
        caller.start(reply.head.status, headers)
        caller.write(reply.body)
        caller.finish()

    def _give_up(self, journey: _Journey) -> None:
        self._conclude(
            journey,
            Refusal(
                RefusalReason.deadline_passed,
                journey.effect,
                'the time for the request is over',
            ),
        )

    def _note_first(self, journey: _Journey) -> None:
        if journey.first_at is not None:
            return
        now = self._parts.clock.read_monotonic()
        journey.first_at = now
        GATEWAY_FIRST_EVENT.labels(journey.admitted.route.kind).observe(
            now - journey.admitted.request.received_at
        )

    def _note_ended(
        self,
        journey: _Journey,
        ending: str,
        reason: str,
        refusal: Refusal | None = None,
    ) -> None:
        admitted = journey.admitted
        GATEWAY_ENDINGS.labels(admitted.route.kind, ending, reason).inc()
        received = admitted.request.received_at
        now = self._parts.clock.read_monotonic()
        first = journey.first_at
        _log.info(
            'Request ended.',
            request_id=admitted.request.attempt_id,
            route=admitted.route.name,
            workspace=admitted.workspace.name if admitted.workspace else '',
            ending=ending,
            reason=reason,
            effect=journey.effect,
            detail=refusal.detail if refusal else '',
            sendings=','.join(journey.endings),
            events=journey.progress.events,
            first_ms=None if first is None else round((first - received) * 1e3),
            total_ms=round((now - received) * 1e3),
            revision=admitted.revision,
        )

    def _find_repeats(self, journey: _Journey) -> RepeatBudget:
        bounds = self._parts.bounds
        return self._repeats.setdefault(
            journey.admitted.service.name,
            RepeatBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_seconds,
            ),
        )

    def _spread_retry(self, seconds: float) -> float:
        return seconds * (1 + _RETRY_SPREAD * self._parts.random.random())

    def _get_revision(self) -> int:
        catalogue = self._parts.knowledge.catalogue
        return catalogue.revision if catalogue else 0


def _write_refusal(
    dialect: Dialect, attempt_id: str, caller: Caller, refusal: Refusal
) -> None:
    status, headers, body = dialect.write_refusal(refusal, attempt_id)
    caller.start(status, headers)
    caller.write(body)
    caller.finish()
