"""Decide which backend servers may receive new work from an entry host.

A leaving server receives none until its notice expires. A server that did not
respond receives none for a time that doubles with each failure. If no other
server is left, it is tried anyway, because the cause of the failure may lie
with this host.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

_FIRST_DOWN_SECONDS: Final = 2.0
_MAX_DOWN_SECONDS: Final = 8.0


@dataclass(frozen=True)
class _Downtime:
    until: float
    seconds: float


class Availability:
    """Track leaving and failing servers; times are monotonic seconds."""

    def __init__(self) -> None:
        self._leaving: dict[str, float] = {}
        self._down: dict[str, _Downtime] = {}

    def mark_leaving(self, server: str, until: float) -> None:
        """Exclude a leaving server until a time."""
        self._leaving[server] = max(until, self._leaving.get(server, until))

    def record_failure(self, server: str, now: float) -> None:
        """Exclude a server that did not respond for a backoff period."""
        downtime = self._down.get(server)
        if downtime is None:
            seconds = _FIRST_DOWN_SECONDS
        elif now < downtime.until:
            # Streams that break at the same time count as one failure. The
            # period starts again, so that a server that keeps failing stays
            # excluded.
            seconds = downtime.seconds
        else:
            seconds = min(_MAX_DOWN_SECONDS, 2 * downtime.seconds)
        self._down[server] = _Downtime(now + seconds, seconds)

    def record_response(self, server: str) -> None:
        """Include a server again as soon as it has responded."""
        self._down.pop(server, None)

    def is_leaving(self, server: str, now: float) -> bool:
        """Return whether a server is leaving."""
        return now < self._leaving.get(server, now)

    def is_down(self, server: str, now: float) -> bool:
        """Return whether a server is excluded after a failure."""
        downtime = self._down.get(server)
        return downtime is not None and now < downtime.until

    def filter_usable(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers for new work, down ones only if none is up."""
        staying = [name for name in servers if not self.is_leaving(name, now)]
        up = [name for name in staying if not self.is_down(name, now)]
        return up or staying
