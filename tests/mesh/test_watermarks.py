"""Test combining watermarks of several hosts."""

import unittest

from monsoonwall.mesh.board import Watermark
from monsoonwall.mesh.watermarks import (
    WatermarkTable,
    decode_watermarks,
    encode_watermarks,
)


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


if __name__ == '__main__':
    unittest.main()
