"""Detect pauses of this host, during which it may miss withdrawals."""

from typing import Final

_PAUSE_SECONDS: Final = 1.5
# After a pause, gossip delivers what the host missed within this time.
_SETTLE_SECONDS: Final = 2.0


class PauseDetector:
    """Detect pauses by the time between regular checks."""

    def __init__(self, now: float) -> None:
        self._last_check = now
        self._settled_at = now

    def check(self, now: float) -> None:
        """Record that the host is running at ``now`` (monotonic seconds)."""
        if now - self._last_check > _PAUSE_SECONDS:
            self._settled_at = now + _SETTLE_SECONDS
        self._last_check = now

    def is_settled(self, now: float) -> bool:
        """Return whether the host has caught up since its last pause."""
        paused = now - self._last_check > _PAUSE_SECONDS
        return now >= self._settled_at and not paused
