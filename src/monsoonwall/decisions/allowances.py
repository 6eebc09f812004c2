"""Keep each workspace within its limit across all gateway hosts.

Splitting the limit into a fixed share per host would refuse workspaces that
send few but large requests. Instead hosts publish what they granted in the
last window, and each checks requests against the whole limit. A request is
granted while the remaining amount exceeds what all hosts may grant before
their reports arrive. Below that, requests are granted with a probability, so
that a workspace that suddenly sends many times its usual amount through all
hosts at once stays close to its limit.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.admission import RateMeter

# Grants are summed in steps of this length.
_STEP_SECONDS: Final = 0.1
# Factor on the demand that may be granted before reports arrive. Reports of
# demand are late as well, so the actual demand may be higher than reported.
_UNREPORTED_FACTOR: Final = 3.0
# Fraction of an even share that a restarted host assumes it granted before.
_RESTART_SHARE: Final = 0.6
# A surge has to be measured before it uses up the current window.
_DEMAND_HALF_LIFE_SECONDS: Final = 1.0
# Callers that retry sooner find no more left; after half a window enough has
# expired in any case.
_MIN_WAIT_SECONDS: Final = 0.2
_MAX_WAIT_RATIO: Final = 0.5


@dataclass(frozen=True)
class Limit:
    """Hold the amount that may be granted in any window of ``seconds``."""

    amount: float
    seconds: float


@dataclass(frozen=True)
class GrantReport:
    """Report what a host, or a zone of hosts, granted and was asked for.

    ``granted`` is the amount granted in the last window, ``demand`` the
    amount requested per second.
    """

    granted: float = 0
    demand: float = 0


@dataclass(frozen=True)
class OtherHosts:
    """Hold the reports of the other hosts, summed up.

    ``hosts`` counts all hosts and ``reporting_hosts`` those whose reports
    arrive, both including this one. ``lag_seconds`` is how long a grant takes
    to reach the other hosts.
    """

    reported: GrantReport = GrantReport()
    hosts: int = 1
    reporting_hosts: int = 1
    lag_seconds: float = 0

    @property
    def usable_ratio(self) -> float:
        """Return the fraction of a limit that reporting hosts may use."""
        return min(1, self.reporting_hosts / self.hosts)


class Allowance:
    """Grant requests of one workspace at this host.

    With ``full`` the host granted nothing before, so the whole limit is
    available. Otherwise it has restarted and does not know its earlier grants,
    so it assumes some.
    """

    def __init__(self, full: bool) -> None:
        self._full = full
        self._grants: deque[tuple[float, float]] = deque()
        self._granted: float = 0
        self._demand = RateMeter(_DEMAND_HALF_LIFE_SECONDS)

    def report(self, seconds: float, now: float) -> GrantReport:
        """Return the report to publish to the other hosts."""
        self._expire(now - seconds)
        return GrantReport(self._granted, self._demand.read(now))

    def try_grant(
        self,
        units: float,
        limit: Limit,
        others: OtherHosts,
        draw: float,
        now: float,
    ) -> float:
        """Grant a request and return 0, or return the seconds to wait.

        ``draw`` is a number from 0 to 1 that differs by request. It decides
        the grants that are made with a probability, and spreads the waits.
        """
        self._demand.add(units, now)
        self._assume_earlier_grants(limit, others, now)
        self._expire(now - limit.seconds)
        usable = limit.amount * others.usable_ratio
        remaining = usable - self._granted - others.reported.granted
        demand = self._demand.read(now) + others.reported.demand
        unreported = demand * others.lag_seconds * _UNREPORTED_FACTOR
        # A request larger than the limit is granted if the whole limit is
        # left.
        needed = min(units, usable)
        if remaining >= needed and (
            remaining >= unreported + needed or draw * unreported < remaining
        ):
            self._add(units, now)
            return 0
        wait = max(0, needed - remaining) * limit.seconds / max(limit.amount, 1)
        bounded = min(wait, _MAX_WAIT_RATIO * limit.seconds)
        return max(bounded, _MIN_WAIT_SECONDS) * (1 + draw)

    def cancel_grant(self, units: float, now: float) -> None:
        """Cancel the grant of a request that did not run."""
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
            granted_at = now - limit.seconds + step * _STEP_SECONDS
            self._add(assumed / steps, granted_at)

    def _add(self, units: float, now: float) -> None:
        self._granted += units
        if self._grants and now - self._grants[-1][0] < _STEP_SECONDS:
            step_start, summed = self._grants.pop()
            self._grants.append((step_start, summed + units))
        else:
            self._grants.append((now, units))

    def _expire(self, until: float) -> None:
        # A step expires with its latest grant, not with its first.
        last = until - _STEP_SECONDS
        while self._grants and self._grants[0][0] <= last:
            self._granted -= self._grants.popleft()[1]
        if not self._grants:
            self._granted = 0


class GrantRecords:
    """Keep the latest report of each other host.

    The grants of a host that is gone decrease linearly to 0 over a window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._reported: dict[str, Mapping[str, GrantReport]] = {}
        self._gone_at: dict[str, float] = {}

    def update(
        self, reported: Mapping[str, Mapping[str, GrantReport]], now: float
    ) -> None:
        """Store the current reports by origin; other hosts are gone."""
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
        """Return the grants and the demand of all other hosts."""
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
