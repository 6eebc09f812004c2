"""Choose backend servers by cost, based on this host's view of them."""

from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from monsoonwall.configuration.model import BackendServer, LatencyTarget
from monsoonwall.decisions.cache import PromptKeys
from monsoonwall.decisions.crashing_requests import Suspicion
from monsoonwall.decisions.hashing import hash_text
from monsoonwall.decisions.load import AttemptLoad
from monsoonwall.decisions.routing import (
    Candidate,
    CostWeights,
    RoutingRequest,
    choose_affinity_keys,
    choose_candidate,
    choose_isolated,
    choose_shortlist,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
    ServerChoice,
)
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.server_view import ServerView
from monsoonwall.pipeline.stages import Observer, ServerRouting

_RETRY_AFTER_SECONDS: Final = 1.0
_REPORT_GRACE_SECONDS: Final = 5.0
_FAILED_ENDINGS: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.cut,
    )
)


class CostBasedRouting(ServerRouting, Observer):
    """Choose the server with the lowest cost and learn from attempts."""

    def __init__(
        self,
        server_view: ServerView,
        screening: SuspectScreening,
        zone: str,
        weights: CostWeights | None = None,
    ) -> None:
        self._server_view = server_view
        self._screening = screening
        self._zone = zone
        self._weights = weights or CostWeights()
        self._open_attempts: dict[tuple[str, str], _OpenAttempt] = {}

    def choose_server(
        self,
        call: Call,
        version: str,
        excluded: frozenset[str],
        isolated: bool,
        now: float,
    ) -> Result[ServerChoice, Refusal]:
        """Return the chosen server, or the refusal if there is none."""
        suspicion = self._screening.classify(call.content_key)
        if suspicion is Suspicion.convicted:
            effect = _get_refusal_effect(call, excluded)
            return Failure(self._screening.refuse(call, effect))
        isolate = isolated or suspicion is Suspicion.suspect
        candidates = self._list_candidates(call, version, excluded, now)
        if not candidates:
            return Failure(_refuse_no_server(call, excluded))
        routing_request = self._make_routing_request(call, candidates)
        candidate = (
            choose_isolated(candidates, routing_request)
            if isolate
            else choose_candidate(candidates, routing_request, self._weights)
        )
        return Success(
            ServerChoice(candidate.server, candidate.zone, version, isolate)
        )

    def record_dispatch(
        self, call: Call, choice: ServerChoice, now: float
    ) -> None:
        """Count work that the server's load report does not show yet."""
        server_view = self._server_view
        prompt = server_view.find_prompt(call)
        cache = server_view.caches.find(choice.server)
        expected_cached = cache.estimate_cached(prompt.prefix)
        cache.add_prompt(prompt.prefix)
        work = AttemptLoad(
            max(0, prompt.words - int(expected_cached)),
            call.priority is Priority.interactive,
            choice.isolated,
        )
        server_view.loads.find(choice.server).record_start(work, now)
        server_view.count_dispatch(call.service, choice.version, now)
        # A call that is being moved is briefly open on two servers.
        key = (call.request_id, choice.server)
        self._close(key, now)
        self._open_attempts[key] = _OpenAttempt(
            work, expected_cached, call.deadline + _REPORT_GRACE_SECONDS
        )

    def observe(self, record: AttemptRecord) -> None:
        """Update load, availability and cache estimates from an attempt."""
        server = record.choice.server
        open_attempt = self._close(
            (record.call.request_id, server), record.ended
        )
        availability = self._server_view.availability
        if record.ending in _FAILED_ENDINGS:
            availability.record_failure(server, record.ended)
        elif record.ending is AttemptEnding.completed:
            availability.record_response(server)
        if record.first_token_at is None:
            return
        prefix = self._server_view.find_prompt(record.call).prefix
        self._server_view.caches.find(server).update_trust(
            prefix,
            open_attempt.expected_cached if open_attempt else 0,
            record.cached_tokens,
        )
        if record.ending is AttemptEnding.completed:
            self._server_view.loads.find(server).update_rates(
                record.prompt_tokens - record.cached_tokens,
                record.first_token_at - record.started,
                record.ended - record.started,
            )

    def close_overdue_attempts(self, now: float) -> None:
        """Close attempts whose end was not reported in time."""
        overdue = [
            key
            for key, open_attempt in self._open_attempts.items()
            if open_attempt.deadline <= now
        ]
        for key in overdue:
            self._close(key, now)

    def _close(self, key: tuple[str, str], now: float) -> '_OpenAttempt | None':
        open_attempt = self._open_attempts.pop(key, None)
        if open_attempt is not None:
            self._server_view.loads.find(key[1]).record_end(
                open_attempt.work, now
            )
        return open_attempt

    def _list_candidates(
        self, call: Call, version: str, excluded: frozenset[str], now: float
    ) -> list[Candidate]:
        server_view = self._server_view
        usable = server_view.availability.filter_usable(
            (
                name
                for name in server_view.list_servers(call.service, version)
                if name not in excluded
            ),
            now,
        )
        prefix = server_view.find_prompt(call).prefix
        affinities = choose_affinity_keys(prefix.keys, call.request_id)
        servers = server_view.configuration.backend_servers
        return [
            self._describe_candidate(name, servers[name], prefix, now)
            for name in choose_shortlist(usable, _make_seed(call), affinities)
        ]

    def _describe_candidate(
        self,
        name: str,
        server: BackendServer,
        prefix: PromptKeys,
        now: float,
    ) -> Candidate:
        return Candidate(
            name,
            server.zone,
            server.price_per_hour,
            self._server_view.caches.find(name).estimate_cached(prefix),
            self._server_view.loads.find(name).estimate(now),
        )

    def _make_routing_request(
        self, call: Call, candidates: list[Candidate]
    ) -> RoutingRequest:
        route = self._server_view.configuration.routes.get(call.route)
        target = route.latency_target if route else LatencyTarget()
        return RoutingRequest(
            self._server_view.find_prompt(call).words,
            call.priority is Priority.interactive,
            target.first_token_seconds,
            self._zone,
            _make_seed(call),
            call.content_key,
            max(candidate.price_per_hour for candidate in candidates),
        )


@dataclass(frozen=True)
class _OpenAttempt:
    """Hold what was added for an attempt, to subtract it at its end."""

    work: AttemptLoad
    expected_cached: float
    deadline: float


def _make_seed(call: Call) -> int:
    return hash_text(call.request_id)


def _get_refusal_effect(call: Call, excluded: frozenset[str]) -> Effect:
    # A call that is not idempotent is retried only if it certainly did not
    # run. Any other call may have run on an excluded server.
    if excluded and call.idempotent:
        return Effect.unknown
    return Effect.not_run


def _refuse_no_server(call: Call, excluded: frozenset[str]) -> Refusal:
    return Refusal(
        RefusalReason.no_server,
        _get_refusal_effect(call, excluded),
        'no backend server of this version can take the request now',
        _RETRY_AFTER_SECONDS,
    )
