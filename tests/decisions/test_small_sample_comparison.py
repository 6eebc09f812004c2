"""Check the comparison of two versions by small samples."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.evidence import Cell, CellKey, Increment, Side
from monsoonwall.decisions.small_sample_comparison import SmallSampleComparison

COUNTS = st.tuples(st.integers(1, 60), st.integers(0, 20))


def make_cell(side, trials, bad, route='r', group=0):
    """Return a cell in which this many answers are wrong."""
    faults = {0: min(bad, trials)}
    return Cell(CellKey(route, side, 'zone', group), trials, faults)


def compare(*cells):
    """Return the excess of the new version's bad answers in these cells."""
    comparison = SmallSampleComparison()
    comparison.add(Increment(cells=cells))
    return comparison.measure()


def compute_textbook_statistic(new, new_bad, old, old_bad):
    """Return the Mantel-Haenszel statistic of a single table."""
    total = new + old
    bad = new_bad + old_bad
    variance = new * old * bad * (total - bad) / (total**2 * (total - 1))
    if not variance:
        return 0
    return (new_bad - new * bad / total) / math.sqrt(variance)


class ComparisonTest(unittest.TestCase):
    """Check the verdicts on small samples."""

    def test_many_bad_answers_show_a_worse_version(self):
        excess = compare(
            make_cell(Side.old, 60, 2),
            make_cell(Side.new, 10, 4),
            make_cell(Side.new, 10, 5, group=1),
        )
        self.assertTrue(excess.worse)

    def test_route_without_old_answers_is_ignored(self):
        """A route with too short a timeout fails on every version."""
        excess = compare(
            make_cell(Side.old, 60, 2),
            make_cell(Side.new, 20, 0),
            make_cell(Side.new, 9, 9, route='short'),
        )
        self.assertFalse(excess.suspected)

    def test_one_bad_server_does_not_make_the_version_worse(self):
        excess = compare(
            make_cell(Side.old, 60, 2),
            make_cell(Side.new, 12, 8),
            make_cell(Side.new, 12, 0, group=1),
            make_cell(Side.new, 12, 0, group=2),
        )
        self.assertTrue(excess.suspected)
        self.assertFalse(excess.worse)

    def test_routes_with_many_errors_weigh_less(self):
        """The new version gets only the route that fails on both versions."""
        excess = compare(
            make_cell(Side.old, 50, 1),
            make_cell(Side.old, 10, 5, route='odd'),
            make_cell(Side.new, 14, 7, route='odd'),
        )
        self.assertFalse(excess.suspected)

    def test_slow_answers_count_as_bad(self):
        key = CellKey('r', Side.old, 'zone', 0)
        old = Cell(key, 40, first_token={10: 20, 11: 20})
        key = CellKey('r', Side.new, 'zone', 0)
        new = Cell(key, 10, first_token={17: 10})
        self.assertTrue(compare(old, new).worse)

    def test_lost_answers_do_not_count(self):
        key = CellKey('r', Side.new, 'zone', 0)
        lost = Cell(key, 20, losses={0: 20})
        excess = compare(make_cell(Side.old, 40, 1), lost)
        self.assertEqual(excess.answers, 0)

    @given(COUNTS, COUNTS)
    def test_one_route_matches_textbook_formula(self, new, old):
        new_bad = min(new)
        old_bad = min(old)
        excess = compare(
            make_cell(Side.new, new[0], new_bad),
            make_cell(Side.old, old[0], old_bad),
        )
        self.assertAlmostEqual(
            excess.deviations,
            compute_textbook_statistic(new[0], new_bad, old[0], old_bad),
        )
