"""Test shared workspace limits, and the effect in refusals of retries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from monsoonwall.pipeline.admission import DemandTable, SharedAdmission
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Effect,
    RefusalReason,
)
from monsoonwall.pipeline.retrying import BudgetedRetryPolicy
from tests.pipeline.stages import LIMIT_PER_SECOND, Host, make_call

HOSTS = 5
SECONDS = 30
SETTLE_SECONDS = 10
ROUND_SECONDS = 0.5


class Fleet:
    """Run the admission of several hosts that exchange demand regularly."""

    def __init__(self):
        self.hosts = [Host() for _ in range(HOSTS)]
        self.demands = [DemandTable() for _ in range(HOSTS)]
        self.admissions = [
            SharedAdmission(host.server_view, demand)
            for host, demand in zip(self.hosts, self.demands, strict=True)
        ]
        self.now = 100
        self.number = 0

    def run(self, rates, seconds):
        """Return how many calls are admitted; ``rates`` are calls/s by host."""
        admitted = 0
        due = dict.fromkeys(range(HOSTS), 0)
        for _ in range(int(seconds / ROUND_SECONDS)):
            self.now += ROUND_SECONDS
            for index, rate in enumerate(rates):
                due[index] += rate * ROUND_SECONDS
                while due[index] >= 1:
                    due[index] -= 1
                    admitted += self.send_call(self.admissions[index])
            self.publish()
        return admitted

    def send_call(self, admission):
        self.number += 1
        call = make_call(self.number)
        admitted = is_successful(admission.admit(call, self.now))
        if admitted:
            admission.release(call, self.now)
        return admitted

    def publish(self):
        for index, demand in enumerate(self.demands):
            own = demand.collect_own(self.now)
            for other, table in enumerate(self.demands):
                if other != index:
                    table.record_peer(f'entry-{index}', own, self.now)


class SharedLimitTest(unittest.TestCase):
    """Compare several hosts with one that received every call."""

    @settings(max_examples=25)
    @given(st.lists(st.floats(0, 40), min_size=HOSTS, max_size=HOSTS))
    def test_hosts_together_keep_to_the_limit(self, rates):
        fleet = Fleet()
        fleet.run(rates, SETTLE_SECONDS)
        admitted = fleet.run(rates, SECONDS) / SECONDS
        central = min(LIMIT_PER_SECOND, sum(rates))
        self.assertLessEqual(admitted, 1.1 * LIMIT_PER_SECOND + 1)
        # A quarter may go unused, as shares do not fit the demand exactly.
        self.assertGreaterEqual(admitted, 0.75 * central - 1)

    def test_limit_refusal_has_effect_not_run_and_retry_after(self):
        fleet = Fleet()
        for _ in range(3 * LIMIT_PER_SECOND):
            fleet.send_call(fleet.admissions[0])
        refusal = fleet.admissions[0].admit(make_call(0), fleet.now).failure()
        self.assertIs(refusal.reason, RefusalReason.workspace_limit)
        self.assertIs(refusal.effect, Effect.not_run)
        self.assertGreater(refusal.retry_after, 0)


endings = st.sampled_from(list(AttemptEnding))


class RetryRefusalTest(unittest.TestCase):
    """Check the effect and reason in refusals of retries."""

    @given(endings, st.booleans(), st.booleans(), st.integers(1, 9))
    def test_effect_is_unknown_after_attempts_that_may_have_run(
        self, ending, ran, idempotent, failures
    ):
        host = Host()
        policy = BudgetedRetryPolicy(host.screening)
        call = make_call(1, idempotent=idempotent)
        failure = AttemptFailure(ending, '', ran)
        # After the deadline, every retry is refused.
        decision = policy.decide_retry(call, failures, failure, host.now + 9999)
        refusal = decision.failure()
        if ran:
            self.assertIs(refusal.effect, Effect.unknown)
        if refusal.effect is Effect.not_run:
            self.assertTrue(failures == 1 or not idempotent)

    @given(endings, st.integers(1, 9))
    def test_call_that_may_have_run_is_not_retried(self, ending, failures):
        host = Host()
        policy = BudgetedRetryPolicy(host.screening)
        call = make_call(1, idempotent=False)
        failure = AttemptFailure(ending, '', may_have_run=True)
        decision = policy.decide_retry(call, failures, failure, host.now - 9999)
        self.assertIs(decision.failure().reason, RefusalReason.outcome_unknown)
