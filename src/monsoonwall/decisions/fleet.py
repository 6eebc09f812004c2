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
_USUAL_BUSY: Final = 0.25
_MOST_BUSY: Final = 0.85
# Zones that may be lost together, once one has been reclaimed.
_LOST_WHILE_EXHAUSTED: Final = 2
# The highest demand of this long counts, which covers a wave of the traffic.
_PEAK_SECONDS: Final = 20.0
# Demand is taken as known this long after the first of it.
_KNOWN_SECONDS: Final = 8.0


@dataclass(frozen=True)
class ZoneFleet:
    """Hold how many servers of each kind a zone has, or is to have."""

    lasting: int
    spot: int


@dataclass(frozen=True)
class FleetBounds:
    """Hold what each zone may have, and zone prices for one server."""

    least: int
    most: int
    spot: bool
    prices: Mapping[str, float]


class DemandPeak:
    """Hold the highest demand of late, in servers that it keeps busy."""

    def __init__(self) -> None:
        self._begun_at: float | None = None
        self._seen: deque[tuple[float, float]] = deque()

    def note(self, busy: float, now: float) -> None:
        """Take in the demand of now."""
        if self._begun_at is None:
            if not busy:
                return
            self._begun_at = now
        while self._seen and self._seen[-1][1] <= busy:
            self._seen.pop()
        self._seen.append((now, busy))
        while self._seen[0][0] < now - _PEAK_SECONDS:
            self._seen.popleft()

    def is_known(self, now: float) -> bool:
        """Tell whether the demand has been measured for long enough."""
        begun_at = self._begun_at
        return begun_at is not None and now >= begun_at + _KNOWN_SECONDS

    def read(self) -> float:
        """Return the peak, nothing without any demand."""
        return self._seen[0][1] if self._seen else 0


def expect_busy(servers: int) -> float:
    """Return the demand that operators chose so many servers for."""
    return servers * _USUAL_BUSY


def plan_zones(
    bounds: FleetBounds,
    running: Mapping[str, ZoneFleet],
    busy: float,
    exhausted: Collection[str] = (),
) -> Mapping[str, ZoneFleet]:
    """Return what each zone is to have at a demand.

    Zones that are ``exhausted`` have refused to start more reclaimable servers.
    """
    usual = math.ceil(busy / _USUAL_BUSY)
    # One zone may be lost.
    zones = max(1, len(bounds.prices) - len(exhausted) - 1)
    each = max(bounds.least, 1, math.ceil(usual / zones))
    each = min(bounds.most, each)
    if not bounds.spot:
        return dict.fromkeys(bounds.prices, ZoneFleet(each, 0))
    missing = math.ceil(busy / _MOST_BUSY) - _count_left(
        running, bool(exhausted)
    )
    lasting = _spread(bounds, running, missing)
    return {
        zone: ZoneFleet(count, min(each, bounds.most - count))
        for zone, count in lasting.items()
    }


def _count_left(running: Mapping[str, ZoneFleet], exhausted: bool) -> int:
    """Return the reclaimable servers that the next reclaims leave.

    Reclaims of zones follow each other faster than servers start, and what
    was reclaimed cannot be replaced while zones are exhausted.
    """
    lost = _LOST_WHILE_EXHAUSTED if exhausted else 1
    return sum(sorted(fleet.spot for fleet in running.values())[:-lost])


def raise_fleet(
    bounds: FleetBounds, running: ZoneFleet, least: ZoneFleet
) -> ZoneFleet:
    """Return what runs, with more servers where too few do."""
    lasting = max(running.lasting, least.lasting)
    spot = max(running.spot, min(least.spot, bounds.most - lasting))
    return ZoneFleet(lasting, spot)


def _spread(
    bounds: FleetBounds,
    running: Mapping[str, ZoneFleet],
    missing: int,
) -> Mapping[str, int]:
    """Spread servers over the zones, those without others and cheap first."""
    order = sorted(
        bounds.prices,
        key=lambda zone: (running[zone].spot, bounds.prices[zone], zone),
    )
    lasting = dict.fromkeys(order, 0)
    # One server stays for the other kind, which is tried again and again.
    most = (bounds.most - 1) * len(order)
    for index in range(min(max(0, missing), most)):
        lasting[order[index % len(order)]] += 1
    return lasting
