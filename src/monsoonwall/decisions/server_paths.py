"""Decide by which path this host connects to a server: directly or by a tunnel.

A host may lose its links to servers while callers, the store and the other
hosts still reach it. Its callers must not be served worse than those of other
hosts, so it sends by a tunnel through a host that reaches the server. A server
that no host reaches is down: looking for a tunnel would only add load.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

# How often a host checks whether it reaches a server directly again.
_DIRECT_CHECK_SECONDS: Final = 1.0
# For this long no tunnel is tried to a server that no host reached.
_DOWN_SECONDS: Final = 1.0
# A path that has not been used for this long is tried directly first.
_TUNNEL_SECONDS: Final = 5.0


@dataclass(frozen=True)
class PathPlan:
    """State which paths to try; a tunnel is tried first, or after a delay."""

    direct: bool
    tunnel: bool
    tunnel_first: bool


@dataclass(frozen=True)
class _TunnelPath:
    """Hold until when a tunnel is preferred, in monotonic seconds."""

    preferred_until: float
    next_check_at: float


class ServerPaths:
    """Remember which servers this host reaches by tunnels only."""

    def __init__(self) -> None:
        self._tunnels: dict[str, _TunnelPath] = {}
        self._down_until: dict[str, float] = {}

    def plan(self, server: str, now: float) -> PathPlan:
        """Return which paths to a server to try now."""
        path = self._tunnels.get(server)
        if path is None or path.preferred_until <= now:
            is_down = self._down_until.get(server, now) > now
            return PathPlan(direct=True, tunnel=not is_down, tunnel_first=False)
        checks = path.next_check_at <= now
        if checks:
            self._tunnels[server] = _TunnelPath(
                path.preferred_until, now + _DIRECT_CHECK_SECONDS
            )
        return PathPlan(direct=checks, tunnel=True, tunnel_first=True)

    def record_direct(self, server: str) -> bool:
        """Record a direct connection; return whether that has changed."""
        self._down_until.pop(server, None)
        return self._tunnels.pop(server, None) is not None

    def record_tunnel(self, server: str, now: float) -> bool:
        """Record a connection by a tunnel; return whether that has changed."""
        known = self._tunnels.get(server)
        self._tunnels[server] = _TunnelPath(
            now + _TUNNEL_SECONDS,
            known.next_check_at if known else now + _DIRECT_CHECK_SECONDS,
        )
        return known is None

    def record_unreachable(self, server: str, now: float) -> None:
        """Record that neither path has reached a server."""
        self._tunnels.pop(server, None)
        self._down_until[server] = now + _DOWN_SECONDS

    def retain(self, servers: Iterable[str], now: float) -> None:
        """Drop what is known of all other servers, and what is outdated."""
        if not self._tunnels and not self._down_until:
            return
        kept = set(servers)
        self._tunnels = {
            server: path
            for server, path in self._tunnels.items()
            if server in kept and path.preferred_until > now
        }
        self._down_until = {
            server: until
            for server, until in self._down_until.items()
            if server in kept and until > now
        }

    def is_partitioned(self) -> bool:
        """Return whether this host reaches a server by a tunnel only."""
        return bool(self._tunnels)
