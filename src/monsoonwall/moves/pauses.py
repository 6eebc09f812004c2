"""Notice that this host was paused and may have missed a withdrawal."""

from typing import Final

_PAUSE_SECONDS: Final = 1.5
# Gossip with a host that woke up brings what it missed within this.
_SETTLE_SECONDS: Final = 2.0


class PauseDetector:
    """Compare the times of checks that should follow each other closely."""

    def __init__(self, now: float) -> None:
        self._last_check = now
        self._settled_at = now

    def check(self, now: float) -> None:
        """Note that this host runs at a time (monotonic seconds)."""
        if now - self._last_check > _PAUSE_SECONDS:
            self._settled_at = now + _SETTLE_SECONDS
        self._last_check = now

    def is_settled(self, now: float) -> bool:
        """Tell whether this host runs and has run for long enough."""
        paused = now - self._last_check > _PAUSE_SECONDS
        return now >= self._settled_at and not paused
