"""Decide whether and when an entry host retries a failed attempt.

There are two kinds of failure. If the infrastructure failed (a server
crashed, was reclaimed or was cut off), the attempt's load is gone as well, so
the first few retries of a call add no load and are free. If the server
answered with an error, slowly or with a refusal, a retry adds load to a
service that may be overloaded already, so it takes from a budget that
successes fill.
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
# Retries after an infrastructure failure are free up to this attempt number.
_FREE_ATTEMPTS: Final = 4
# Retries that a success earns, that a full budget holds, and by which a budget
# is refilled.
_BUDGET_RATIO: Final = 0.1
_MAX_BUDGET: Final = 20.0
_REFILL_PER_SECOND: Final = 0.2
_BASE_DELAY_SECONDS: Final = 0.05
_MAX_DELAY_SECONDS: Final = 2.0


class RetryVerdict(StrEnum):
    """State whether a retry is allowed or why not; used in metrics."""

    allowed = 'allowed'
    not_repeatable = 'not_repeatable'
    deadline = 'deadline'
    attempts = 'attempts'
    budget = 'budget'
    cancelled = 'cancelled'


@dataclass(frozen=True)
class FailedAttempt:
    """Describe the attempt that failed.

    ``failures`` counts the failed attempts of the call, this one included.
    ``deadline`` is in monotonic seconds, ``jitter`` is from 0 to 1.
    """

    ending: AttemptEnding
    failures: int
    repeatable: bool
    deadline: float
    jitter: float


@dataclass(frozen=True)
class RetryPlan:
    """Hold whether to retry, and from when (monotonic seconds)."""

    verdict: RetryVerdict
    start_at: float


class RetryBudget:
    """Allow retries as a fixed fraction of the successes."""

    def __init__(self) -> None:
        self._level = _MAX_BUDGET
        self._filled_at: float | None = None

    def record_success(self) -> None:
        """Add the fraction of a retry that a success earns."""
        self._level = min(_MAX_BUDGET, self._level + _BUDGET_RATIO)

    def try_spend(self, now: float) -> bool:
        """Take a retry from the budget; return whether one was left."""
        # The slow refill lets a service that has no more successes recover.
        if self._filled_at is not None:
            gained = _REFILL_PER_SECOND * max(0, now - self._filled_at)
            self._level = min(_MAX_BUDGET, self._level + gained)
        self._filled_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


def plan_retry(
    failed: FailedAttempt, budget: RetryBudget, now: float
) -> RetryPlan:
    """Decide on a retry after a failure; may take from the budget."""
    free = (
        failed.ending in INFRASTRUCTURE_ENDINGS
        and failed.failures < _FREE_ATTEMPTS
    )
    start_at = now if free else now + _compute_delay(failed)
    verdict = _check_limits(failed, start_at)
    if (
        verdict is RetryVerdict.allowed
        and not free
        and not budget.try_spend(now)
    ):
        verdict = RetryVerdict.budget
    return RetryPlan(verdict, start_at)


def _check_limits(failed: FailedAttempt, start_at: float) -> RetryVerdict:
    if failed.ending is AttemptEnding.cancelled:
        return RetryVerdict.cancelled
    if not failed.repeatable:
        return RetryVerdict.not_repeatable
    if start_at >= failed.deadline:
        return RetryVerdict.deadline
    if failed.failures >= MAX_ATTEMPTS:
        return RetryVerdict.attempts
    return RetryVerdict.allowed


def _compute_delay(failed: FailedAttempt) -> float:
    backoff = _BASE_DELAY_SECONDS * 2 ** (failed.failures - 1)
    return min(_MAX_DELAY_SECONDS, backoff) * (0.5 + failed.jitter)
