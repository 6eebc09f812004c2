"""Test the retry budget and the retries that do not need it."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.retries import (
    INFRASTRUCTURE_ENDINGS,
    MAX_ATTEMPTS,
    FailedAttempt,
    RetryBudget,
    RetryVerdict,
    plan_retry,
)
from monsoonwall.pipeline.messages import AttemptEnding

endings = st.sampled_from(list(AttemptEnding))
failed_attempts = st.builds(
    FailedAttempt,
    ending=endings,
    failures=st.integers(1, 10),
    repeatable=st.booleans(),
    deadline=st.floats(0, 100),
    jitter=st.floats(0, 1),
)


class RetryTest(unittest.TestCase):
    """Check that plans keep the retry rules and the budget."""

    @given(failed_attempts, st.floats(0, 100))
    def test_retry_is_allowed_only_within_the_rules(self, failed, now):
        plan = plan_retry(failed, RetryBudget(), now)
        if plan.verdict is RetryVerdict.allowed:
            self.assertTrue(failed.repeatable)
            self.assertLess(plan.start_at, failed.deadline)
            self.assertGreaterEqual(plan.start_at, now)
            self.assertLess(failed.failures, MAX_ATTEMPTS)
            self.assertIsNot(failed.ending, AttemptEnding.cancelled)

    @given(st.lists(st.booleans(), max_size=400))
    def test_budget_bounds_retries(self, outcomes):
        budget = RetryBudget()
        retries = 0
        for success in outcomes:
            if success:
                budget.record_success()
            else:
                retries += budget.try_spend(0)
        # A full budget of 20, and one for each ten successes.
        self.assertLessEqual(retries, 20 + outcomes.count(True) / 10)

    def test_failing_service_runs_out_of_budget(self):
        budget = RetryBudget()
        failed = FailedAttempt(AttemptEnding.failed, 1, True, 100, 0)
        verdicts = [plan_retry(failed, budget, 1).verdict for _ in range(50)]
        self.assertIs(verdicts[0], RetryVerdict.allowed)
        self.assertIs(verdicts[-1], RetryVerdict.budget)

    def test_infrastructure_failures_do_not_use_the_budget(self):
        budget = RetryBudget()
        for ending in INFRASTRUCTURE_ENDINGS:
            for _ in range(100):
                failed = FailedAttempt(ending, 1, True, 100, 0)
                plan = plan_retry(failed, budget, 1)
                self.assertIs(plan.verdict, RetryVerdict.allowed)
        self.assertTrue(budget.try_spend(1))
