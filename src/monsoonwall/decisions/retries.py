"""Decide whether an attempt is made again, and when.

Two kinds of failure are told apart. When the infrastructure took the attempt
away (a server crashed, was reclaimed or cut off), its work left the fleet
with it, so the first few retries of a call add no load and are free. When the
server answered badly, slowly or with a refusal, a retry adds load where there
may be too much already; it is paid from a budget that successes fill.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from monsoonwall.pipeline.messages import AttemptEnding

INFRASTRUCTURE_ENDINGS: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.reclaimed,
        AttemptEnding.cut,
    )
)
MAX_ATTEMPTS: Final = 8
_FREE_ATTEMPTS: Final = 4
_BUDGET_RATIO: Final = 0.1
_MAX_BUDGET: Final = 20.0
_REFILL_PER_SECOND: Final = 0.2
_BASE_DELAY_SECONDS: Final = 0.05
_MAX_DELAY_SECONDS: Final = 2.0


class RetryVerdict(StrEnum):
    """Name why there is no further attempt; values count in metrics."""

    allowed = 'allowed'
    not_repeatable = 'not_repeatable'
    deadline = 'deadline'
    attempts = 'attempts'
    budget = 'budget'
    cancelled = 'cancelled'


@dataclass(frozen=True)
class FailedAttempt:
    """Describe the attempt that failed; ``jitter`` is from 0 to 1."""

    ending: AttemptEnding
    attempt: int
    repeatable: bool
    deadline: float
    jitter: float


@dataclass(frozen=True)
class RetryPlan:
    """Tell whether to try again, and from when (monotonic seconds)."""

    verdict: RetryVerdict
    begin: float


class RetryBudget:
    """Allow a fixed part of the successes as retries."""

    def __init__(self) -> None:
        self._level = _MAX_BUDGET
        self._at: float | None = None

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self._level = min(_MAX_BUDGET, self._level + _BUDGET_RATIO)

    def take(self, now: float) -> bool:
        """Return whether a retry was paid for."""
        # The trickle lets a service recover that has no successes left.
        if self._at is not None:
            gained = _REFILL_PER_SECOND * max(0, now - self._at)
            self._level = min(_MAX_BUDGET, self._level + gained)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


def plan_retry(
    failed: FailedAttempt, budget: RetryBudget, now: float
) -> RetryPlan:
    """Return what follows a failed attempt; may take from the budget."""
    free = (
        failed.ending in INFRASTRUCTURE_ENDINGS
        and failed.attempt < _FREE_ATTEMPTS
    )
    begin = now if free else now + _compute_delay(failed)
    verdict = _check_limits(failed, begin)
    if verdict is RetryVerdict.allowed and not free and not budget.take(now):
        verdict = RetryVerdict.budget
    return RetryPlan(verdict, begin)


def _check_limits(failed: FailedAttempt, begin: float) -> RetryVerdict:
    if failed.ending is AttemptEnding.cancelled:
        return RetryVerdict.cancelled
    if not failed.repeatable:
        return RetryVerdict.not_repeatable
    if begin >= failed.deadline:
        return RetryVerdict.deadline
    if failed.attempt >= MAX_ATTEMPTS:
        return RetryVerdict.attempts
    return RetryVerdict.allowed


def _compute_delay(failed: FailedAttempt) -> float:
    backoff = _BASE_DELAY_SECONDS * 2 ** (failed.attempt - 1)
    return min(_MAX_DELAY_SECONDS, backoff) * (0.5 + failed.jitter)
