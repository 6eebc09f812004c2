"""Test that hosts know the fencing numbers that others have used."""

import unittest

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.fencing_numbers import FencingNumbers
from tests.gateway.fakes import FakeBoard


class FencingNumbersTest(unittest.TestCase):
    """Publish numbers on one host and read them on another."""

    def test_latest_number_of_all_hosts_is_read(self):
        clock = ManualClock()
        boards = [FakeBoard(name) for name in 'ab']
        boards[1].facts = boards[0].facts
        first, second = (FencingNumbers(board, clock) for board in boards)
        self.assertEqual(second.read_latest(), 0)
        first.publish(300)
        self.assertEqual(second.read_latest(), 300)


if __name__ == '__main__':
    unittest.main()
