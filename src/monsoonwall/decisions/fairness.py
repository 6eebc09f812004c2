"""Divide what is scarce by weight, without leaving any of it unused."""

from collections.abc import Mapping
from typing import Final

_EQUAL_SHARE: Final = 0.2


def divide_fairly(
    total: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return a weighted max-min fair part for each demand.

    Nobody gets more than it demands; what the small ones leave goes to the
    others by weight. A name without a weight has weight 1.
    """
    shares: dict[str, float] = {}
    remaining = total
    # By demand for each unit of weight: whoever is satisfied comes first.
    order = sorted(
        demands, key=lambda name: demands[name] / weights.get(name, 1)
    )
    remaining_weight = sum(weights.get(name, 1) for name in order)
    for name in order:
        weight = weights.get(name, 1)
        shares[name] = min(demands[name], remaining * weight / remaining_weight)
        remaining -= shares[name]
        remaining_weight -= weight
    return shares


def share_limit(own_demand: float, peer_demands: tuple[float, ...]) -> float:
    """Return this host's part, from 0 to 1, of a limit that hosts share.

    Most of it follows the demand that each host published; the rest is cut
    in equal parts, so that a host can begin before its peers have heard of
    its demand. The parts of hosts with the same view add up to 1.
    """
    hosts = 1 + len(peer_demands)
    total = own_demand + sum(peer_demands)
    if total <= 0:
        return 1 / hosts
    return _EQUAL_SHARE / hosts + (1 - _EQUAL_SHARE) * own_demand / total
