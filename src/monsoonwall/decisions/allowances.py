"""Keep each workspace within its limit over all hosts.

Answers workspaces of few but large requests, which a part of the limit for
each host would refuse, and ones that send many times their usual through all
hosts at once. Hosts tell each other what they granted in the last window. A
request passes while the room that is left exceeds what all hosts may grant
before they hear of it; beyond that, a part of the requests pass.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.admission import RateMeter

# Grants are summed up by this time.
_STEP_SECONDS: Final = 0.1
# What hosts may ask for before they hear of a grant counts this many times,
# since demand is told late as well.
_UNREPORTED_FACTOR: Final = 3.0
# Part of an even share that a host may have granted before it restarted.
_RESTART_SHARE: Final = 0.6
# A surge has to show before the window that it falls into is used up.
_DEMAND_HALF_LIFE_SECONDS: Final = 1.0
# Callers that come back sooner find the same room; after half a window there
# is room in any case.
_MIN_WAIT_SECONDS: Final = 0.2
_MAX_WAIT_RATIO: Final = 0.5


@dataclass(frozen=True)
class Limit:
    """Hold how much may be granted in any window of so many seconds."""

    amount: float
    seconds: float


@dataclass(frozen=True)
class GrantReport:
    """Hold what a host, or a zone of them, granted and was asked for.

    ``granted`` is the amount of the last window, ``demand`` the amount asked
    for in a second.
    """

    granted: float = 0
    demand: float = 0


@dataclass(frozen=True)
class OtherHosts:
    """Hold what is known of the other hosts.

    ``hosts`` counts all hosts and ``reporting_hosts`` those that are heard, both with
    this one; ``lag_seconds`` is how long they take to hear of a grant.
    """

    reported: GrantReport = GrantReport()
    hosts: int = 1
    reporting_hosts: int = 1
    lag_seconds: float = 0

    @property
    def usable_ratio(self) -> float:
        """Return the part of a limit that the hosts that are heard share."""
        return min(1, self.reporting_hosts / self.hosts)


class Allowance:
    """Grant what one workspace may send through this host.

    A host that restarts cannot know what it granted just before; ``full``
    tells that it granted nothing.
    """

    def __init__(self, full: bool) -> None:
        self._full = full
        self._grants: deque[tuple[float, float]] = deque()
        self._granted: float = 0
        self._demand = RateMeter(_DEMAND_HALF_LIFE_SECONDS)

    def report(self, seconds: float, now: float) -> GrantReport:
        """Return what the other hosts are to know."""
        self._expire(now - seconds)
        return GrantReport(self._granted, self._demand.read(now))

    def take(
        self,
        units: float,
        limit: Limit,
        others: OtherHosts,
        draw: float,
        now: float,
    ) -> float:
        """Grant a request; else return in how many seconds to come back.

        ``draw`` is a number from 0 to 1 that differs by request.
        """
        self._demand.add(units, now)
        self._assume_earlier_grants(limit, others, now)
        self._expire(now - limit.seconds)
        usable = limit.amount * others.usable_ratio
        room = usable - self._granted - others.reported.granted
        demand = self._demand.read(now) + others.reported.demand
        unreported = demand * others.lag_seconds * _UNREPORTED_FACTOR
        # A request that is larger than the limit passes when all is left.
        needed = min(units, usable)
        if room >= needed and (
            room >= unreported + needed or draw * unreported < room
        ):
            self._add(units, now)
            return 0
        wait = max(0, needed - room) * limit.seconds / max(limit.amount, 1)
        bounded = min(wait, _MAX_WAIT_RATIO * limit.seconds)
        return max(bounded, _MIN_WAIT_SECONDS) * (1 + draw)

    def give_back(self, units: float, now: float) -> None:
        """Take in that a granted request has not run."""
        self._add(-units, now)

    def _assume_earlier_grants(
        self, limit: Limit, others: OtherHosts, now: float
    ) -> None:
        if self._full:
            return
        self._full = True
        assumed = _RESTART_SHARE * limit.amount / others.hosts
        steps = int(limit.seconds / _STEP_SECONDS)
        for step in range(steps):
            at = now - limit.seconds + step * _STEP_SECONDS
            self._add(assumed / steps, at)

    def _add(self, units: float, now: float) -> None:
        self._granted += units
        if self._grants and now - self._grants[-1][0] < _STEP_SECONDS:
            began, summed = self._grants.pop()
            self._grants.append((began, summed + units))
        else:
            self._grants.append((now, units))

    def _expire(self, until: float) -> None:
        # A step counts for as long as the latest grant in it.
        last = until - _STEP_SECONDS
        while self._grants and self._grants[0][0] <= last:
            self._granted -= self._grants.popleft()[1]
        if not self._grants:
            self._granted = 0


class GrantRecords:
    """Keep what each host told; what gone ones granted fades in a window."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._reported: dict[str, Mapping[str, GrantReport]] = {}
        self._gone_at: dict[str, float] = {}

    def update(
        self, reported: Mapping[str, Mapping[str, GrantReport]], now: float
    ) -> None:
        """Take in what the hosts that are heard tell, by origin."""
        for origin in self._reported:
            if origin not in reported:
                self._gone_at.setdefault(origin, now)
        for origin, workspaces in reported.items():
            self._reported[origin] = workspaces
            self._gone_at.pop(origin, None)
        for origin, gone_at in tuple(self._gone_at.items()):
            if now >= gone_at + self._seconds:
                self._gone_at.pop(origin)
                self._reported.pop(origin)

    def sum_grants(self, workspace: str, now: float) -> GrantReport:
        """Return what all others granted and are asked for."""
        granted: float = 0
        demand: float = 0
        for origin, workspaces in self._reported.items():
            reported = workspaces.get(workspace)
            if reported is None:
                continue
            gone_at = self._gone_at.get(origin)
            if gone_at is None:
                granted += reported.granted
                demand += reported.demand
            else:
                remaining = 1 - (now - gone_at) / self._seconds
                granted += reported.granted * max(0, remaining)
        return GrantReport(granted, demand)
