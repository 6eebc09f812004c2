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


class BootClock(SystemClock):
    """Tell a time that goes on while the machine is suspended."""

    def read_monotonic(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


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


class SteadyWallClock:
    """Tell Unix seconds that do not step when the clock is set."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = clock.read_wall() - clock.read_monotonic()

    def read(self) -> float:
        """Return Unix seconds as of this host's start."""
        return self._offset + self._clock.read_monotonic()
