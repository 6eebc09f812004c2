"""Enforce the rate limits of workspaces across all hosts.

Each host publishes what it granted in the last window, and counts the grants
of the others when it decides on a request.
"""

from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import Final

from msgspec import DecodeError, Struct, ValidationError, msgpack

from monsoonwall.clocks import Clock
from monsoonwall.decisions.allowances import (
    Allowance,
    GrantRecords,
    GrantReport,
    Limit,
    OtherHosts,
)
from monsoonwall.gateway.model import Workspace
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, is_zone_summary
from monsoonwall.metrics import GATEWAY_REPORTING_HOSTS

GRANTS_KIND: Final = 'gateway-grants'
# Fraction of the allowed overage that is added to the limit. The rest covers
# what hosts grant before they receive each other's reports.
_USED_TOLERANCE_RATIO: Final = 0.3
# Grants are published twice a second and reach most hosts in three gossip
# rounds.
_LAG_SECONDS: Final = 1.0
# Between the zones of a large fleet they also pass three relays, each of which
# takes gossip rounds.
_CROSS_ZONE_LAG_SECONDS: Final = 3.0
# Decoded payloads are cached, since most hosts' grants have not changed since
# the previous exchange.
_CACHED_PAYLOADS: Final = 256

_log = make_logger('limits')


class Grants(Struct, array_like=True, frozen=True):
    """Grants of one or several hosts.

    ``workspaces`` maps names to units granted in the last window and units
    requested per second.
    """

    hosts: int
    workspaces: dict[str, tuple[int, int]]


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
        self._records = GrantRecords(settings.bounds.limit_window_seconds)
        self._reporting_hosts = 0
        self._lag_seconds = _LAG_SECONDS
        board.declare_merge(GRANTS_KIND, merge_grants)

    @property
    def reporting_hosts(self) -> int:
        """Return how many other hosts report grants, alone or in a summary."""
        return self._reporting_hosts

    def try_grant(
        self, workspace: Workspace, units: float, draw: float
    ) -> float:
        """Return 0 if the request is granted, else the seconds to retry after.

        ``draw`` is a number from 0 to 1 that differs by request.
        """
        now = self._clock.read_monotonic()
        hosts = max(1, self._count_hosts())
        peers = OtherHosts(
            self._records.sum_grants(workspace.name, now),
            hosts,
            1 + self._reporting_hosts,
            self._lag_seconds if hosts > 1 else 0,
        )
        allowance = self._allowances.setdefault(
            workspace.name, Allowance(self._first_start)
        )
        return allowance.try_grant(
            units, self._make_limit(workspace), peers, draw, now
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
        )
        self._board.publish_entry(GRANTS_KIND, '', msgpack.encode(grants))
        self._read_peers(now)

    def _read_peers(self, now: float) -> None:
        entries = self._board.read_entries(GRANTS_KIND)
        received = {
            entry.origin: decode_grants(entry.payload)
            for entry in entries
            if entry.origin != self._own_name
        }
        self._reporting_hosts = sum(
            grants.hosts for grants in received.values()
        )
        GATEWAY_REPORTING_HOSTS.set(self._reporting_hosts)
        has_zone_summaries = any(map(is_zone_summary, entries))
        self._lag_seconds = (
            _CROSS_ZONE_LAG_SECONDS if has_zone_summaries else _LAG_SECONDS
        )
        totals = {
            origin: {
                name: GrantReport(*figures)
                for name, figures in grants.workspaces.items()
            }
            for origin, grants in received.items()
        }
        self._records.update(totals, now)

    def _make_limit(self, workspace: Workspace) -> Limit:
        bounds = self._bounds
        seconds = bounds.limit_window_seconds
        amount = workspace.rate * seconds + workspace.burst
        tolerance = amount * bounds.limit_overage
        if workspace.counts_tokens:
            tolerance += bounds.limit_slack_tokens
        return Limit(amount + _USED_TOLERANCE_RATIO * tolerance, seconds)


def merge_grants(payloads: Sequence[bytes]) -> bytes:
    """Return the sum of several hosts' encoded grants."""
    hosts = 0
    summed: dict[str, tuple[int, int]] = {}
    for grants in map(decode_grants, payloads):
        hosts += grants.hosts
        for name, (granted, demand) in grants.workspaces.items():
            known = summed.get(name, (0, 0))
            summed[name] = (known[0] + granted, known[1] + demand)
    return msgpack.encode(Grants(hosts, summed))


@lru_cache(_CACHED_PAYLOADS)
def decode_grants(payload: bytes) -> Grants:
    """Decode grants; the result is cached and must not be modified."""
    try:
        return msgpack.decode(payload, type=Grants)
    except (DecodeError, ValidationError) as error:
        _log.warning('Cannot decode grants of other hosts.', reason=str(error))
        return Grants(0, {})
