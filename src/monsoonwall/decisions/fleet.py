"""Decide how many servers of which kind each zone is to have.

Answers reclaims of whole zones: reclaimable servers cost a fraction, so that
many of them, spread over the zones, serve more than a few that stay.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

# Servers that cannot be reclaimed, for each zone.
_LASTING_SERVERS: Final = 1


@dataclass(frozen=True)
class ZoneFleet:
    """Hold how many servers of each kind a zone has, or is to have."""

    lasting: int
    spot: int


def plan_zones(
    least: int, most: int, spot_price: float | None, zones: tuple[str, ...]
) -> Mapping[str, ZoneFleet]:
    """Return what each zone is to have."""
    lasting = min(most, _LASTING_SERVERS)
    if spot_price is None:
        return dict.fromkeys(zones, ZoneFleet(max(least, lasting), 0))
    return dict.fromkeys(zones, ZoneFleet(lasting, most - lasting))
