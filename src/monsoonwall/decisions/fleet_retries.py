"""Bound the retries to a service across all gateway hosts.

If a whole service fails, retries are limited to a fixed fraction of its
requests, so that their load does not keep it from recovering.
"""

from collections import deque
from typing import Final

# The bound applies to all hosts together, and the requests of each host arrive
# unevenly, so a host uses only this fraction of its own part.
_USED_RATIO: Final = 0.8


class FleetRetryBudget:
    """Count one service's requests and retries at this host.

    In each window of time, the retries of all hosts may reach ``ratio`` times
    their requests plus ``slack``.
    """

    def __init__(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def try_spend(self, hosts: int, now: float) -> bool:
        """Return whether a retry may be sent and, if so, count it.

        The slack is divided evenly among ``hosts``.
        """
        if self.count_left(hosts, now) < 1:
            return False
        self._retries.append(now)
        return True

    def count_left(self, hosts: int, now: float) -> float:
        """Return how many retries this host may send now."""
        self._expire(now)
        earned = self._ratio * len(self._requests)
        slack = self._slack / max(1, hosts)
        return _USED_RATIO * (earned + slack) - len(self._retries)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
