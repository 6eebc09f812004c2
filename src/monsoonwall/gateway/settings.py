"""Define the settings of a gateway: its host, its peers and its bounds."""

from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.intake import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MEGABYTES,
    IntakeLimits,
    make_intake_limits,
)

_DEFAULT_INTAKE: Final = make_intake_limits(
    DEFAULT_MEMORY_MEGABYTES, DEFAULT_DESCRIPTORS
)


@dataclass(frozen=True)
class Bounds:
    """Limits that the platform's users set for the whole system.

    A leaving server has ``drain_seconds`` to finish its requests, a host that
    shuts down ``grace_seconds`` to exit. A configuration must be in force
    everywhere within ``configuration_seconds``. ``lease_seconds`` is the
    duration of the duty lease.

    In any ``retry_window_seconds``, the retries that reach a service are
    limited to ``retry_ratio`` of its requests plus ``retry_slack``. Usage is
    reported by windows of ``usage_window_seconds``, within
    ``usage_late_seconds`` of the end of each. In any ``limit_window_seconds``,
    a workspace may exceed its limit by ``limit_overage`` of it and, if it
    counts tokens, by ``limit_slack_tokens``. During a roll-out, a bad version
    may get ``exposure_share`` of its service's requests plus
    ``exposure_slack``. Operators evacuate zones only if ``evacuate_seconds``,
    the time within which a zone must get no more requests, is set.
    """

    drain_seconds: float = 2
    configuration_seconds: float = 2
    grace_seconds: float = 8
    retry_ratio: float = 0.2
    retry_slack: float = 50
    retry_window_seconds: float = 10
    lease_seconds: float = 3
    usage_window_seconds: float = 5
    usage_late_seconds: float = 10
    limit_window_seconds: float = 8
    limit_overage: float = 0
    limit_slack_tokens: float = 0
    exposure_share: float = 0.1
    exposure_slack: float = 50
    evacuate_seconds: float = 0


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway; addresses are ``host:port``.

    Callers connect to ``front_address``. ``seeds`` are mesh addresses of other
    hosts. ``duties_address`` is empty if there are no duties. ``first_start``
    is true if the whole system starts for the first time. ``intake`` bounds
    what the process holds of all its callers. Hosts carry each other's
    connections to servers only if they have a ``tunnel_address``.
    """

    host_name: str
    zone: str
    region: str
    front_address: str
    ready_address: str
    mesh_address: str
    store_address: str
    duties_address: str = ''
    seeds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    reports_usage: bool = False
    orders_servers: bool = False
    first_start: bool = False
    bounds: Bounds = Bounds()
    intake: IntakeLimits = _DEFAULT_INTAKE
    tunnel_address: str = ''
