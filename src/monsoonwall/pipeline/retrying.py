"""Retry failed attempts within a budget per service."""

from types import MappingProxyType
from typing import Final

from returns.result import Failure, Result, Success

from monsoonwall.decisions.crashing_requests import choose_retry_delay
from monsoonwall.decisions.hashing import hash_to_fraction
from monsoonwall.decisions.retries import (
    FailedAttempt,
    RetryBudget,
    RetryVerdict,
    plan_retry,
)
from monsoonwall.metrics import RETRY_VERDICTS
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    AttemptRecord,
    Call,
    Effect,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.stages import Observer, RetryPolicy

_RETRY_AFTER_SECONDS: Final = 2.0
_REASONS: Final = MappingProxyType(
    {
        RetryVerdict.not_repeatable: RefusalReason.outcome_unknown,
        RetryVerdict.deadline: RefusalReason.deadline_passed,
        RetryVerdict.attempts: RefusalReason.no_server,
        RetryVerdict.budget: RefusalReason.retry_budget,
        RetryVerdict.cancelled: RefusalReason.outcome_unknown,
    }
)
_FINAL_VERDICTS: Final = frozenset(
    (RetryVerdict.not_repeatable, RetryVerdict.cancelled)
)


class BudgetedRetryPolicy(RetryPolicy, Observer):
    """Allow retries in proportion to the successful attempts."""

    def __init__(self, screening: SuspectScreening) -> None:
        self._screening = screening
        self._budgets: dict[str, RetryBudget] = {}

    def decide_retry(
        self, call: Call, failures: int, failure: AttemptFailure, now: float
    ) -> Result[float, Refusal]:
        """Return the time of the next attempt, or the final refusal."""
        failed = FailedAttempt(
            failure.ending,
            failures,
            call.idempotent or not failure.may_have_run,
            call.deadline,
            hash_to_fraction(f'{call.request_id}/{failures}'),
        )
        plan = plan_retry(failed, self._find_budget(call.service), now)
        RETRY_VERDICTS.labels(failure.ending, plan.verdict).inc()
        if plan.verdict is RetryVerdict.allowed:
            return Success(
                max(
                    plan.start_at, self._find_earliest_retry(call, failure, now)
                )
            )
        return Failure(_refuse(call, failures, failure, plan.verdict))

    def observe(self, record: AttemptRecord) -> None:
        """Add a completed attempt to the retry budget of its service."""
        if record.ending is AttemptEnding.completed:
            self._find_budget(record.call.service).record_success()

    def _find_budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())

    def _find_earliest_retry(
        self, call: Call, failure: AttemptFailure, now: float
    ) -> float:
        crash = self._screening.find_pending_crash(call.content_key)
        if failure.ending is not AttemptEnding.crashed or crash is None:
            return now
        return now + choose_retry_delay(
            crash, hash_to_fraction(call.request_id)
        )


def _refuse(
    call: Call, failures: int, failure: AttemptFailure, verdict: RetryVerdict
) -> Refusal:
    # Earlier attempts of an idempotent call may have run. A call that is not
    # idempotent is retried only if no earlier attempt ran.
    may_have_run = failure.may_have_run or (call.idempotent and failures > 1)
    return Refusal(
        _REASONS[verdict],
        Effect.unknown if may_have_run else Effect.not_run,
        f'attempt {failures} ended as {failure.ending}; no retry: {verdict}',
        None if verdict in _FINAL_VERDICTS else _RETRY_AFTER_SECONDS,
    )
