"""Check goodput during and after an overload of twice the capacity."""

import unittest

from benchmarks.overload import measure_window, run_phases

PHASE_SECONDS = 24
SETTLE_SECONDS = 12
# Multiples of the traffic mix's rate: at capacity, twice that, at capacity.
FACTORS = (4, 8, 4)
# Least goodput during and after the overload, as a share of that before.
MIN_GOODPUT_RATIO = 0.9


class OverloadTest(unittest.TestCase):
    """Simulate entry hosts and server queues in virtual time."""

    def test_goodput_stays_and_recovers(self):
        phases = tuple((PHASE_SECONDS, factor) for factor in FACTORS)
        outcome = run_phases(phases, enforce_limits=True)
        before, during, after = (
            measure_window(
                outcome, begin + SETTLE_SECONDS, begin + PHASE_SECONDS
            )[0]
            for begin in (0, PHASE_SECONDS, 2 * PHASE_SECONDS)
        )
        self.assertGreaterEqual(during, MIN_GOODPUT_RATIO * before)
        self.assertGreaterEqual(after, MIN_GOODPUT_RATIO * before)
        self.assertGreater(outcome.refused, 0)
