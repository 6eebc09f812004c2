"""Check goodput during and after an overload of twice the capacity."""

import unittest

from benchmarks.overload import measure_window, run_phases

SECONDS = 24
SETTLE_SECONDS = 12
# Multiples of the traffic mix's rate: at capacity, twice that, at capacity.
FACTORS = (4, 8, 4)
# Goodput under overload must stay within a tenth of that at capacity.
GOAL = 0.9


class OverloadTest(unittest.TestCase):
    """Simulate entry hosts and server queues in virtual time."""

    def test_goodput_stays_and_recovers(self):
        phases = tuple((SECONDS, factor) for factor in FACTORS)
        outcome = run_phases(phases, enforce_limits=True)
        before, during, after = (
            measure_window(outcome, begin + SETTLE_SECONDS, begin + SECONDS)[0]
            for begin in (0, SECONDS, 2 * SECONDS)
        )
        self.assertGreaterEqual(during, GOAL * before)
        self.assertGreaterEqual(after, GOAL * before)
        self.assertGreater(outcome.refused, 0)
