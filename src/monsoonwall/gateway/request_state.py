"""Track the state of one request, and record it in logs and metrics."""

from dataclasses import dataclass, field
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.health import ServerHealth
from monsoonwall.gateway.admission import AdmittedRequest
from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.response_writers import StreamProgress
from monsoonwall.gateway.sending import AttemptResult
from monsoonwall.logs import make_logger
from monsoonwall.metrics import (
    GATEWAY_ATTEMPTS,
    GATEWAY_FIRST_EVENT,
    GATEWAY_REQUESTS,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Effect,
    Refusal,
    ServerChoice,
)
from monsoonwall.transport.messages import Reply

_MILLISECONDS_PER_SECOND: Final = 1000
_FAILURE_RATE_DIGITS: Final = 2

_log = make_logger('request')


@dataclass
class RequestState:
    """Hold the state of one request across its attempts.

    ``possible_runs`` counts the attempts that a server may have executed;
    ``tried_servers`` names the servers of all attempts, and ``used_channels``
    holds the serials of their channels that are open. ``uses_new_version``
    tells whether a roll-out assigns the request to the new version; it is
    None until a roll-out has been consulted. ``suspect`` tells whether servers
    have crashed while running the same content. ``attempt_endings`` lists
    each ended attempt as ``server:ending``. ``failure_response`` is the latest
    error response of a server; ``first_response_at`` is the monotonic time at
    which a response first started.
    """

    admitted: AdmittedRequest
    caller: Caller
    progress: StreamProgress = field(default_factory=StreamProgress)
    tried_servers: list[str] = field(default_factory=list)
    used_channels: set[int] = field(default_factory=set)
    attempt_endings: list[str] = field(default_factory=list)
    possible_runs: int = 0
    first_response_at: float | None = None
    uses_new_version: bool | None = None
    failure_response: Reply | None = None
    suspect: bool = False

    @property
    def effect(self) -> Effect:
        """Return whether the request has run, as far as known."""
        if self.failure_response is not None:
            return Effect.run
        return Effect.unknown if self.possible_runs else Effect.not_run

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave the request."""
        return self.admitted.request.attempt_id

    def make_attempt_record(
        self,
        server: BackendServer,
        outcome: AttemptResult,
        sent_at: float,
        ended_at: float,
    ) -> AttemptRecord:
        """Return the record of an ended attempt; the times are monotonic."""
        first_response_at = self.first_response_at
        if first_response_at is not None and first_response_at < sent_at:
            first_response_at = None
        return AttemptRecord(
            call=self.admitted.call,
            attempt=len(self.attempt_endings),
            choice=ServerChoice(
                server.name, server.zone, server.version, self.suspect
            ),
            started=sent_at,
            first_token_at=first_response_at,
            ended=ended_at,
            tokens=self.progress.events,
            prompt_tokens=0,
            cached_tokens=0,
            ending=outcome.ending,
        )


class RequestRecorder:
    """Log attempts and requests, and count how they ended."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def record_refusal(
        self, request_id: str, refusal: Refusal, revision: int
    ) -> None:
        """Record a request that was not admitted."""
        GATEWAY_REQUESTS.labels('unknown', 'refused', refusal.reason).inc()
        _log.info(
            'Request refused at entrance.',
            request_id=request_id,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after=refusal.retry_after,
            revision=revision,
        )

    def record_first_response(self, state: RequestState) -> None:
        """Record that a response started, if it is the request's first."""
        if state.first_response_at is not None:
            return
        now = self._clock.read_monotonic()
        state.first_response_at = now
        GATEWAY_FIRST_EVENT.labels(state.admitted.route.kind).observe(
            now - state.admitted.request.received_at
        )

    def record_attempt(
        self,
        state: RequestState,
        server: BackendServer,
        outcome: AttemptResult,
        health: ServerHealth,
    ) -> None:
        """Record how an attempt ended."""
        GATEWAY_ATTEMPTS.labels(outcome.ending).inc()
        state.attempt_endings.append(f'{server.name}:{outcome.ending}')
        if outcome.ending is not AttemptEnding.completed:
            _log.info(
                'Sending failed.',
                request_id=state.request_id,
                content=state.admitted.call.content_key,
                parts=state.admitted.call.part_keys,
                server=server.name,
                born=server.born,
                ending=outcome.ending,
                detail=outcome.detail,
                events=state.progress.events,
                failing=round(health.failing, _FAILURE_RATE_DIGITS),
            )

    def record_end(
        self, state: RequestState, ending: str, reason: str, detail: str = ''
    ) -> None:
        """Record how a request ended."""
        admitted = state.admitted
        GATEWAY_REQUESTS.labels(admitted.route.kind, ending, reason).inc()
        _log.info(
            'Request ended.',
            request_id=state.request_id,
            content=admitted.call.content_key,
            route=admitted.route.name,
            workspace=admitted.workspace.name if admitted.workspace else '',
            ending=ending,
            reason=reason,
            effect=state.effect,
            detail=detail,
            sendings=','.join(state.attempt_endings),
            events=state.progress.events,
            first_ms=self._measure_ms(state, state.first_response_at),
            total_ms=self._measure_ms(state, self._clock.read_monotonic()),
            revision=admitted.revision,
        )

    def _measure_ms(
        self, state: RequestState, moment: float | None
    ) -> int | None:
        if moment is None:
            return None
        received = state.admitted.request.received_at
        return round((moment - received) * _MILLISECONDS_PER_SECOND)
