"""Limit calls to the platform, keeping room for what matters most."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from monsoonwall.platform.objects import CallReason

# The part of a full budget that must be left for a call to be let through.
# A caller waits for a claim; a status write can wait for the next round.
RESERVES: Final[Mapping[CallReason, float]] = MappingProxyType(
    {
        CallReason.claim: 0,
        CallReason.lease: 0,
        CallReason.configuration: 0.1,
        CallReason.fleet: 0.25,
        CallReason.membership: 0.4,
        CallReason.status: 0.5,
    }
)

_MAX_DOUBLINGS: Final = 20


class CallBudget:
    """Refill at a fixed rate and refuse calls that dig too deep.

    ``rate`` is in calls a second; ``burst`` is how many calls a full budget
    holds. Times are monotonic seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def take(self, reason: CallReason, now: float) -> bool:
        """Return whether a call may be made now, and count it if so."""
        elapsed = max(0, now - self._filled_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._filled_at = max(now, self._filled_at)
        reserve = RESERVES.get(reason, 0) * self._burst
        if self._level - 1 < reserve:
            return False
        self._level -= 1
        return True


class Backoff:
    """Lengthen the pause after each failure in a row, with jitter."""

    def __init__(self, first_seconds: float, max_seconds: float) -> None:
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._failures = 0

    def succeed(self) -> None:
        """Begin with the shortest pause again."""
        self._failures = 0

    def fail(self, now: float, jitter: float) -> float:
        """Return when to try again; ``jitter`` is uniform in 0 to 1.

        The pause is anything from half to all of its bound, so that hosts
        which failed together do not return together.
        """
        bound = min(
            self._max_seconds,
            self._first_seconds * 2 ** min(self._failures, _MAX_DOUBLINGS),
        )
        self._failures += 1
        return now + bound * (1 + jitter) / 2
