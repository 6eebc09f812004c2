"""Track from results which servers get no work from a gateway for a while.

This covers servers that crash, stop answering or fail a part of their requests
while their health checks pass, and full servers that ask for backoff.
"""

from dataclasses import dataclass
from typing import Final

# The weight of the latest result in the moving average of failures.
_LATEST_RESULT_WEIGHT: Final = 0.2
_FIRST_EJECTION_SECONDS: Final = 0.4
_MAX_EJECTION_SECONDS: Final = 3.0


@dataclass
class ServerHealth:
    """Track one server by its results on this host.

    ``failing`` is the moving average of failures, from 0 to 1. ``ejections``
    counts the ejections since the last success; each lasts twice as long as
    the one before, up to a limit.
    """

    failing: float = 0
    ejections: int = 0
    ejected_until: float = float('-inf')
    backoff_until: float = float('-inf')

    def record_backoff(self, until: float) -> None:
        """Record that the server asked for no requests until a time."""
        self.backoff_until = max(self.backoff_until, until)

    def is_backing_off(self, now: float) -> bool:
        """Return whether the server's requested backoff still lasts."""
        return now < self.backoff_until

    def record_success(self) -> None:
        """Count a success and end any ejection."""
        self.failing *= 1 - _LATEST_RESULT_WEIGHT
        self.ejections = 0
        self.ejected_until = float('-inf')

    def record_failure(self) -> None:
        """Count a response that reports a failure."""
        self.failing += _LATEST_RESULT_WEIGHT * (1 - self.failing)

    def record_no_response(self, now: float) -> None:
        """Count a lost connection or response, and eject the server."""
        self.record_failure()
        if now < self.ejected_until:
            return
        ejection_seconds = min(
            _MAX_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2**self.ejections
        )
        self.ejections += 1
        self.ejected_until = now + ejection_seconds

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected now."""
        return now < self.ejected_until
