"""Test that a log reopened after a restart is not dropped."""

import unittest

from msgspec import msgpack

from monsoonwall.decisions.gossip import Identity
from monsoonwall.decisions.membership import Membership, Timing
from monsoonwall.mesh.logs import OriginLog
from monsoonwall.mesh.store import (
    HOST_KIND,
    SUMMARY_ZONE,
    HostRecord,
    RecordStore,
)

NAME = 'zone/a/edge-1'
RECORD = HostRecord('edge-1', 'a', 'r', '10.0.0.1:1')


def make_store(now):
    """Return the store of a host that has just started."""
    return RecordStore(
        Identity('edge-1', 'a', 'r'),
        2,
        Membership(Timing(), now),
        lambda record: None,
    )


class ReopenedLogTest(unittest.TestCase):
    """Restart the relay of a zone.

    A peer sends the relay a copy of the summary log that the relay wrote
    before the restart. That log gets no more heartbeats and times out. Once,
    this also dropped the new log of the same name, so that other zones no
    longer received any summary of the zone.
    """

    def setUp(self):
        self.now = 1000.0
        self.store = make_store(self.now)
        earlier = OriginLog(NAME, SUMMARY_ZONE, 1)
        self.store.write(earlier, HOST_KIND, '', msgpack.encode(RECORD))
        self.store.write(earlier, 'load', '', b'old')
        self.store.apply_deltas([earlier.make_delta(0, 10_000)], self.now)
        self.log = OriginLog(NAME, SUMMARY_ZONE, 3)
        self.store.open_log(self.log)

    def run_rounds(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            self.store.begin_round(self.now, self.now)

    def test_log_is_kept(self):
        self.store.write(self.log, 'load', '', b'new')
        self.run_rounds(30)
        self.assertIs(self.store.logs.find(NAME), self.log)

    def test_earlier_records_are_dropped(self):
        self.assertEqual(self.store.read_entries('load'), ())
        self.assertEqual(self.store.list_host_logs(), ())
