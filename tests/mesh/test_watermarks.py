"""Test combining watermarks of several hosts."""

import unittest
from unittest.mock import patch

from monsoonwall.mesh.board import Watermark
from monsoonwall.mesh.watermarks import (
    WatermarkTable,
    decode_watermarks,
    encode_watermarks,
)
from tests.upgrades.messages import EXPIRES_WALL, NOW, make_exchanger


def make_watermark(position, confirmed_at):
    return Watermark('record/server', bytes([position]), confirmed_at)


class WatermarkTest(unittest.TestCase):
    """Adopt watermarks that other hosts state."""

    def test_contradicting_watermarks_became_one_that_nobody_had_stated(self):
        """The later position was held to be as recent as the later time."""
        for first, second in (((7, 10.0), (6, 11.0)), ((6, 11.0), (7, 10.0))):
            with self.subTest(first=first):
                table = WatermarkTable()
                table.advance(make_watermark(*first))
                table.advance(make_watermark(*second))
                self.assertEqual(table.list_all(), (make_watermark(*first),))

    def test_later_watermark_is_adopted(self):
        table = WatermarkTable()
        for position, confirmed_at in ((6, 10.0), (6, 11.0), (8, 11.0)):
            table.advance(make_watermark(position, confirmed_at))
            self.assertEqual(
                table.find('record/server'),
                make_watermark(position, confirmed_at),
            )

    def test_watermark_is_never_received_as_more_recent(self):
        for age in (0.0001, 0.0004, 1.2344):
            messages = encode_watermarks([make_watermark(6, 10.0 - age)], 10.0)
            received = decode_watermarks(messages, 500.0)
            self.assertLessEqual(received[0].confirmed_at, 500.0 - age)


class RefusedFactsTest(unittest.TestCase):
    """Receive facts and watermarks in one exchange."""

    def find_received(self, now_wall, max_facts=100):
        """Return the watermark that a host has after an exchange."""
        source = make_exchanger('edge-1', informed=True)
        source.store.watermarks.advance(make_watermark(6, 990.0))
        target = make_exchanger('edge-10', informed=False)
        snapshot = target.take_snapshot(NOW)
        reply = source.make_reply(target.make_request(()), (), NOW)
        with patch('monsoonwall.mesh.facts.MAX_FACTS', max_facts):
            target.apply_reply(reply, NOW, now_wall, snapshot)
        return target.store.watermarks.find('record/server')

    def test_host_whose_clock_is_ahead_missed_facts_that_it_held_to_have(self):
        """It took them for expired, and adopted what covers them."""
        self.assertIsNone(self.find_received(EXPIRES_WALL + 1))
        self.assertIsNotNone(self.find_received(EXPIRES_WALL - 1))

    def test_host_whose_table_is_full_missed_facts_that_it_held_to_have(self):
        self.assertIsNone(self.find_received(NOW, max_facts=4))
        self.assertIsNotNone(self.find_received(NOW, max_facts=5))


if __name__ == '__main__':
    unittest.main()
