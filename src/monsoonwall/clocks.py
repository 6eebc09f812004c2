"""Tell the time, so that tests can tell another."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Tell the time in seconds."""

    @abstractmethod
    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""

    @abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the Unix epoch; shared between hosts."""


class SystemClock(Clock):
    """Tell the machine's time."""

    def read_monotonic(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return the machine's Unix time in seconds."""
        return time.time()


class ManualClock(Clock):
    """Tell a time that moves only when told, for tests and virtual time."""

    def __init__(self, start: float = 1000) -> None:
        self._now = start

    def read_monotonic(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def read_wall(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self._now += seconds
