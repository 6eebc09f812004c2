"""Draw memory for bodies that arrive in any order, whole or not."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.intake import IntakeAccount, make_intake_limits

MAX_BYTES = 24_000_000
LARGEST = 4_194_304
PIECE = 65_536
# A body may wait for room as long as this, in seconds.
PATIENCE = 2.0
STALL = 0.5


class IntakeAccountTest(unittest.TestCase):
    """Let bodies draw from one account."""

    def setUp(self):
        self.account = IntakeAccount(MAX_BYTES)

    def open(self, owner='key', now=0):
        return self.account.open(owner, LARGEST, now)

    def draw(self, holding, size, now=0):
        """Draw piece by piece until there is no room; return whether all."""
        for _ in range(size // PIECE):
            if not self.account.draw(holding, PIECE, now):
                return False
        return True

    def test_single_body_of_any_size_is_read(self):
        account = IntakeAccount(1000)
        holding = account.open('key', LARGEST, 0)
        self.assertTrue(account.draw(holding, LARGEST, 0))

    def test_large_bodies_leave_room_for_small_ones(self):
        crowd = [self.open() for _ in range(20)]
        read = [self.draw(holding, LARGEST) for holding in crowd]
        self.assertEqual(sum(read), 2)
        self.assertTrue(self.account.draw(self.open(), 2000, 0))

    def test_large_body_that_was_let_in_never_waits(self):
        first = self.open()
        self.assertTrue(self.draw(first, 2 * PIECE))
        for _ in range(20):
            self.draw(self.open(), LARGEST)
        self.assertTrue(self.draw(first, LARGEST - 2 * PIECE))

    def test_stalled_bodies_give_way_to_those_that_wait(self):
        stalled = [self.open() for _ in range(2)]
        for holding in stalled:
            self.draw(holding, LARGEST - PIECE)
        waiting = self.open(now=0.2)
        self.assertFalse(self.draw(waiting, 2 * PIECE, now=0.2))
        self.assertEqual(self.account.list_stalled(0.2), ())
        given_up = self.account.list_stalled(0.3 + STALL)
        self.assertEqual(len(given_up), 1)
        self.account.close(given_up[0])
        self.assertEqual(self.account.grant_waiting(), (waiting,))
        self.assertFalse(self.account.is_scarce)

    def test_bytes_that_trickle_are_no_progress(self):
        trickling = self.open()
        self.draw(trickling, LARGEST - PIECE)
        for tenth in range(20):
            self.account.draw(trickling, 2, tenth / 10)
        other = self.open()
        self.draw(other, LARGEST - PIECE, now=2)
        self.assertFalse(self.draw(self.open(), 2 * PIECE, now=2))
        self.assertEqual(self.account.list_stalled(2), (trickling,))

    def test_owner_that_holds_least_goes_first(self):
        for _ in range(2):
            self.draw(self.open('crowd'), LARGEST)
        crowd = [self.open('crowd') for _ in range(3)]
        for holding in crowd:
            self.assertFalse(self.draw(holding, LARGEST, now=0.1))
        other = self.open('other')
        self.assertFalse(self.draw(other, LARGEST, now=0.2))
        for holding in crowd[:2]:
            self.account.close(holding)
        self.account.close(next(iter(self.account.list_stalled(1))))
        self.assertEqual(self.account.grant_waiting()[0], other)

    def test_body_without_room_is_overdue_after_a_time(self):
        for _ in range(3):
            self.draw(self.open(), LARGEST)
        waiting = self.open()
        self.draw(waiting, LARGEST)
        self.assertNotIn(waiting, self.account.list_overdue(PATIENCE - 0.1))
        self.assertIn(waiting, self.account.list_overdue(PATIENCE))

    def test_served_bodies_are_not_given_up(self):
        served = self.open()
        self.draw(served, LARGEST)
        self.account.complete(served)
        for _ in range(5):
            self.draw(self.open(), LARGEST, now=10)
        self.assertNotIn(served, self.account.list_stalled(10))

    def test_unread_responses_are_given_up_when_too_much_is_held(self):
        unread = [self.account.open('', 0, 0) for _ in range(30)]
        for holding in unread:
            self.account.hold_unsent(holding, 1_000_000)
        self.assertTrue(self.account.is_over)
        self.assertEqual(len(self.account.list_stalled(STALL)), 6)

    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(1, 40)), max_size=60)
    )
    def test_account_is_kept_but_for_a_single_body(self, steps):
        """What is reserved never exceeds the account, nor goes below zero."""
        account = IntakeAccount(3_000_000)
        holdings = [
            account.open(str(number % 3), 1_000_000, 0) for number in range(10)
        ]
        stopped = set()
        for now, (index, pieces) in enumerate(steps):
            holding = holdings[index]
            if index in stopped:
                account.close(holding)
                continue
            if not account.draw(holding, pieces * 10_000, now):
                stopped.add(index)
            self.assertLessEqual(account.used, max(3_000_000, holding.reserved))
        for holding in holdings:
            account.close(holding)
        self.assertEqual(account.used, 0)
        self.assertFalse(account.is_scarce)


class IntakeLimitsTest(unittest.TestCase):
    """Derive the bounds from the machine."""

    def test_bounds_grow_with_the_machine(self):
        small = make_intake_limits(160, 1638)
        large = make_intake_limits(552, 10_250)
        self.assertLess(small.max_bytes, 0.2 * 160_000_000)
        self.assertLess(small.max_channels, 1638 / 2)
        self.assertGreater(large.max_bytes, 3 * small.max_bytes)
        self.assertGreater(large.max_channels, 3 * small.max_channels)
        self.assertGreater(make_intake_limits(160, 0).max_channels, 0)


if __name__ == '__main__':
    unittest.main()
