"""Tell which backend servers may get new work.

A leaving server gets none until its notice expires. A server that failed to
answer gets none for a time that doubles with each failure; if nothing else is
left, it is tried all the same, since the failure may have been this host's.
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
    """Hold the leaving and the failing servers; monotonic seconds."""

    def __init__(self) -> None:
        self._leaving: dict[str, float] = {}
        self._down: dict[str, _Downtime] = {}

    def note_leaving(self, server: str, until: float) -> None:
        """Give a server no work until a time."""
        self._leaving[server] = max(until, self._leaving.get(server, until))

    def note_failure(self, server: str, now: float) -> None:
        """Give a server that did not answer no work for a while."""
        known = self._down.get(server)
        if known is None:
            seconds = _FIRST_DOWN_SECONDS
        elif now < known.until:
            # Streams that break together are one failure, and a server that
            # goes on failing must not come back in between.
            seconds = known.seconds
        else:
            seconds = min(_MAX_DOWN_SECONDS, 2 * known.seconds)
        self._down[server] = _Downtime(now + seconds, seconds)

    def note_answer(self, server: str) -> None:
        """Take a server that answered back at once."""
        self._down.pop(server, None)

    def is_leaving(self, server: str, now: float) -> bool:
        """Tell whether a server has been given notice."""
        return now < self._leaving.get(server, now)

    def is_down(self, server: str, now: float) -> bool:
        """Tell whether a server failed lately."""
        known = self._down.get(server)
        return known is not None and now < known.until

    def filter_usable(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers that may get new work, failing ones last."""
        staying = [name for name in servers if not self.is_leaving(name, now)]
        up = [name for name in staying if not self.is_down(name, now)]
        return up or staying
