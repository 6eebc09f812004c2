"""Define the configuration, servers, roll-outs and requests of a gateway."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from types import MappingProxyType

from monsoonwall.decisions.server_limits import ColdStart

DEFAULT_PRIORITY = 5


class RouteKind(StrEnum):
    """Kind of the requests of a route; it decides whether they are retried."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True)
class Target:
    """A service behind a route, and its relative share of the requests."""

    service: str
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """How requests with a host and a path prefix are served, and by whom.

    A priority of 0 is the most urgent. ``objective_seconds`` is the latency
    objective: the time to the response, or to the first event of a stream.
    ``key_exempt`` routes need no API key. ``resumable`` streams may be
    continued by another attempt.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.streaming:
            return self.resumable
        return self.kind is RouteKind.idempotent


@dataclass(frozen=True)
class Engine:
    """Capabilities that all model engines of a service have.

    An engine runs up to ``slots`` requests at once. ``moves`` is true if runs
    can be moved between the engines.
    """

    slots: int
    moves: bool = False


@dataclass(frozen=True)
class Scaling:
    """Bounds of the number of servers in each zone, and their prices.

    ``spot_price`` is the price of a spot (reclaimable) server as a fraction of
    the on-demand price, None if the service has no spot servers.
    ``zone_prices`` are relative prices of the zones.
    """

    min_servers: int
    max_servers: int
    boot_seconds: float
    spot_price: float | None = None
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Service:
    """A group of servers that serve the same requests.

    Without ``cold_start``, its servers take full load from the start.
    """

    name: str
    engine: Engine | None = None
    scaling: Scaling | None = None
    cold_start: ColdStart | None = None


@dataclass(frozen=True)
class Workspace:
    """A customer: its API keys, priority and rate limit.

    ``rate`` (per second) and ``burst`` count tokens if ``counts_tokens`` is
    set, else requests; a rate of 0 means no limit. A request without a prompt
    counts as ``plain_tokens``.
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
    """Limits on the requests of callers."""

    max_body_bytes: int
    max_header_bytes: int = 65_536


@dataclass(frozen=True)
class Catalogue:
    """One configuration of the gateway.

    ``revision`` is the store's number, which increases with each change of any
    record; ``version`` is the number that operators give the configuration.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: Limits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to."""
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
    """A server as it registered itself; ``address`` is host:port.

    It runs up to ``slots`` requests at once. ``leaving`` servers get no new
    requests. ``born`` distinguishes incarnations of a server name; later ones
    have a higher number. ``spot`` servers may be reclaimed by the platform.
    ``cold_seconds`` is how long it stayed cold after it wrote its entry.
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
    cold_seconds: float = 0


class RolloutState(StrEnum):
    """State of a roll-out, as recorded for operators."""

    under_way = 'under_way'
    done = 'done'
    withdrawn = 'withdrawn'


@dataclass(frozen=True)
class Rollout:
    """An operator's order to roll out a version of a service.

    It has to end within ``seconds``. ``order`` identifies this order among
    those of the service; ``state`` is the last recorded one. ``revision`` and
    ``era`` are those of its record.
    """

    name: str
    service: str
    version: str
    seconds: float
    order: str
    revision: int
    state: RolloutState | None = None
    era: int = 0


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, which other prompts may share, and its length."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """The prompt of a model request."""

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def shared_prefix_id(self) -> str:
        """Return the identifier of the last shared part, or an empty string."""
        return self.shared_parts[-1].part_id if self.shared_parts else ''


@dataclass(frozen=True)
class CallerRequest:
    """A decoded request of a caller; times are monotonic seconds.

    ``attempt_id`` is the id that the caller gave the request. ``target`` is
    the request target with its query, ``path`` the path alone.
    ``passed_headers`` are forwarded to the server unchanged.
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
        """Return the tokens of the prompt and of the longest allowed output."""
        if self.prompt is None:
            return 0
        return self.prompt.input_tokens + self.prompt.output_tokens
