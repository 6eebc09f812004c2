"""Test that only failures listed as known are ignored."""

import unittest

from tests.runner import add_tallies, tally_outcome


def _fail_on_purpose():
    raise AssertionError


class TallyTest(unittest.TestCase):
    """Count a failing test with and without an entry for it."""

    def setUp(self):
        self.outcome = unittest.TestResult()
        self.case = unittest.FunctionTestCase(_fail_on_purpose)
        self.case.run(self.outcome)

    def test_new_failure_counts(self):
        tally = tally_outcome(self.outcome, frozenset())
        self.assertEqual((tally.passed, tally.failed), (0, 1))

    def test_known_failure_is_excused(self):
        known = frozenset((self.case.id(),))
        tally = tally_outcome(self.outcome, known)
        self.assertEqual(tally.failed, 0)
        self.assertEqual(tally.known_red, tuple(known))

    def test_failures_of_both_parts_count(self):
        known = frozenset((self.case.id(), 'other'))
        excused = tally_outcome(self.outcome, known)
        failed = tally_outcome(self.outcome, frozenset(('other',)))
        tally = add_tallies(excused, failed)
        self.assertEqual((tally.passed, tally.failed), (0, 1))
        self.assertEqual(tally.known_red, (self.case.id(),))
        self.assertEqual(tally.not_failing, ('other',))
