"""Decode the settings file that the platform puts on each machine."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from msgspec import Struct, ValidationError, convert, field
from returns.result import Failure, Result, Success

from monsoonwall.decisions.intake import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MEGABYTES,
    make_intake_limits,
)
from monsoonwall.findings import Finding
from monsoonwall.gateway.settings import Bounds, GatewaySettings

_MILLISECONDS_PER_SECOND: Final = 1000
_USAGE_DUTY: Final = 'usage_report'
# Orders servers for all services and zones.
_AUTOSCALE_DUTY: Final = 'autoscale'


class _Listen(Struct):
    front: str
    ready: str
    control: str


class _Bounds(Struct):
    drain_ms: float = 2000
    config_ms: float = 2000
    grace_s: float = 8
    retry_ratio: float = 0.2
    budget_window_s: float = 10
    retry_slack: float = 50
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10
    quota_window_s: float = 8
    # Fraction of what the limit allows in one quota window.
    quota_overage: float = 0
    # In tokens, as the limits are.
    quota_slack: float = 0
    # A bad version may get this fraction of its service's requests, plus
    # ``exposure_slack`` requests.
    exposure_share: float = 0.1
    exposure_slack: float = 50
    evacuate_ms: float = 0


class _Limits(Struct):
    memory_mb: float = DEFAULT_MEMORY_MEGABYTES
    max_fds: int = DEFAULT_DESCRIPTORS


class _Store(Struct):
    address: str


class _Cloud(Struct):
    address: str = ''
    duties: list[str] = field(default_factory=list)


class _Machine(Struct):
    node: str
    zone: str
    listen: _Listen
    # The metadata store, which the file calls "platform".
    platform: _Store
    region: str = 'local'
    # True only if the whole system starts for the first time.
    bootstrap: bool = False
    seed_addrs: list[str] = field(default_factory=list)
    # First and last port for connections between machines.
    port_range: list[int] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    bounds: _Bounds = field(default_factory=_Bounds)
    limits: _Limits = field(default_factory=_Limits)
    cloud: _Cloud = field(default_factory=_Cloud)


def read_machine_settings(
    path: Path,
) -> Result[GatewaySettings, tuple[Finding, ...]]:
    """Read a settings file; returns its errors if it is invalid."""
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        return Failure((Finding(str(path), f'cannot be read: {error}'),))
    return decode_machine_settings(document, str(path))


def decode_machine_settings(
    document: Mapping[str, Any], source: str
) -> Result[GatewaySettings, tuple[Finding, ...]]:
    """Convert the parsed file ``source`` to settings, or to errors."""
    try:
        machine = convert(document, _Machine, strict=False)
    except ValidationError as error:
        return Failure((Finding(source, str(error)),))
    return Success(_make_settings(machine))


def _make_settings(machine: _Machine) -> GatewaySettings:
    cloud = machine.cloud
    return GatewaySettings(
        host_name=machine.node,
        zone=machine.zone,
        region=machine.region,
        front_address=machine.listen.front,
        ready_address=machine.listen.ready,
        mesh_address=machine.listen.control,
        store_address=machine.platform.address,
        duties_address=cloud.address,
        seeds=tuple(
            seed
            for seed in machine.seed_addrs
            if seed != machine.listen.control
        ),
        zones=tuple(machine.zones) or (machine.zone,),
        reports_usage=_USAGE_DUTY in cloud.duties,
        orders_servers=_AUTOSCALE_DUTY in cloud.duties,
        first_start=machine.bootstrap,
        bounds=_make_bounds(machine.bounds),
        intake=make_intake_limits(
            machine.limits.memory_mb, machine.limits.max_fds
        ),
        tunnel_address=_choose_tunnel_address(machine),
    )


def _choose_tunnel_address(machine: _Machine) -> str:
    if not machine.port_range:
        return ''
    host = machine.listen.control.rpartition(':')[0]
    return f'{host}:{machine.port_range[0]}'


def _make_bounds(section: _Bounds) -> Bounds:
    return Bounds(
        drain_seconds=section.drain_ms / _MILLISECONDS_PER_SECOND,
        configuration_seconds=section.config_ms / _MILLISECONDS_PER_SECOND,
        grace_seconds=section.grace_s,
        retry_ratio=section.retry_ratio,
        retry_slack=section.retry_slack,
        retry_window_seconds=section.budget_window_s,
        lease_seconds=section.lease_ms / _MILLISECONDS_PER_SECOND,
        usage_window_seconds=section.usage_window_s,
        usage_late_seconds=section.usage_late_s,
        limit_window_seconds=section.quota_window_s,
        limit_overage=section.quota_overage,
        limit_slack_tokens=section.quota_slack,
        exposure_share=section.exposure_share,
        exposure_slack=section.exposure_slack,
        evacuate_seconds=section.evacuate_ms / _MILLISECONDS_PER_SECOND,
    )
