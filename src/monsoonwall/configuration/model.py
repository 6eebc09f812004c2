"""Define the numbered configuration that operators patch.

Times that end in ``_wall`` are Unix seconds. The classes are what a checked
document becomes; `monsoonwall.configuration.document` turns one into them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoonwall.pipeline.messages import Priority


class ServiceKind(StrEnum):
    """Tell model engines from plain HTTP services."""

    model = 'model'
    plain = 'plain'


@dataclass(frozen=True)
class LatencyTarget:
    """State the latency that 95 in 100 requests of a route are to have."""

    first_token_seconds: float = 0.44
    between_tokens_seconds: float = 0.067


@dataclass(frozen=True)
class Version:
    """Describe one backend server version of a service."""

    model: str = ''
    adapter: str = ''


@dataclass(frozen=True)
class Service:
    """Describe a service and the version that serves it outside of moves."""

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
    """Describe a customer: its key's SHA-256 and its limits."""

    api_key_sha256: str
    weight: float = 1
    requests_per_second: float = 50
    tokens_per_second: float = 5000


@dataclass(frozen=True)
class BackendServer:
    """Describe one backend server as operators declared it."""

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
    """Plan the move of a service's traffic to another version."""

    service: str
    from_version: str
    to_version: str
    begin_wall: float
    deadline_wall: float


@dataclass(frozen=True)
class Configuration:
    """Hold one numbered configuration."""

    number: int
    services: Mapping[str, Service] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    backend_servers: Mapping[str, BackendServer] = field(default_factory=dict)
    moves: Mapping[str, Move] = field(default_factory=dict)
