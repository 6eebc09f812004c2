"""Find the server for a request, or tell why there is none for it."""

from collections.abc import Callable, Mapping
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
from monsoonwall.gateway.journeys import Journey
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.loads import LoadBook
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.rollouts import RolloutBook
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason

_LEAST_RETRY_SECONDS: Final = 0.2
_RETRY_SPREAD: Final = 0.5


@dataclass(frozen=True)
class Place:
    """Name the chosen server and how it looked."""

    server: BackendServer
    candidate: Candidate


class Placer:
    """Choose among the servers that are known."""

    def __init__(
        self,
        knowledge: Knowledge,
        loads: LoadBook,
        rollouts: RolloutBook,
        zone: str,
        clock: Clock,
        random: Random,
        count_hosts: Callable[[], int],
    ) -> None:
        self._knowledge = knowledge
        self._loads = loads
        self._rollouts = rollouts
        self._zone = zone
        self._clock = clock
        self._random = random
        self._count_hosts = count_hosts

    def choose(self, journey: Journey) -> Place | Refusal:
        """Return the place for the next sending, or why there is none."""
        known = self._list_servers(journey)
        servers = self._drop_backing_off(known)
        candidates = self._describe(journey, servers)
        placement = choose_server(tuple(candidates.values()), journey.suspect)
        if placement is None:
            return self._refuse_without_server(journey, known)
        refusal = self._judge_wait(journey, placement)
        if refusal is not None:
            return refusal
        return Place(servers[placement.server], candidates[placement.server])

    def choose_other(self, journey: Journey, left: str) -> Place | None:
        """Return where a run that has to leave a server goes on."""
        servers = self._drop_backing_off(self._list_servers(journey))
        servers.pop(left, None)
        candidates = self._describe(journey, servers)
        placement = choose_server(tuple(candidates.values()), journey.suspect)
        if placement is None:
            return None
        return Place(servers[placement.server], candidates[placement.server])

    def refuse_repeat(self, journey: Journey, detail: str) -> Refusal:
        """Return how a request ends that is not sent again."""
        if journey.effect is Effect.not_run:
            return Refusal(
                RefusalReason.overloaded,
                Effect.not_run,
                detail,
                self._spread_retry(_LEAST_RETRY_SECONDS),
            )
        return Refusal(RefusalReason.outcome_unknown, journey.effect, detail)

    def _spread_retry(self, seconds: float) -> float:
        """Return a time to come back, so that callers do not all at once."""
        return seconds * (1 + _RETRY_SPREAD * self._random.random())

    def _list_servers(self, journey: Journey) -> dict[str, BackendServer]:
        servers = {
            server.name: server
            for server in self._knowledge.list_servers(
                journey.admitted.service.name
            )
            if not server.leaving
        }
        return dict(self._rollouts.filter_servers(journey, servers))

    def _drop_backing_off(
        self, servers: Mapping[str, BackendServer]
    ) -> dict[str, BackendServer]:
        """Return the servers that did not ask to be left alone for now."""
        now = self._clock.read_monotonic()
        return {
            name: server
            for name, server in servers.items()
            if not self._loads.find_health(server).is_backing_off(now)
        }

    def _refuse_without_server(
        self, journey: Journey, known: Mapping[str, BackendServer]
    ) -> Refusal:
        if not known:
            return Refusal(
                RefusalReason.no_server,
                journey.effect,
                'no server of the service is known',
                self._spread_retry(_LEAST_RETRY_SECONDS),
            )
        first = min(
            self._loads.find_health(server).backoff_until
            for server in known.values()
        )
        wait = first - self._clock.read_monotonic()
        return Refusal(
            RefusalReason.overloaded,
            journey.effect,
            f'all servers ask to be left alone for {wait:.2f} s',
            self._spread_retry(max(wait, _LEAST_RETRY_SECONDS)),
        )

    def _describe(
        self, journey: Journey, servers: Mapping[str, BackendServer]
    ) -> dict[str, Candidate]:
        admitted = journey.admitted
        prompt = admitted.request.prompt
        home = ''
        if servers and prompt is not None and prompt.subject:
            home = choose_by_hash(prompt.subject, servers)
        fresh = [name for name in servers if name not in journey.tried]
        looked_at = set(
            sample_servers(fresh or servers, self._count_hosts(), self._random)
        )
        if home in fresh:
            looked_at.add(home)
        return {
            name: self._loads.make_candidate(
                servers[name],
                prompt,
                admitted.priority,
                same_zone=servers[name].zone == self._zone,
                home=name == home,
            )
            for name in looked_at
        }

    def _judge_wait(
        self, journey: Journey, placement: Placement
    ) -> Refusal | None:
        admitted = journey.admitted
        objective = (
            admitted.request.received_at + admitted.route.objective_seconds
        )
        now = self._clock.read_monotonic()
        late = now + placement.start_seconds - objective
        if late <= 0 or journey.endings:
            return None
        return Refusal(
            RefusalReason.overloaded,
            journey.effect,
            f'an answer would begin in {placement.start_seconds:.2f} s',
            self._spread_retry(max(late, _LEAST_RETRY_SECONDS)),
        )
