"""Check how a move splits its traffic over time."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.traffic import (
    FIRST_REQUESTS,
    MoveProgress,
    find_position,
    plan_share,
)

# Seconds from a move's start to its deadline.
SPAN = 1000
TENTH = 0.1
RATES = st.none() | st.floats(0, 32_000)
PROGRESS = st.builds(
    MoveProgress,
    st.just(0),
    st.just(SPAN),
    RATES,
    st.floats(0.01, 0.99),
    st.floats(0, 500),
    st.integers(0, 5000),
    st.booleans(),
)


class TrafficTest(unittest.TestCase):
    """Check the planned shares and the hashes of requests."""

    def check_between(self, share, maximum):
        self.assertGreaterEqual(share, 0)
        self.assertLessEqual(share, maximum)

    @given(PROGRESS, st.floats(-SPAN, 3 * SPAN))
    def test_share_stays_within_its_bounds(self, progress, now):
        share = plan_share(progress, now)
        if now < 0:
            self.assertEqual(share, 0)
        elif share < 1:
            self.check_between(share, progress.fair_share)
        else:
            # An untested or suspected version never gets all requests.
            self.assertFalse(progress.suspected)
            self.assertGreater(progress.judged, 0)

    @given(PROGRESS, st.floats(0, SPAN / 2))
    def test_unanswered_requests_stop_the_move(self, progress, now):
        """No more requests are sent while too many are unanswered."""
        if progress.unanswered >= max(FIRST_REQUESTS, progress.judged):
            self.assertEqual(plan_share(progress, now), 0)

    @given(st.floats(0.1, 32_000), st.floats(0.1, 0.9))
    def test_first_step_sends_few_requests(self, rate, fair_share):
        """The first step sends at most a fixed number of requests."""
        progress = MoveProgress(0, SPAN, rate, fair_share, 0, 0, False)
        # The first step takes a twentieth of the move.
        sent = plan_share(progress, 0) * rate * SPAN / 20
        self.assertLessEqual(sent, FIRST_REQUESTS * 1.001)

    def test_positions_are_uniform_and_independent(self):
        """Positions are uniform, and independent between moves."""
        ids = [f'entry-{number % 8}.{number}' for number in range(4000)]
        first = {
            request_id
            for request_id in ids
            if find_position('a', request_id) < TENTH
        }
        second = {
            request_id
            for request_id in ids
            if find_position('b', request_id) < TENTH
        }
        self.assertAlmostEqual(len(first) / len(ids), TENTH, delta=0.02)
        self.assertLess(len(first & second), len(first) / 4)
