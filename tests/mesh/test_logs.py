"""Test that a copy of a log always equals some state of its origin."""

import unittest

from monsoonwall.mesh.logs import LogTable, OriginLog
from monsoonwall.mesh.wire.gossip_pb2 import LogRecord


class LogTest(unittest.TestCase):
    """Apply deltas of one origin to a table."""

    def setUp(self):
        self.log = OriginLog('north', 'zone', 7)
        for number in (1, 2, 3):
            self.log.append(
                LogRecord(kind='kind', key=f'{number}', sequence=number)
            )
        self.table = LogTable()

    def test_delta_that_leaves_a_gap_is_ignored(self):
        self.table.apply(self.log.make_delta(0, 1))
        self.assertEqual(self.table.apply(self.log.make_delta(2, 100)), ())
        self.assertEqual(self.table.find('north').sequence, 1)

    def test_delta_of_an_earlier_incarnation_is_ignored(self):
        self.table.apply(self.log.make_delta(0, 100))
        earlier = OriginLog('north', 'zone', 6)
        earlier.append(LogRecord(kind='kind', key='old', sequence=9))
        self.assertEqual(self.table.apply(earlier.make_delta(0, 100)), ())
        self.assertEqual(self.table.find('north').incarnation, 7)
