"""Limit the rate of calls to the platform, with reserves by priority."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from monsoonwall.platform.objects import CallReason

# Fraction of a full budget that must remain after a call for this reason.
# Callers wait for claims; a status write can wait for the next round.
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

# Keeps the power of 2 finite after many failures.
_MAX_DOUBLINGS: Final = 20


class CallBudget:
    """Limit calls by a token bucket that keeps reserves by call reason.

    ``rate`` is in calls per second, ``burst`` is the number of calls in a
    full budget. Times are monotonic seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def try_spend(self, reason: CallReason, now: float) -> bool:
        """Return whether a call may be made now and, if so, count it."""
        elapsed = max(0, now - self._filled_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._filled_at = max(now, self._filled_at)
        reserve = RESERVES.get(reason, 0) * self._burst
        if self._level - 1 < reserve:
            return False
        self._level -= 1
        return True


class Backoff:
    """Compute the pauses of exponential backoff, with jitter."""

    def __init__(self, first_seconds: float, max_seconds: float) -> None:
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._failures = 0

    def reset(self) -> None:
        """Reset the backoff to the shortest pause."""
        self._failures = 0

    def record_failure(self, now: float, jitter: float) -> float:
        """Return when to try again; ``jitter`` is uniform in 0 to 1.

        The pause lies between half of its bound and the bound, so that hosts
        that failed at the same time do not retry at the same time.
        """
        bound = min(
            self._max_seconds,
            self._first_seconds * 2 ** min(self._failures, _MAX_DOUBLINGS),
        )
        self._failures += 1
        return now + bound * (1 + jitter) / 2
