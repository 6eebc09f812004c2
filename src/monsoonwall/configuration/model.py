"""Define the numbered configuration that operators patch.

Times whose names end in ``_wall`` are Unix seconds.
`monsoonwall.configuration.document` converts a checked document into these
classes.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoonwall.pipeline.messages import Priority


class ServiceKind(StrEnum):
    """Distinguish model engines from plain HTTP services."""

    model = 'model'
    plain = 'plain'


@dataclass(frozen=True)
class LatencyTarget:
    """Define the 95th percentile latencies to aim for on a route."""

    first_token_seconds: float = 0.44
    between_tokens_seconds: float = 0.067


@dataclass(frozen=True)
class Version:
    """Describe a version of a service that backend servers can run."""

    model: str = ''
    adapter: str = ''


@dataclass(frozen=True)
class Service:
    """Describe a service.

    ``active_version`` serves all its traffic while no move is under way.
    """

    kind: ServiceKind
    versions: Mapping[str, Version]
    active_version: str


@dataclass(frozen=True)
class Route:
    """Map a caller's request to a service.

    A model route is named by the ``model`` field of a completion; a plain
    route is matched by its method and path prefix below the service.
    """

    service: str
    priority: Priority = Priority.interactive
    idempotent: bool = True
    method: str = 'POST'
    path_prefix: str = ''
    timeout_seconds: float = 60
    latency_target: LatencyTarget = LatencyTarget()


@dataclass(frozen=True)
class Workspace:
    """Describe a customer: the SHA-256 of its API key, and its limits.

    ``weight`` sets its share of a busy service, relative to other workspaces.
    """

    api_key_sha256: str
    weight: float = 1
    requests_per_second: float = 50
    tokens_per_second: float = 5000


@dataclass(frozen=True)
class BackendServer:
    """Describe a backend server as declared by the operators."""

    service: str
    version: str
    zone: str
    address: str
    machine_class: str = 'standard'
    reclaimable: bool = True
    price_per_hour: float = 1
    checks_orders: bool = True


@dataclass(frozen=True)
class Move:
    """Describe a planned move of a service's traffic to another version."""

    service: str
    from_version: str
    to_version: str
    begin_wall: float
    deadline_wall: float


@dataclass(frozen=True)
class Configuration:
    """Hold a complete configuration and its number."""

    number: int
    services: Mapping[str, Service] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    backend_servers: Mapping[str, BackendServer] = field(default_factory=dict)
    moves: Mapping[str, Move] = field(default_factory=dict)
