"""Test the retry bound of all gateways and the ejection of failing servers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.fleet_retries import FleetRetryBudget
from monsoonwall.decisions.health import ServerHealth

WINDOW_SECONDS, RATIO, SLACK = 10.0, 0.2, 54.0


class FleetRetryBudgetTest(unittest.TestCase):
    """Send as many retries as allowed at several hosts."""

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.floats(0, 0.3), st.booleans()),
            max_size=300,
        )
    )
    def test_all_hosts_together_stay_within_the_bound(self, events):
        budgets = [
            FleetRetryBudget(RATIO, SLACK, WINDOW_SECONDS) for _ in range(3)
        ]
        now, requests, retries = 0, [], []
        for host, pause, is_request in events:
            now += pause
            if is_request:
                budgets[host].record_request(now)
                requests.append(now)
            elif budgets[host].try_spend(3, now):
                retries.append(now)
            recent_retries = sum(
                sent_at > now - WINDOW_SECONDS for sent_at in retries
            )
            recent_requests = sum(
                sent_at > now - WINDOW_SECONDS for sent_at in requests
            )
            self.assertLessEqual(
                recent_retries, RATIO * recent_requests + SLACK
            )

    def test_slack_is_available_again_after_the_window(self):
        budget = FleetRetryBudget(0, 5, WINDOW_SECONDS)
        self.assertEqual(
            [budget.try_spend(1, 0) for _ in range(6)].count(True), 4
        )
        self.assertTrue(budget.try_spend(1, WINDOW_SECONDS))


class HealthTest(unittest.TestCase):
    """Eject an unresponsive server, longer after each failure."""

    def test_ejections_grow_until_a_success(self):
        health, now, durations = ServerHealth(), 0, []
        for _ in range(6):
            health.record_no_response(now)
            durations.append(round(health.ejected_until - now, 6))
            now = health.ejected_until
        self.assertEqual(durations, sorted(durations))
        self.assertLessEqual(max(durations), 3)
        self.assertFalse(health.is_ejected(now))
        health.record_success()
        health.record_no_response(now)
        self.assertEqual(round(health.ejected_until - now, 6), durations[0])

    def test_simultaneous_failures_eject_once(self):
        health = ServerHealth()
        for _ in range(20):
            health.record_no_response(0)
        self.assertLess(health.ejected_until, 1)

    @given(st.lists(st.booleans(), max_size=100))
    def test_failing_ratio_stays_between_0_and_1(self, results):
        health = ServerHealth()
        for good in results:
            if good:
                health.record_success()
            else:
                health.record_failure()
            self.assertTrue(0 <= health.failing <= 1)
