"""Keep each workspace within its limit across all gateway hosts.

Splitting the limit into a fixed share per host would refuse workspaces that
send few but large requests. Instead hosts publish what they granted in the
last window, and each checks requests against the whole limit.

Grants that have not been reported yet are bounded in two ways, so that a surge
that comes through all hosts at once stays close to the limit. Of what was left
when the reports were made, each zone of a wide fleet uses no more than its
share until the others hear of it, and each host no more than its share within
its zone. And the less is left for the demand that the hosts report, the lower
is the probability with which a request is granted.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import takewhile
from typing import Final

from monsoonwall.decisions.admission import RateMeter

# Grants are summed in steps of this length.
_STEP_SECONDS: Final = 0.1
# Time until a grant is known to the hosts that hear this one directly, the
# same in a wide fleet, and to the hosts of its other zones.
_NEAR_LAG_SECONDS: Final = 1.75
_WIDE_NEAR_LAG_SECONDS: Final = 2.0
_FAR_LAG_SECONDS: Final = 4.0
# Factor on the demand that may be granted before reports arrive. Reports of
# demand are late as well, so the actual demand may be higher than reported.
_UNREPORTED_FACTOR: Final = 1.5
# Weight of the grants of a zone in its share; the rest is that of its hosts.
_GRANTS_WEIGHT: Final = 0.5
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

    ``near`` sums up the hosts that are heard directly, ``far`` the other zones
    of a wide fleet, and ``gone`` what hosts that are gone granted in the
    window. ``hosts`` counts all hosts, ``near_hosts`` and ``far_hosts`` those
    whose reports arrive; this host is one of the near ones.
    """

    near: GrantReport = GrantReport()
    far: GrantReport = GrantReport()
    gone: float = 0
    hosts: int = 1
    near_hosts: int = 1
    far_hosts: int = 0

    @property
    def reporting_ratio(self) -> float:
        """Return the fraction of the hosts whose reports arrive."""
        return min(1, (self.near_hosts + self.far_hosts) / self.hosts)

    @property
    def near_lag_seconds(self) -> float:
        """Return how long a grant takes to be known to the near hosts."""
        return _WIDE_NEAR_LAG_SECONDS if self.far_hosts else _NEAR_LAG_SECONDS


@dataclass(frozen=True)
class _Snapshot:
    """What was known at a time: of this host, and of the other near hosts."""

    taken_at: float
    own: GrantReport
    near: GrantReport


_NOTHING: Final = _Snapshot(float('-inf'), GrantReport(), GrantReport())


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
        self._snapshots: deque[_Snapshot] = deque()

    def report(self, seconds: float, now: float) -> GrantReport:
        """Return the report to publish to the other hosts."""
        self._expire(now - seconds)
        return GrantReport(self._granted, self._demand.read(now))

    def observe(self, near: GrantReport, seconds: float, now: float) -> None:
        """Record what the near hosts report now, and what this host granted."""
        self._snapshots.append(_Snapshot(now, self.report(seconds, now), near))
        # The first snapshot kept is the latest that is as old as the lag.
        oldest = now - _FAR_LAG_SECONDS
        while (
            len(self._snapshots) > 1 and self._snapshots[1].taken_at <= oldest
        ):
            self._snapshots.popleft()

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
        near_limit = self._compute_near_limit(limit, others, now)
        remaining = near_limit - self._granted - others.near.granted
        # A request larger than the limit is granted if the whole limit is
        # left.
        needed = min(units, limit.amount * others.reporting_ratio)
        if remaining >= needed and self._may_grant_unreported(
            units, remaining, others, draw, now
        ):
            self._add(units, now)
            return 0
        wait = max(0, needed - remaining) * limit.seconds / max(limit.amount, 1)
        bounded = min(wait, _MAX_WAIT_RATIO * limit.seconds)
        return max(bounded, _MIN_WAIT_SECONDS) * (1 + draw)

    def cancel_grant(self, units: float, now: float) -> None:
        """Cancel the grant of a request that did not run."""
        self._add(-units, now)

    def _compute_near_limit(
        self, limit: Limit, others: OtherHosts, now: float
    ) -> float:
        """Return the amount that the near hosts together may have granted.

        Hosts that cannot hear each other each use their part of the limit.
        What gone hosts granted beyond the part that is theirs is taken off.
        """
        own_part = limit.amount * others.reporting_ratio
        usable = own_part - max(0, others.gone - (limit.amount - own_part))
        if not others.far_hosts:
            return usable
        # The reports of other zones describe an earlier time, so they are
        # compared with what the near hosts had granted then.
        earlier = self._find_snapshot(now - _FAR_LAG_SECONDS)
        if earlier is _NOTHING and self._snapshots:
            earlier = self._snapshots[0]
        granted = earlier.own.granted + earlier.near.granted
        total = granted + others.far.granted
        hosts_share = others.near_hosts / (others.near_hosts + others.far_hosts)
        grants_share = granted / total if total > 0 else hosts_share
        share = hosts_share + _GRANTS_WEIGHT * (grants_share - hosts_share)
        return granted + share * max(0, usable - total)

    def _may_grant_unreported(
        self,
        units: float,
        remaining: float,
        others: OtherHosts,
        draw: float,
        now: float,
    ) -> bool:
        """Return whether the near hosts can bear a grant unknown to them."""
        if others.near_hosts <= 1:
            return True
        lag_seconds = others.near_lag_seconds
        demand = self._demand.read(now) + others.near.demand
        unreported = demand * lag_seconds * _UNREPORTED_FACTOR
        if draw * unreported >= remaining:
            return False
        own_unreported = self._sum_grants(now - lag_seconds)
        if own_unreported <= 0:
            return True
        share = self._compute_host_share(unreported / units, others, now)
        return own_unreported + units <= share * (remaining + own_unreported)

    def _compute_host_share(
        self, expected_requests: float, others: OtherHosts, now: float
    ) -> float:
        """Return the fraction of what is left that this host may grant.

        It is an even share of the hosts or, if fewer, of the requests that are
        expected; or the host's share of the demand if that is larger.
        """
        lag_seconds = others.near_lag_seconds
        known = self._find_snapshot(now - lag_seconds)
        sharers: float = others.near_hosts
        if known.own.demand + known.near.demand > 0:
            sharers = max(1, min(sharers, expected_requests))
        # What the others report is older than what this host knows of itself.
        earlier = self._find_snapshot(now - 2 * lag_seconds)
        demand = earlier.own.demand + known.near.demand
        demand_share = earlier.own.demand / demand if demand > 0 else 0
        return max(1 / sharers, demand_share)

    def _sum_grants(self, after: float) -> float:
        """Return the amount granted after a time."""
        latest = takewhile(lambda step: step[0] > after, reversed(self._grants))
        return sum(granted for _, granted in latest)

    def _find_snapshot(self, taken_at: float) -> _Snapshot:
        """Return the latest snapshot that is as old as a time."""
        found = _NOTHING
        for snapshot in self._snapshots:
            if snapshot.taken_at > taken_at:
                break
            found = snapshot
        return found

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

    def sum_reports(self, workspace: str) -> GrantReport:
        """Return the grants and the demand of the hosts that report."""
        granted: float = 0
        demand: float = 0
        for origin, workspaces in self._reported.items():
            reported = workspaces.get(workspace)
            if reported is not None and origin not in self._gone_at:
                granted += reported.granted
                demand += reported.demand
        return GrantReport(granted, demand)

    def sum_gone(self, workspace: str, now: float) -> float:
        """Return what hosts that are gone granted within the window."""
        granted: float = 0
        for origin, gone_at in self._gone_at.items():
            reported = self._reported[origin].get(workspace, GrantReport())
            remaining = 1 - (now - gone_at) / self._seconds
            granted += reported.granted * max(0, remaining)
        return granted
