"""Keep each workspace within its limit over all hosts.

Answers a workspace that sends many times its usual through any of the hosts:
each host grants the part of the rate that its share of the demand is, and no
more than an even part when it cannot hear the others.
"""

from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.admission import RateMeter
from monsoonwall.decisions.fairness import share_limit

# Part of the burst that has to be there for a request that is larger.
_NEEDED_PART: Final = 0.3


@dataclass(frozen=True)
class Limit:
    """Hold the rate a second and the burst that a host may grant."""

    rate: float
    burst: float


def choose_share(
    own_demand: float, peer_demands: tuple[float, ...], hosts: int
) -> float:
    """Return the part of a workspace's rate that this host may grant.

    ``own_demand`` is what the others have been told of, so that the parts
    of all hosts add up to one also while the demand grows. ``hosts`` counts
    all hosts; those whose demand is not known may each grant an even part.
    """
    if 1 + len(peer_demands) < hosts:
        return 1 / hosts
    return share_limit(own_demand, peer_demands)


class Allowance:
    """Grant what one workspace may send through this host."""

    def __init__(self, full: bool) -> None:
        # A host that restarts cannot know what it granted just before.
        self._full = full
        self._level = float(0)
        self._filled_at: float | None = None
        self._demand = RateMeter()

    def measure_demand(self, now: float) -> float:
        """Return the recent demand, in units a second."""
        return self._demand.read(now)

    def take(self, units: float, limit: Limit, now: float) -> float:
        """Grant a request; else return in how many seconds to come back."""
        self._demand.add(units, now)
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
