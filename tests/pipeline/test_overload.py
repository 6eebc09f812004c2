"""Offer a service twice what it can run, then half of that again."""

import unittest

from benchmarks.overload import measure_window, run_phases

SECONDS = 24
SETTLE_SECONDS = 12
# Multiples of the mix's rate: all slots busy, twice that, all slots busy.
FACTORS = (4, 8, 4)
# The goal: goodput under overload within a tenth of the peak.
GOAL = 0.9


class OverloadTest(unittest.TestCase):
    """Run the entry hosts' stages over queues in virtual time."""

    def test_goodput_stays_and_recovers(self):
        phases = tuple((SECONDS, factor) for factor in FACTORS)
        outcome = run_phases(phases, admitting=True)
        before, during, after = (
            measure_window(outcome, begin + SETTLE_SECONDS, begin + SECONDS)[0]
            for begin in (0, SECONDS, 2 * SECONDS)
        )
        self.assertGreaterEqual(during, GOAL * before)
        self.assertGreaterEqual(after, GOAL * before)
        self.assertGreater(outcome.refused, 0)
