"""Keep each workspace within its limit over all hosts.

Answers a workspace that sends many times its usual through any of the hosts:
each host grants the part of the rate that its share of the demand is, and no
more than an even part when it cannot hear the others.
"""

from dataclasses import dataclass
from typing import Final

# Part of the burst that has to be there for a request that is larger.
_NEEDED_PART: Final = 0.3
# Demand is averaged over about this long.
_MEMORY_SECONDS: Final = 3.0
# Weight of an even division beside that by demand, so that demand can move.
_EVEN_PART: Final = 0.25


@dataclass(frozen=True)
class Limit:
    """Hold the rate a second and the burst that a host may grant."""

    rate: float
    burst: float


def choose_share(
    own_demand: float, others_demand: float, hosts: int, heard: int
) -> float:
    """Return the part of a workspace's rate that this host may grant.

    ``own_demand`` is what the others have been told of, so that the parts
    of all hosts add up to one also while the demand grows. ``hosts`` counts
    all hosts and ``heard`` those whose demand is known, this one included.
    """
    even = 1 / max(1, hosts)
    total = own_demand + others_demand
    if heard < hosts or total <= 0:
        # The hosts not heard may each grant an even part.
        return even
    return (own_demand / total + _EVEN_PART * even) / (1 + _EVEN_PART)


class Allowance:
    """Grant what one workspace may send through this host."""

    def __init__(self, now: float, full: bool) -> None:
        # A host that restarts cannot know what it granted just before.
        self._full = full
        self._level = float(0)
        self._filled_at: float | None = None
        self._demand = float(0)
        self._demand_at = now

    def measure_demand(self, now: float) -> float:
        """Return the recent demand, in units a second."""
        self._decay(now)
        return self._demand / _MEMORY_SECONDS

    def take(self, units: float, limit: Limit, now: float) -> float:
        """Grant a request; else return in how many seconds to come back."""
        self._decay(now)
        self._demand += units
        self._fill(limit, now)
        # Large requests may go into debt, or they would hardly ever pass.
        needed = min(units, _NEEDED_PART * limit.burst)
        if self._level >= needed:
            self._level -= units
            return 0
        return (needed - self._level) / max(limit.rate, 1)

    def give_back(self, units: float) -> None:
        """Take in that a granted request has not run."""
        self._level += units

    def _fill(self, limit: Limit, now: float) -> None:
        if self._filled_at is None:
            part = 1 if self._full else _NEEDED_PART
            self._level = part * limit.burst
        else:
            gained = limit.rate * max(0, now - self._filled_at)
            self._level = min(limit.burst, self._level + gained)
        self._filled_at = now

    def _decay(self, now: float) -> None:
        passed = max(0, now - self._demand_at)
        self._demand *= max(0, 1 - passed / _MEMORY_SECONDS)
        self._demand_at = now
