"""Bound the repeated sendings to a service over all hosts.

Answers a service that fails as a whole: repetitions stay a fixed part of its
requests, so that they do not keep it down.
"""

from collections import deque
from typing import Final

# The bound holds for all hosts together; requests of one host come unevenly.
_USED_RATIO: Final = 0.8


class FleetRetryBudget:
    """Count one service's requests and repetitions at this host."""

    def __init__(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def take(self, hosts: int, now: float) -> bool:
        """Return whether a request may be sent once more, and count it.

        The slack is divided evenly among ``hosts``.
        """
        if self.count_left(hosts, now) < 1:
            return False
        self._retries.append(now)
        return True

    def count_left(self, hosts: int, now: float) -> float:
        """Return how many repetitions this host may send now."""
        self._expire(now)
        earned = self._ratio * len(self._requests)
        slack = self._slack / max(1, hosts)
        return _USED_RATIO * (earned + slack) - len(self._retries)

    def _expire(self, now: float) -> None:
        for counted in (self._requests, self._retries):
            while counted and counted[0] <= now - self._window:
                counted.popleft()
