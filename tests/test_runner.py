"""Test that only failures listed as known are ignored."""

import unittest
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from unittest.mock import patch

from hypothesis import settings

from tests.runner import add_tallies, run_tests, run_virtual, tally_outcome


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


class ProfileTest(unittest.TestCase):
    """Load tests that have settings of their own."""

    def test_tests_were_loaded_before_their_profile(self):
        """Their examples were random, and failed when one was slow."""
        for run in (run_tests, run_virtual):
            with self.subTest(run=run.__name__):
                settings.load_profile('default')
                self.addCleanup(settings.load_profile, 'repeatable')
                self.assertEqual(self.read_settings(run), (None, True))

    def read_settings(self, run):
        """Return the settings of tests at the time at which they are loaded."""
        found = []

        def load(_loader, _names):
            found.append((settings().deadline, settings().derandomize))
            return unittest.TestSuite()

        output = StringIO()
        with (
            patch.object(unittest.TestLoader, 'loadTestsFromNames', load),
            redirect_stdout(output),
            redirect_stderr(output),
        ):
            run(['tests.none'])
        return found[0]
