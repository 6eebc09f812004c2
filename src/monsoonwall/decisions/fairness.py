"""Divide a limited resource by weight and demand."""

from collections.abc import Mapping
from typing import Final

# Fraction of a limit that hosts share equally, whatever their demand.
_EQUAL_SHARE: Final = 0.2


def divide_fairly(
    total: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair share of each demand.

    No share exceeds its demand; what small demands leave is divided among
    the others by weight. A name without a weight has weight 1.
    """
    shares: dict[str, float] = {}
    remaining = total
    # By demand per unit of weight, so that demands met in full come first.
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
    """Return this host's share, from 0 to 1, of a limit that hosts share.

    Most of the limit is divided by the demand that each host published. The
    rest is divided equally, so that a host can serve calls before its peers
    have received its demand. The shares of hosts with the same view add up
    to 1.
    """
    hosts = 1 + len(peer_demands)
    total = own_demand + sum(peer_demands)
    if total <= 0:
        return 1 / hosts
    return _EQUAL_SHARE / hosts + (1 - _EQUAL_SHARE) * own_demand / total
