"""Decide how many on-demand and spot servers each zone should have.

The platform may reclaim all spot servers of a zone at once. They cost a
fraction of on-demand servers, so they carry the usual load, with enough of
them to lose one zone. On-demand servers are ordered when losing one more zone
of spot servers would leave too little capacity, or losing two once the spot
servers of a zone are exhausted. They are released when spot servers are back.
The other zones replace spot servers that an exhausted zone cannot provide.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

# Utilization at which first tokens arrive in time, and the highest at which
# servers still keep up. The first is low because prompt sizes differ by a
# factor of 100.
_TARGET_UTILIZATION: Final = 0.25
_MAX_UTILIZATION: Final = 0.85
# Zones whose spot servers may be lost together while a zone is exhausted.
_ZONES_LOST_WHILE_EXHAUSTED: Final = 2
# Plans use the highest demand in this time, which covers a wave of traffic.
_PEAK_SECONDS: Final = 20.0
# Demand counts as measured this long after the first request.
_MIN_OBSERVED_SECONDS: Final = 8.0


@dataclass(frozen=True)
class ZoneFleet:
    """Count a zone's servers of each kind, as running or as planned."""

    on_demand: int
    spot: int


@dataclass(frozen=True)
class FleetBounds:
    """Bound the servers in each zone.

    ``spot`` is whether spot servers may be started, ``prices`` are per server,
    by zone.
    """

    min_servers: int
    max_servers: int
    spot: bool
    prices: Mapping[str, float]


class DemandPeak:
    """Track the recent peak of demand, in servers kept busy."""

    def __init__(self) -> None:
        self._begun_at: float | None = None
        self._samples: deque[tuple[float, float]] = deque()

    def record(self, busy_servers: float, now: float) -> None:
        """Add the demand measured at a time."""
        if self._begun_at is None:
            if not busy_servers:
                return
            self._begun_at = now
        while self._samples and self._samples[-1][1] <= busy_servers:
            self._samples.pop()
        self._samples.append((now, busy_servers))
        while self._samples[0][0] < now - _PEAK_SECONDS:
            self._samples.popleft()

    def is_established(self, now: float) -> bool:
        """Return whether demand has been measured for long enough."""
        begun_at = self._begun_at
        return begun_at is not None and now >= begun_at + _MIN_OBSERVED_SECONDS

    def read(self) -> float:
        """Return the peak, 0 without any demand."""
        return self._samples[0][1] if self._samples else 0


def estimate_demand(servers: int) -> float:
    """Return the demand for which this many servers are the target."""
    return servers * _TARGET_UTILIZATION


def plan_zones(
    bounds: FleetBounds,
    running: Mapping[str, ZoneFleet],
    busy_servers: float,
    exhausted: Collection[str] = (),
    evacuated: int = 0,
) -> Mapping[str, ZoneFleet]:
    """Return the servers that each zone should have at a demand.

    Zones that are ``exhausted`` have refused to start more spot servers. The
    bounds lack ``evacuated`` further zones, which get no requests.
    """
    target = math.ceil(busy_servers / _TARGET_UTILIZATION)
    # The servers left when one zone is lost have to be enough. An evacuated
    # zone is that zone.
    spare_zones = max(0, 1 - evacuated)
    remaining_zones = max(1, len(bounds.prices) - len(exhausted) - spare_zones)
    per_zone = max(bounds.min_servers, 1, math.ceil(target / remaining_zones))
    per_zone = min(bounds.max_servers, per_zone)
    if not bounds.spot:
        return dict.fromkeys(bounds.prices, ZoneFleet(per_zone, 0))
    missing = math.ceil(
        busy_servers / _MAX_UTILIZATION
    ) - _count_remaining_spot(running, bool(exhausted), evacuated)
    on_demand = _distribute(bounds, running, missing)
    return {
        zone: ZoneFleet(count, min(per_zone, bounds.max_servers - count))
        for zone, count in on_demand.items()
    }


def _count_remaining_spot(
    running: Mapping[str, ZoneFleet], exhausted: bool, evacuated: int
) -> int:
    """Return how many spot servers remain after the next reclaims.

    Zones can be reclaimed in faster succession than servers start, and
    reclaimed servers cannot be replaced while zones are exhausted.
    """
    lost = _ZONES_LOST_WHILE_EXHAUSTED if exhausted else 1
    kept_zones = max(0, len(running) - max(0, lost - evacuated))
    return sum(sorted(fleet.spot for fleet in running.values())[:kept_zones])


def raise_to_minimum(
    bounds: FleetBounds, running: ZoneFleet, minimum: ZoneFleet
) -> ZoneFleet:
    """Return the running servers, raised to a minimum of each kind."""
    on_demand = max(running.on_demand, minimum.on_demand)
    spot = max(running.spot, min(minimum.spot, bounds.max_servers - on_demand))
    return ZoneFleet(on_demand, spot)


def _distribute(
    bounds: FleetBounds,
    running: Mapping[str, ZoneFleet],
    missing: int,
) -> Mapping[str, int]:
    """Spread on-demand servers over zones.

    Zones with the fewest spot servers come first, then the cheapest.
    """
    order = sorted(
        bounds.prices,
        key=lambda zone: (running[zone].spot, bounds.prices[zone], zone),
    )
    on_demand = dict.fromkeys(order, 0)
    # Each zone leaves room for one spot server, so that starting one is tried
    # again.
    max_servers = (bounds.max_servers - 1) * len(order)
    for index in range(min(max(0, missing), max_servers)):
        on_demand[order[index % len(order)]] += 1
    return on_demand
