"""Decide whether a request may enter, and under which terms."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.decisions.allowances import Allowance, Limit, choose_share
from monsoonwall.decisions.hashing import spread_text
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.model import (
    CallerRequest,
    Catalogue,
    Route,
    Service,
    Workspace,
)
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason

DEMAND_KIND: Final = 'gateway-demand'
# Comes back to another host, which may know more.
_UNREADY_SECONDS: Final = 0.3
# Part of the tolerance beyond the limits that hosts use for uneven requests.
_SLACK_PART: Final = 0.3

_log = make_logger('entrance')


@dataclass(frozen=True)
class Admitted:
    """Hold the terms under which a request runs; the deadline is monotonic.

    ``granted`` is what was taken from the workspace's limit.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    priority: int
    deadline: float
    revision: int
    granted: float = 0


class Entrance:
    """Check route, key and limit of each request."""

    def __init__(
        self,
        knowledge: Knowledge,
        board: Board,
        clock: Clock,
        settings: GatewaySettings,
        count_hosts: Callable[[], int],
    ) -> None:
        self._knowledge = knowledge
        self._board = board
        self._clock = clock
        self._own_name = settings.host_name
        self._first_start = settings.first_start
        self._bounds = settings.bounds
        self._count_hosts = count_hosts
        self._allowances: dict[str, Allowance] = {}
        self._told: Counter[str] = Counter()
        self._peer_demands: tuple[Counter[str], ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in force, or 0."""
        catalogue = self._knowledge.catalogue
        return catalogue.revision if catalogue else 0

    def admit(self, request: CallerRequest) -> Result[Admitted, Refusal]:
        """Return the terms of a request, or why it does not enter."""
        catalogue = self._knowledge.catalogue
        if catalogue is None:
            return _refuse(
                RefusalReason.not_ready,
                'this host knows no configuration yet',
                _UNREADY_SECONDS,
            )
        route = catalogue.find_route(request.host, request.path)
        if route is None:
            return _refuse(RefusalReason.unknown_route, 'no route matches')
        workspace = catalogue.find_workspace(request.key)
        if workspace is None and _needs_key(catalogue, route):
            return _refuse(RefusalReason.unauthorized, 'the key is not known')
        if route.key_exempt:
            workspace = None
        service = _choose_service(catalogue, route, request.attempt_id)
        if service is None:
            return _refuse(
                RefusalReason.no_server, 'the service is not configured'
            )
        return self._limit(
            Admitted(
                request,
                route,
                service,
                workspace,
                _choose_priority(route, workspace),
                min(
                    request.deadline,
                    request.received_at + route.timeout_seconds,
                ),
                catalogue.revision,
            )
        )

    def give_back(self, admitted: Admitted) -> None:
        """Take in that an admitted request has not run."""
        if admitted.granted and admitted.workspace is not None:
            self._allowances[admitted.workspace.name].give_back(
                admitted.granted
            )

    def exchange_demand(self) -> None:
        """Tell the other hosts of the demand here and hear theirs."""
        now = self._clock.read_monotonic()
        demand = {
            name: round(allowance.measure_demand(now))
            for name, allowance in self._allowances.items()
        }
        self._told = Counter(demand)
        self._board.publish_entry(DEMAND_KIND, '', msgpack.encode(demand))
        self._peer_demands = tuple(
            _decode_demand(entry.payload)
            for entry in self._board.read_entries(DEMAND_KIND)
            if entry.origin != self._own_name
        )

    def _limit(self, admitted: Admitted) -> Result[Admitted, Refusal]:
        workspace = admitted.workspace
        if workspace is None or workspace.rate <= 0:
            return Success(admitted)
        now = self._clock.read_monotonic()
        units = _count_units(admitted.request, workspace)
        allowance = self._allowances.setdefault(
            workspace.name, Allowance(self._first_start)
        )
        share = choose_share(
            self._told[workspace.name],
            tuple(demand[workspace.name] for demand in self._peer_demands),
            self._count_hosts(),
        )
        limit = self._make_limit(workspace, share)
        wait = allowance.take(units, limit, now)
        if wait > 0:
            return _refuse(
                RefusalReason.workspace_limit,
                f'workspace {workspace.name} is over its limit',
                wait,
            )
        return Success(replace(admitted, granted=units))

    def _make_limit(self, workspace: Workspace, share: float) -> Limit:
        bounds = self._bounds
        window = workspace.rate * bounds.limit_window_seconds + workspace.burst
        slack = window * bounds.limit_overage
        if workspace.counts_tokens:
            slack += bounds.limit_slack_tokens
        even = _SLACK_PART * slack / max(1, self._count_hosts())
        return Limit(workspace.rate * share, workspace.burst * share + even)


def _refuse(
    reason: RefusalReason, detail: str, retry_after: float | None = None
) -> Result[Admitted, Refusal]:
    return Failure(Refusal(reason, Effect.not_run, detail, retry_after))


def _needs_key(catalogue: Catalogue, route: Route) -> bool:
    return bool(catalogue.workspaces) and not route.key_exempt


def _choose_priority(route: Route, workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _choose_service(
    catalogue: Catalogue, route: Route, attempt_id: str
) -> Service | None:
    total = sum(target.weight for target in route.targets)
    place = spread_text(attempt_id) * total
    for target in route.targets:
        place -= target.weight
        if place < 0:
            return catalogue.services.get(target.service)
    return None


def _count_units(request: CallerRequest, workspace: Workspace) -> float:
    if not workspace.counts_tokens:
        return 1
    if request.prompt is None:
        return workspace.plain_tokens
    return request.tokens


def _decode_demand(payload: bytes) -> Counter[str]:
    try:
        return Counter(msgpack.decode(payload, type=dict[str, int]))
    except (DecodeError, ValidationError) as error:
        _log.warning('Damaged demand.', reason=str(error))
        return Counter()
