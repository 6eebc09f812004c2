"""Provide clocks that tests and simulations can replace."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Read monotonic and wall-clock time, both in seconds."""

    @abstractmethod
    def read_monotonic(self) -> float:
        """Return the seconds since an arbitrary point; never decreases."""

    @abstractmethod
    def read_wall(self) -> float:
        """Return the Unix time in seconds, comparable between hosts."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def read_monotonic(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return the machine's Unix time in seconds."""
        return time.time()


class BootClock(SystemClock):
    """Read a monotonic clock that also runs while the machine is suspended."""

    def read_monotonic(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Return a simulated time that only ``advance`` changes."""

    def __init__(self, start: float = 1000) -> None:
        self._now = start

    def read_monotonic(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def read_wall(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        self._now += seconds


class SteadyWallClock:
    """Read Unix time that does not jump when the wall clock is adjusted.

    It follows the monotonic clock, from the wall-clock time at its creation.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = clock.read_wall() - clock.read_monotonic()

    def read(self) -> float:
        """Return the Unix time in seconds."""
        return self._offset + self._clock.read_monotonic()
