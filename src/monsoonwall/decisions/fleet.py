"""Decide how many servers of which kind each zone is to have.

Answers reclaims of whole zones at a changing demand. Reclaimable servers cost
a fraction, so they carry the usual load and a zone of them may be lost. Ones
that stay are ordered when so few of the others are left that the loss of one
more zone, of two once a zone has none to give, would leave too little, and
given up when those are back. Zones that have no reclaimable servers to give
are made up for by the others.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

# Busy parts of servers at which first answers come in time, and at which
# servers still keep up. Prompts differ a hundredfold, so the first is low.
_TARGET_UTILIZATION: Final = 0.25
_MAX_UTILIZATION: Final = 0.85
# Zones that may be lost together, once one has been reclaimed.
_ZONES_LOST_WHILE_EXHAUSTED: Final = 2
# The highest demand of this long counts, which covers a wave of the traffic.
_PEAK_SECONDS: Final = 20.0
# Demand is taken as known this long after the first of it.
_MIN_OBSERVED_SECONDS: Final = 8.0


@dataclass(frozen=True)
class ZoneFleet:
    """Hold how many servers of each kind a zone has, or is to have."""

    on_demand: int
    spot: int


@dataclass(frozen=True)
class FleetBounds:
    """Hold what each zone may have, and zone prices for one server."""

    min_servers: int
    max_servers: int
    spot: bool
    prices: Mapping[str, float]


class DemandPeak:
    """Hold the highest demand of late, in servers that it keeps busy."""

    def __init__(self) -> None:
        self._begun_at: float | None = None
        self._samples: deque[tuple[float, float]] = deque()

    def record(self, busy_servers: float, now: float) -> None:
        """Take in the demand of now."""
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
        """Tell whether the demand has been measured for long enough."""
        begun_at = self._begun_at
        return begun_at is not None and now >= begun_at + _MIN_OBSERVED_SECONDS

    def read(self) -> float:
        """Return the peak, nothing without any demand."""
        return self._samples[0][1] if self._samples else 0


def estimate_demand(servers: int) -> float:
    """Return the demand that operators chose so many servers for."""
    return servers * _TARGET_UTILIZATION


def plan_zones(
    bounds: FleetBounds,
    running: Mapping[str, ZoneFleet],
    busy_servers: float,
    exhausted: Collection[str] = (),
) -> Mapping[str, ZoneFleet]:
    """Return what each zone is to have at a demand.

    Zones that are ``exhausted`` have refused to start more reclaimable servers.
    """
    target = math.ceil(busy_servers / _TARGET_UTILIZATION)
    # One zone may be lost.
    zones = max(1, len(bounds.prices) - len(exhausted) - 1)
    per_zone = max(bounds.min_servers, 1, math.ceil(target / zones))
    per_zone = min(bounds.max_servers, per_zone)
    if not bounds.spot:
        return dict.fromkeys(bounds.prices, ZoneFleet(per_zone, 0))
    missing = math.ceil(
        busy_servers / _MAX_UTILIZATION
    ) - _count_remaining_spot(running, bool(exhausted))
    on_demand = _distribute(bounds, running, missing)
    return {
        zone: ZoneFleet(count, min(per_zone, bounds.max_servers - count))
        for zone, count in on_demand.items()
    }


def _count_remaining_spot(
    running: Mapping[str, ZoneFleet], exhausted: bool
) -> int:
    """Return the reclaimable servers that the next reclaims leave.

    Reclaims of zones follow each other faster than servers start, and what
    was reclaimed cannot be replaced while zones are exhausted.
    """
    lost = _ZONES_LOST_WHILE_EXHAUSTED if exhausted else 1
    return sum(sorted(fleet.spot for fleet in running.values())[:-lost])


def raise_to_minimum(
    bounds: FleetBounds, running: ZoneFleet, minimum: ZoneFleet
) -> ZoneFleet:
    """Return what runs, with more servers where too few do."""
    on_demand = max(running.on_demand, minimum.on_demand)
    spot = max(running.spot, min(minimum.spot, bounds.max_servers - on_demand))
    return ZoneFleet(on_demand, spot)


def _distribute(
    bounds: FleetBounds,
    running: Mapping[str, ZoneFleet],
    missing: int,
) -> Mapping[str, int]:
    """Spread servers over the zones, those without others and cheap first."""
    order = sorted(
        bounds.prices,
        key=lambda zone: (running[zone].spot, bounds.prices[zone], zone),
    )
    on_demand = dict.fromkeys(order, 0)
    # One server stays for the other kind, which is tried again and again.
    max_servers = (bounds.max_servers - 1) * len(order)
    for index in range(min(max(0, missing), max_servers)):
        on_demand[order[index % len(order)]] += 1
    return on_demand
