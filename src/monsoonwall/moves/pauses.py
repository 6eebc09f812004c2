"""Notice that this host was paused and may have missed a withdrawal."""

from typing import Final

_PAUSE_SECONDS: Final = 1.5
# Gossip with a host that woke up brings what it missed within this.
_SETTLE_SECONDS: Final = 2.0


class PauseGuard:
    """Compare the times of checks that should follow each other closely."""

    def __init__(self, now: float) -> None:
        self._checked = now
        self._settled = now

    def check(self, now: float) -> None:
        """Note that this host runs at a time (monotonic seconds)."""
        if now - self._checked > _PAUSE_SECONDS:
            self._settled = now + _SETTLE_SECONDS
        self._checked = now

    def is_settled(self, now: float) -> bool:
        """Tell whether this host runs and has run for long enough."""
        paused = now - self._checked > _PAUSE_SECONDS
        return now >= self._settled and not paused
