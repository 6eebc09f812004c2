"""Divide the limits of servers among hosts, and count what this one sends."""

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

from monsoonwall.clocks import Clock, SteadyWallClock
from monsoonwall.decisions.server_limits import (
    LimitShare,
    SendBudget,
    compute_share,
)
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.model import BackendServer

# A share is computed anew this often, since hosts come and go within a turn.
_SHARE_SECONDS: Final = 1.0


@dataclass
class _ServerBudget:
    """What this host may send to one incarnation of a server.

    ``share`` is this host's share of ``limit`` (requests per second), until
    ``share_expires_wall`` (Unix seconds).
    """

    born: int
    budget: SendBudget = field(default_factory=SendBudget)
    limit: float | None = None
    share: LimitShare | None = None
    share_expires_wall: float = 0


class LimitShares:
    """Hold this host's budgets for servers that have a limit.

    Limits are in requests per second, of all hosts together.
    """

    def __init__(self, clock: Clock, fleet: FleetView) -> None:
        self._clock = clock
        self._wall_clock = SteadyWallClock(clock)
        self._fleet = fleet
        self._budgets: dict[str, _ServerBudget] = {}

    def can_send(self, server: BackendServer, limit: float) -> bool:
        """Return whether a request may be sent to a server now."""
        return self._find(server).budget.can_send(
            self._compute_share(server, limit), self._clock.read_monotonic()
        )

    def spend(self, server: BackendServer) -> None:
        """Count a request that is being sent to a server."""
        self._find(server).budget.spend()

    def estimate_wait(self, server: BackendServer, limit: float) -> float:
        """Return the seconds until a request may be sent to a server."""
        return self._find(server).budget.estimate_wait(
            self._compute_share(server, limit),
            self._clock.read_monotonic(),
            self._wall_clock.read(),
        )

    def retain(self, names: Container[str]) -> None:
        """Drop the budgets of all other servers."""
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if name in names
        }

    def _find(self, server: BackendServer) -> _ServerBudget:
        known = self._budgets.get(server.name)
        if known is None or known.born != server.born:
            known = _ServerBudget(server.born)
            self._budgets[server.name] = known
        return known

    def _compute_share(self, server: BackendServer, limit: float) -> LimitShare:
        known = self._find(server)
        now_wall = self._wall_clock.read()
        if (
            known.share is None
            or known.limit != limit
            or now_wall >= known.share_expires_wall
        ):
            known.share = compute_share(
                f'{server.name}@{server.born}',
                limit,
                self._fleet.describe(),
                now_wall,
            )
            known.limit = limit
            known.share_expires_wall = min(
                known.share.ends_wall, now_wall + _SHARE_SECONDS
            )
        return known.share
