"""Decode the records in the platform's store.

Operators write configurations and roll-outs, servers write their entries.
"""

from typing import Final

from msgspec import Struct, field, json
from returns.pipeline import is_successful

from monsoonwall.decisions.server_limits import ColdStart
from monsoonwall.decoding import DECODE_ERRORS, Count, is_port
from monsoonwall.gateway.model import (
    BackendServer,
    Catalogue,
    Engine,
    Limits,
    Rollout,
    Route,
    RouteKind,
    Scaling,
    Service,
    Target,
    Workspace,
)
from monsoonwall.gateway.records import Record, RecordCodec
from monsoonwall.logs import make_logger
from monsoonwall.platform.rollouts import decode_rollout

_MILLISECONDS_PER_SECOND: Final = 1000
_READY: Final = 'ready'
_DRAINING: Final = 'draining'
_TOKEN_UNIT: Final = 'token_count'

_log = make_logger('platform')


class _WeightedService(Struct):
    service: str
    weight: float = 1


class _Route(Struct):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_latency_ms: float
    priority: int = 5
    # A route has either one service, or several with weights in ``backends``.
    service: str = ''
    backends: list[_WeightedService] = field(default_factory=list)
    max_attempts: int = 1
    auth_exempt: bool = False
    resumable: bool = False


class _Engine(Struct):
    slots: int
    moves: bool = False


class _Scaling(Struct):
    # Minimum and maximum number of servers in each zone.
    min: int
    max: int
    boot_s: float = 0
    spot_price: float | None = None
    # Price of a server per second, by zone. Spot servers cost ``spot_price``
    # times as much.
    zone_prices: dict[str, float] = field(default_factory=dict)


class _Service(Struct):
    name: str
    engine: _Engine | None = None
    scaling: _Scaling | None = None
    # How long a server is cold after its start, and how many requests it takes
    # from all hosts together while it is cold.
    cold_start_s: float = 0
    cold_per_s: float = 0


class _Tenant(Struct):
    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None
    unit: str = ''
    # Tokens that a request without a prompt counts as, if the unit is tokens.
    plain_tokens: int = 0
    rate_per_s: float = 0
    burst: float = 0


class _Limits(Struct):
    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 65_536


class _Configuration(Struct):
    version: int
    routes: list[_Route] = field(default_factory=list)
    services: list[_Service] = field(default_factory=list)
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] = field(default_factory=list)


class _Server(Struct):
    service: str
    address: str
    zone: str
    state: str
    version: str = ''
    slots: Count = 1
    # True if the cloud may reclaim the server, in exchange for a lower price.
    spot: bool = False
    # Start time in Unix milliseconds. Distinguishes incarnations of the server
    # that have the same name.
    born: Count = 0
    cold_remaining_ms: float = 0


class PlatformCodec(RecordCodec):
    """Decode records; malformed ones are decoded as None."""

    def decode_catalogue(self, record: Record) -> Catalogue | None:
        """Decode a configuration."""
        try:
            spec = json.decode(record.content or b'', type=_Configuration)
        except DECODE_ERRORS as error:
            _log.warning(
                'Cannot decode configuration.',
                revision=record.revision,
                reason=str(error),
            )
            return None
        return _make_catalogue(record.revision, spec)

    def decode_server(self, record: Record) -> BackendServer | None:
        """Decode the entry of a server."""
        try:
            spec = json.decode(record.content or b'', type=_Server)
        except DECODE_ERRORS as error:
            _log.warning(
                'Cannot decode server entry.',
                server=record.name,
                revision=record.revision,
                reason=str(error),
            )
            return None
        host, _, port = spec.address.rpartition(':')
        if spec.state not in {_READY, _DRAINING} or not is_port(port):
            _log.warning(
                'Server entry has an invalid state or address.',
                server=record.name,
                revision=record.revision,
                address=spec.address,
                state=spec.state,
            )
            return None
        if not host or not spec.service or spec.slots < 1:
            return None
        return _make_server(record.name, spec)

    def decode_rollout(self, record: Record) -> Rollout | None:
        """Decode the order of a roll-out."""
        decoded = decode_rollout(record)
        if is_successful(decoded):
            return decoded.unwrap()
        _log.warning(
            'Cannot decode roll-out.',
            name=record.name,
            revision=record.revision,
            reason=decoded.failure(),
        )
        return None


def _make_server(name: str, spec: _Server) -> BackendServer:
    return BackendServer(
        name=name,
        service=spec.service,
        address=spec.address,
        zone=spec.zone,
        version=spec.version,
        slots=spec.slots,
        leaving=spec.state == _DRAINING,
        spot=spec.spot,
        born=spec.born,
        cold_seconds=max(0, spec.cold_remaining_ms) / _MILLISECONDS_PER_SECOND,
    )


def _make_catalogue(revision: int, spec: _Configuration) -> Catalogue:
    return Catalogue(
        revision=revision,
        version=spec.version,
        routes=tuple(map(_make_route, spec.routes)),
        services={entry.name: _make_service(entry) for entry in spec.services},
        workspaces=tuple(map(_make_workspace, spec.tenants)),
        limits=Limits(spec.limits.max_body_bytes, spec.limits.max_header_bytes),
    )


def _make_route(spec: _Route) -> Route:
    weighted_services = spec.backends or [_WeightedService(spec.service)]
    return Route(
        name=spec.name,
        host=spec.host.lower(),
        path_prefix=spec.path_prefix,
        kind=spec.kind,
        timeout_seconds=spec.timeout_ms / _MILLISECONDS_PER_SECOND,
        objective_seconds=spec.target_latency_ms / _MILLISECONDS_PER_SECOND,
        priority=spec.priority,
        targets=tuple(
            Target(entry.service, entry.weight) for entry in weighted_services
        ),
        max_attempts=max(1, spec.max_attempts),
        key_exempt=spec.auth_exempt,
        resumable=spec.resumable,
    )


def _make_service(spec: _Service) -> Service:
    engine = spec.engine
    scaling = spec.scaling
    return Service(
        name=spec.name,
        engine=engine and Engine(engine.slots, engine.moves),
        scaling=scaling
        and Scaling(
            scaling.min,
            scaling.max,
            scaling.boot_s,
            scaling.spot_price,
            scaling.zone_prices,
        ),
        cold_start=_make_cold_start(spec),
    )


def _make_cold_start(spec: _Service) -> ColdStart | None:
    if spec.cold_start_s <= 0 or spec.cold_per_s <= 0:
        return None
    return ColdStart(spec.cold_start_s, spec.cold_per_s)


def _make_workspace(spec: _Tenant) -> Workspace:
    return Workspace(
        name=spec.name,
        keys=tuple(spec.api_keys),
        priority=spec.priority,
        counts_tokens=spec.unit == _TOKEN_UNIT,
        plain_tokens=spec.plain_tokens,
        rate=spec.rate_per_s,
        burst=spec.burst,
    )
