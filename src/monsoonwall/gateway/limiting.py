"""Enforce the rate limits of workspaces across all hosts.

Each host publishes what it granted in the last window, and counts the grants
of the others when it decides on a request.
"""

from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache
from typing import Final

from msgspec import Struct, msgpack

from monsoonwall.clocks import Clock
from monsoonwall.decisions.allowances import (
    Allowance,
    GrantRecords,
    GrantReport,
    Limit,
    OtherHosts,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.gateway.model import Workspace
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, is_zone_summary
from monsoonwall.metrics import GATEWAY_REPORTING_HOSTS

GRANTS_KIND: Final = 'gateway-grants'
# Fraction of the allowed overage that is added to the limit. The rest covers
# what hosts grant before they receive each other's reports.
_USED_TOLERANCE_RATIO: Final = 0.1
# Decoded payloads are cached, since most hosts' grants have not changed since
# the previous exchange.
_CACHED_PAYLOADS: Final = 256

_log = make_logger('limits')


class Grants(Struct, array_like=True, frozen=True):
    """Grants of one or several hosts.

    ``workspaces`` maps names to units granted in the last window and units
    requested per second. ``fleet_hosts`` is the highest number of hosts that
    any host has seen at once.
    """

    hosts: int
    workspaces: dict[str, tuple[int, int]]
    fleet_hosts: int = 0


class Limiter:
    """Limit what each workspace may send through this host."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        settings: GatewaySettings,
        count_hosts: Callable[[], int],
    ) -> None:
        self._board = board
        self._clock = clock
        self._own_name = settings.host_name
        self._first_start = settings.first_start
        self._bounds = settings.bounds
        self._count_hosts = count_hosts
        self._allowances: dict[str, Allowance] = {}
        seconds = settings.bounds.limit_window_seconds
        self._near_records = GrantRecords(seconds)
        self._far_records = GrantRecords(seconds)
        self._near_hosts = 1
        self._far_hosts = 0
        self._fleet_hosts = 0
        self._others: dict[str, OtherHosts] = {}
        board.declare_merge(GRANTS_KIND, merge_grants)

    @property
    def reporting_hosts(self) -> int:
        """Return how many other hosts report grants, alone or in a summary."""
        return self._near_hosts + self._far_hosts - 1

    @property
    def fleet_hosts(self) -> int:
        """Return the highest number of hosts that this or another host saw."""
        return self._fleet_hosts

    def try_grant(
        self, workspace: Workspace, units: float, draw: float
    ) -> float:
        """Return 0 if the request is granted, else the seconds to retry after.

        ``draw`` is a number from 0 to 1 that differs by request.
        """
        now = self._clock.read_monotonic()
        others = self._others.get(workspace.name)
        if others is None:
            others = self._sum_reports(workspace.name, now)
        return self._find_allowance(workspace.name).try_grant(
            units, self._make_limit(workspace), others, draw, now
        )

    def cancel_grant(self, workspace: Workspace, units: float) -> None:
        """Cancel the grant of a request that did not run."""
        now = self._clock.read_monotonic()
        self._allowances[workspace.name].cancel_grant(units, now)

    def exchange(self) -> None:
        """Publish this host's grants and read those of the other hosts."""
        now = self._clock.read_monotonic()
        seconds = self._bounds.limit_window_seconds
        own = {
            name: allowance.report(seconds, now)
            for name, allowance in self._allowances.items()
        }
        grants = Grants(
            1,
            {
                name: (round(totals.granted), round(totals.demand))
                for name, totals in own.items()
            },
            self._fleet_hosts,
        )
        self._board.publish_entry(GRANTS_KIND, '', msgpack.encode(grants))
        self._read_peers(now)

    def _find_allowance(self, workspace: str) -> Allowance:
        return self._allowances.setdefault(
            workspace, Allowance(self._first_start)
        )

    def _sum_reports(self, workspace: str, now: float) -> OtherHosts:
        return OtherHosts(
            self._near_records.sum_reports(workspace),
            self._far_records.sum_reports(workspace),
            self._near_records.sum_gone(workspace, now)
            + self._far_records.sum_gone(workspace, now),
            max(1, self._count_hosts()),
            self._near_hosts,
            self._far_hosts,
        )

    def _read_peers(self, now: float) -> None:
        near: dict[str, Grants] = {}
        far: dict[str, Grants] = {}
        for entry in self._board.read_entries(GRANTS_KIND):
            if entry.origin != self._own_name:
                received = far if is_zone_summary(entry) else near
                received[entry.origin] = decode_grants(entry.payload)
        self._near_hosts = 1 + _count_reporting(near)
        self._far_hosts = _count_reporting(far)
        GATEWAY_REPORTING_HOSTS.set(self.reporting_hosts)
        everyone = (*near.values(), *far.values())
        # A host that has restarted learns the number from the others.
        self._fleet_hosts = max(
            self._fleet_hosts,
            self.reporting_hosts + 1 if everyone else 0,
            *(grants.fleet_hosts for grants in everyone),
        )
        self._near_records.update(_list_reports(near), now)
        self._far_records.update(_list_reports(far), now)
        self._observe_reports(
            {name for grants in everyone for name in grants.workspaces}, now
        )

    def _observe_reports(self, reported: set[str], now: float) -> None:
        seconds = self._bounds.limit_window_seconds
        self._others = {}
        for name in reported | self._allowances.keys():
            others = self._sum_reports(name, now)
            self._others[name] = others
            self._find_allowance(name).observe(others.near, seconds, now)

    def _make_limit(self, workspace: Workspace) -> Limit:
        bounds = self._bounds
        seconds = bounds.limit_window_seconds
        amount = workspace.rate * seconds + workspace.burst
        tolerance = amount * bounds.limit_overage
        if workspace.counts_tokens:
            tolerance += bounds.limit_slack_tokens
        return Limit(amount + _USED_TOLERANCE_RATIO * tolerance, seconds)


def _count_reporting(received: Mapping[str, Grants]) -> int:
    return sum(grants.hosts for grants in received.values())


def _list_reports(
    received: Mapping[str, Grants],
) -> dict[str, dict[str, GrantReport]]:
    return {
        origin: {
            name: GrantReport(*figures)
            for name, figures in grants.workspaces.items()
        }
        for origin, grants in received.items()
    }


def merge_grants(payloads: Sequence[bytes]) -> bytes:
    """Return the sum of several hosts' encoded grants."""
    hosts = 0
    fleet_hosts = 0
    summed: dict[str, tuple[int, int]] = {}
    for grants in map(decode_grants, payloads):
        hosts += grants.hosts
        fleet_hosts = max(fleet_hosts, grants.fleet_hosts)
        for name, (granted, demand) in grants.workspaces.items():
            known = summed.get(name, (0, 0))
            summed[name] = (known[0] + granted, known[1] + demand)
    return msgpack.encode(Grants(hosts, summed, fleet_hosts))


@lru_cache(_CACHED_PAYLOADS)
def decode_grants(payload: bytes) -> Grants:
    """Decode grants; the result is cached and must not be modified."""
    try:
        return msgpack.decode(payload, type=Grants)
    except DECODE_ERRORS as error:
        _log.warning('Cannot decode grants of other hosts.', reason=str(error))
        return Grants(0, {})
