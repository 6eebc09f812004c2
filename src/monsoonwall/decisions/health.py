"""Tell from results which servers to leave alone for a while.

Answers servers that crash, fall silent or fail a part of their requests
while their health checks pass, and full ones that ask to be left alone.
"""

from dataclasses import dataclass
from typing import Final

# The weight of the latest result in the share of failures.
_LATEST_RESULT_WEIGHT: Final = 0.2
_FIRST_EJECTION_SECONDS: Final = 0.4
_MAX_EJECTION_SECONDS: Final = 3.0


@dataclass
class ServerHealth:
    """Hold the results of one server as this host saw them."""

    failing: float = 0
    ejections: int = 0
    ejected_until: float = float('-inf')
    backoff_until: float = float('-inf')

    def note_backoff(self, until: float) -> None:
        """Take in that the server wants nothing from this host until then."""
        self.backoff_until = max(self.backoff_until, until)

    def is_backing_off(self, now: float) -> bool:
        """Tell whether the server still wants nothing from this host."""
        return now < self.backoff_until

    def note_success(self) -> None:
        """Take in an attempt that went well."""
        self.failing *= 1 - _LATEST_RESULT_WEIGHT
        self.ejections = 0
        self.ejected_until = float('-inf')

    def note_failure(self) -> None:
        """Take in an answer that tells of a failure."""
        self.failing += _LATEST_RESULT_WEIGHT * (1 - self.failing)

    def note_no_answer(self, now: float) -> None:
        """Take in a lost channel or answer; rest longer each time."""
        self.note_failure()
        if now < self.ejected_until:
            return
        ejection_seconds = min(
            _MAX_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2**self.ejections
        )
        self.ejections += 1
        self.ejected_until = now + ejection_seconds

    def is_ejected(self, now: float) -> bool:
        """Tell whether the server gets no work now."""
        return now < self.ejected_until
