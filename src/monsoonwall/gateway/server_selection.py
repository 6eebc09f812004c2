"""Select the backend server for each attempt, or refuse the request."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.hashing import choose_by_hash
from monsoonwall.decisions.placement import (
    Candidate,
    Placement,
    choose_server,
    sample_servers,
)
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.server_limits import ServerLimits
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason

# The shortest time that a refused caller is told to wait before it retries.
_MIN_RETRY_SECONDS: Final = 0.2
# Up to this fraction of a retry time is added to it.
_RETRY_JITTER: Final = 0.5


@dataclass(frozen=True)
class SelectedServer:
    """Hold the selected server and the figures that it was selected by."""

    server: BackendServer
    candidate: Candidate


class ServerSelector:
    """Select among the known servers of a service."""

    def __init__(
        self,
        record_cache: RecordCache,
        loads: LoadTracker,
        rollouts: RolloutController,
        limits: ServerLimits,
        fleet: FleetView,
        clock: Clock,
        random: Random,
    ) -> None:
        self._record_cache = record_cache
        self._loads = loads
        self._rollouts = rollouts
        self._limits = limits
        self._fleet = fleet
        self._clock = clock
        self._random = random

    def choose(self, state: RequestState) -> SelectedServer | Refusal:
        """Return the server for the next attempt, or a refusal."""
        known = self._list_servers(state)
        servers = self._exclude_unavailable(known)
        warm = {
            name: server
            for name, server in servers.items()
            if not self._limits.is_cold(server)
        }
        selected = self._choose_among(state, warm, known)
        if isinstance(selected, Refusal) and len(warm) < len(servers):
            selected = self._choose_among(state, servers, known)
        if not isinstance(selected, Refusal):
            self._limits.spend(selected.server)
        return selected

    def choose_move_target(
        self, state: RequestState, source: str
    ) -> SelectedServer | None:
        """Return the server to which a run moves from its ``source`` server.

        Call ``record_move`` when the run is sent on.
        """
        servers = self._exclude_unavailable(self._list_servers(state))
        servers.pop(source, None)
        candidates = self._make_candidates(state, servers)
        placement = choose_server(tuple(candidates.values()), state.suspect)
        if placement is None:
            return None
        return SelectedServer(
            servers[placement.server], candidates[placement.server]
        )

    def record_move(self, server: BackendServer) -> None:
        """Count a run that is sent on to a server towards its limit."""
        self._limits.spend(server)

    def make_final_refusal(self, state: RequestState, detail: str) -> Refusal:
        """Return the refusal of a request that is not retried."""
        if state.effect is Effect.not_run:
            return Refusal(
                RefusalReason.overloaded,
                Effect.not_run,
                detail,
                self._jitter_retry(_MIN_RETRY_SECONDS),
            )
        return Refusal(RefusalReason.outcome_unknown, state.effect, detail)

    def is_evacuated(self, server: BackendServer) -> bool:
        """Return whether a server is in a zone that gets no requests."""
        return server.zone in self._record_cache.evacuations.zones

    def _choose_among(
        self,
        state: RequestState,
        servers: Mapping[str, BackendServer],
        known: Mapping[str, BackendServer],
    ) -> SelectedServer | Refusal:
        candidates = self._make_candidates(state, servers)
        placement = choose_server(tuple(candidates.values()), state.suspect)
        if placement is None:
            return self._refuse_without_server(state, known)
        return self._refuse_long_wait(state, placement) or SelectedServer(
            servers[placement.server], candidates[placement.server]
        )

    def _jitter_retry(self, seconds: float) -> float:
        """Return a retry time with jitter, so that callers spread out."""
        return seconds * (1 + _RETRY_JITTER * self._random.random())

    def _list_servers(self, state: RequestState) -> dict[str, BackendServer]:
        servers = {
            server.name: server
            for server in self._record_cache.list_servers(
                state.admitted.service.name
            )
            if not server.leaving and not self.is_evacuated(server)
        }
        return dict(self._rollouts.filter_servers(state, servers))

    def _exclude_unavailable(
        self, servers: Mapping[str, BackendServer]
    ) -> dict[str, BackendServer]:
        """Return the servers that this host may send a request now.

        The others have asked for backoff, or their limits are used up.
        """
        now = self._clock.read_monotonic()
        return {
            name: server
            for name, server in servers.items()
            if not self._loads.find_health(server).is_backing_off(now)
            and self._limits.can_send(server)
            and self._loads.has_room(server)
        }

    def _refuse_without_server(
        self, state: RequestState, known: Mapping[str, BackendServer]
    ) -> Refusal:
        if not known:
            evacuated = ', '.join(sorted(self._record_cache.evacuations.zones))
            return Refusal(
                RefusalReason.no_server,
                state.effect,
                f'zones are evacuated: {evacuated}'
                if evacuated
                else 'no server of the service is known',
                self._jitter_retry(_MIN_RETRY_SECONDS),
            )
        wait = min(map(self._estimate_wait, known.values()))
        cold = sum(map(self._limits.is_cold, known.values()))
        return Refusal(
            RefusalReason.overloaded,
            state.effect,
            f'no server accepts a request from this host for {wait:.2f} s, '
            f'{cold} of {len(known)} are cold',
            self._jitter_retry(max(wait, _MIN_RETRY_SECONDS)),
        )

    def _estimate_wait(self, server: BackendServer) -> float:
        """Return the seconds until a server may be sent a request."""
        now = self._clock.read_monotonic()
        backoff_until = self._loads.find_health(server).backoff_until
        return max(backoff_until - now, self._limits.estimate_wait(server))

    def _make_candidates(
        self, state: RequestState, servers: Mapping[str, BackendServer]
    ) -> dict[str, Candidate]:
        admitted = state.admitted
        prompt = admitted.request.prompt
        home = ''
        if servers and prompt is not None and prompt.shared_prefix_id:
            home = choose_by_hash(prompt.shared_prefix_id, servers)
        untried = [name for name in servers if name not in state.tried_servers]
        sampled = set(
            sample_servers(
                untried or servers, self._fleet.count_hosts(), self._random
            )
        )
        if home in untried:
            sampled.add(home)
        return {
            name: self._loads.make_candidate(
                servers[name],
                prompt,
                admitted.priority,
                same_zone=servers[name].zone == self._fleet.own_zone,
                home=name == home,
            )
            for name in sampled
        }

    def _refuse_long_wait(
        self, state: RequestState, placement: Placement
    ) -> Refusal | None:
        admitted = state.admitted
        latest_start = (
            admitted.request.received_at + admitted.route.objective_seconds
        )
        now = self._clock.read_monotonic()
        excess_seconds = now + placement.start_seconds - latest_start
        if excess_seconds <= 0 or state.attempt_endings:
            return None
        return Refusal(
            RefusalReason.overloaded,
            state.effect,
            f'an answer would begin in {placement.start_seconds:.2f} s',
            self._jitter_retry(max(excess_seconds, _MIN_RETRY_SECONDS)),
        )
