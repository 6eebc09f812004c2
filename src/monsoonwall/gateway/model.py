"""Describe what the platform's operators configure and its servers tell."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from types import MappingProxyType

DEFAULT_PRIORITY = 5


class RouteKind(StrEnum):
    """Name what may be repeated on a route."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True)
class Target:
    """Name a service that a route leads to, with its share of the requests."""

    service: str
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """Describe a route; a priority of 0 is the most urgent.

    ``objective_seconds`` is the time to the answer, of a stream to its first
    event, that callers are promised.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    key_exempt: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.streaming:
            return self.resumable
        return self.kind is RouteKind.idempotent


@dataclass(frozen=True)
class Engine:
    """Describe what all model engines of a service can do."""

    slots: int
    moves: bool = False


@dataclass(frozen=True)
class Scaling:
    """Bound how many servers each zone may have.

    ``spot_price`` is the part of the price that reclaimable ones cost, None
    if there are none; ``zone_prices`` compare the zones.
    """

    min_servers: int
    max_servers: int
    boot_seconds: float
    spot_price: float | None = None
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Service:
    """Describe the servers that answer the same requests."""

    name: str
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclass(frozen=True)
class Workspace:
    """Describe a customer: its keys and what it may send.

    ``rate`` and ``burst`` count tokens if ``counts_tokens``, else requests;
    a rate of 0 means no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    counts_tokens: bool = False
    plain_tokens: int = 0
    rate: float = 0
    burst: float = 0


@dataclass(frozen=True)
class Limits:
    """Bound what a caller may send."""

    max_body_bytes: int


@dataclass(frozen=True)
class Catalogue:
    """Hold one configuration; ``revision`` orders it among all others."""

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: Limits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix begins the path furthest."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._workspaces_by_key.get(key)

    @cached_property
    def _routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_measure_prefix, reverse=True):
            by_host.setdefault(route.host, []).append(route)
        return {host: tuple(routes) for host, routes in by_host.items()}

    @cached_property
    def _workspaces_by_key(self) -> Mapping[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces
            for key in workspace.keys
        }


NO_SERVICES: Mapping[str, Service] = MappingProxyType({})


def _measure_prefix(route: Route) -> int:
    return len(route.path_prefix)


@dataclass(frozen=True)
class BackendServer:
    """Describe a server as it registered itself; ``address`` is host:port.

    ``born`` tells two lives of one name apart.
    """

    name: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    leaving: bool = False
    spot: bool = False
    born: int = 0


class RolloutState(StrEnum):
    """Name how far a roll-out is."""

    under_way = 'under_way'
    done = 'done'
    withdrawn = 'withdrawn'


@dataclass(frozen=True)
class Rollout:
    """Describe an operator's order to bring a service to a version.

    ``order`` tells this order from others of the service, and ``state`` is
    what was last recorded of it.
    """

    name: str
    service: str
    version: str
    seconds: float
    order: str
    revision: int
    state: RolloutState | None = None


@dataclass(frozen=True)
class PromptPart:
    """Name a part of a prompt, which others may share, and its tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Describe the prompt of a model request."""

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared_prefix_id(self) -> str:
        """Return the last part that other requests share, or nothing."""
        shared = self.parts[:-1]
        return shared[-1].part_id if shared else ''


@dataclass(frozen=True)
class CallerRequest:
    """Hold what a caller asks, decoded; deadlines are monotonic seconds.

    ``passed_headers`` are those that the server gets unchanged.
    """

    attempt_id: str
    method: str
    target: str
    path: str
    host: str
    key: str
    received_at: float
    deadline: float
    passed_headers: tuple[tuple[str, str], ...]
    body: bytes
    prompt: Prompt | None = None
    last_event_id: str = ''

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompt and of the longest answer."""
        if self.prompt is None:
            return 0
        return self.prompt.input_tokens + self.prompt.output_tokens
