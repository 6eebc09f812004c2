"""Test that hosts hold all records up to what has been confirmed to them."""

import asyncio
import unittest
from contextlib import suppress
from random import Random

from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.record_age import find_reading_time
from monsoonwall.gateway.record_confirmations import (
    Confirmation,
    RecordConfirmations,
)
from monsoonwall.gateway.record_gossip import (
    RECORD_KIND,
    RecordGossip,
    encode_record,
)
from monsoonwall.gateway.records import RecordKind
from monsoonwall.mesh.board import Fact, Watermark
from tests.gateway.fakes import FakeBoard
from tests.gateway.test_record_cache import make_record_cache, make_server
from tests.gateway.virtual_gateways import VirtualGateways
from tests.mesh.virtual_fleet import VirtualLoop, close_loop

ZONES = ('zone-a', 'zone-b', 'zone-c')
CONVERGENCE_SECONDS = 12
DRAIN_SECONDS = 3.0
SERVERS = 5
STEPS = 60
# Longer than the delay before a record is published.
PUBLISHING_SECONDS = 0.6


class RecordConfirmationsTest(unittest.TestCase):
    """Change servers while channels fall silent and hosts are cut off."""

    def run_fleet(self, hosts_per_zone, seed, *, deaf_seconds=0):
        loop = VirtualLoop()
        try:
            return loop.run_until_complete(
                self.disturb(loop, hosts_per_zone, Random(seed), deaf_seconds)
            )
        finally:
            close_loop(loop)

    async def disturb(self, loop, hosts_per_zone, random, deaf_seconds):
        gateways = VirtualGateways(ZONES, hosts_per_zone, loop, DRAIN_SECONDS)
        gateways.start()
        await asyncio.sleep(CONVERGENCE_SECONDS)
        hosts = list(gateways.caches)
        for _ in range(STEPS):
            gateways.store.write_server(f'i-{random.randrange(SERVERS)}')
            if not random.randrange(10):
                gateways.fleet.silence_channels()
            if not random.randrange(10):
                gateways.fleet.cut_off = set(random.sample(hosts, 3))
            if deaf_seconds and not random.randrange(4):
                until = loop.time() + deaf_seconds * random.random()
                gateways.fleet.deaf_until[random.choice(hosts)] = until
            await asyncio.sleep(random.random())
            for host in hosts:
                self.check_host(gateways, host)

    def check_host(self, gateways, host):
        """Compare what a host has been confirmed with the store's history."""
        kind = RecordKind.server
        confirmed = gateways.confirmations[host].find(kind)
        origin = gateways.fleet.clocks[host].origin
        held = {
            record.name: record.revision
            for record in gateways.caches[host].list_records(kind)
        }
        for record in gateways.store.history:
            if record.kind is kind and record.revision <= confirmed.revision:
                self.assertGreaterEqual(
                    held.get(record.name, 0), record.revision
                )
            written_at = gateways.store.written_at[record.position] - origin
            if record.kind is kind and written_at < confirmed.confirmed_at:
                self.assertGreaterEqual(confirmed.revision, record.revision)

    def test_confirmed_records_are_held(self):
        for hosts_per_zone, seed in ((3, 1), (3, 2), (10, 3)):
            with self.subTest(hosts_per_zone=hosts_per_zone, seed=seed):
                self.run_fleet(hosts_per_zone, seed)

    def test_response_that_was_read_late_confirmed_up_to_its_reading(self):
        """Its host, and others, then used servers that had left for long."""
        for hosts_per_zone, seed in ((1, 1), (3, 2), (10, 3)):
            with self.subTest(hosts_per_zone=hosts_per_zone, seed=seed):
                self.run_fleet(hosts_per_zone, seed, deaf_seconds=2)


class RecordAgeTest(unittest.TestCase):
    """Let a wide fleet run without faults."""

    async def find_greatest_age(self, loop):
        gateways = VirtualGateways(ZONES, 25, loop, DRAIN_SECONDS)
        gateways.store.write_server('i-1')
        gateways.start()
        await asyncio.sleep(20)
        ages = []
        for _ in range(STEPS):
            await asyncio.sleep(0.3)
            for host, confirmations in gateways.confirmations.items():
                now = gateways.fleet.clocks[host].read_monotonic()
                confirmed = confirmations.find(RecordKind.server)
                ages.append(now - confirmed.confirmed_at)
        return max(ages)

    def test_hosts_read_out_of_turn_without_faults(self):
        """Confirmations took up to 2.67 s to reach all hosts of a zone."""
        loop = VirtualLoop()
        try:
            age = loop.run_until_complete(self.find_greatest_age(loop))
        finally:
            close_loop(loop)
        self.assertLess(age, find_reading_time(0, DRAIN_SECONDS))


class AnnouncedKindsTest(unittest.TestCase):
    """Confirm records of each kind."""

    def test_hosts_exchanged_confirmations_that_none_depends_on(self):
        board = FakeBoard('edge-1')
        confirmations = RecordConfirmations(board)
        for kind in RecordKind:
            confirmations.confirm(Confirmation(kind, 0, 7, 0))
            self.assertEqual(confirmations.find(kind).revision, 7)
        self.assertEqual(
            {watermark.key for watermark in board.watermarks.list_all()},
            {'current-record/catalogue', 'current-record/server'},
        )

    def test_hosts_relied_on_overstated_confirmations_of_earlier_builds(self):
        """Hosts of both run side by side during an upgrade."""
        board = FakeBoard('edge-1')
        confirmations = RecordConfirmations(board)
        confirmations.confirm(Confirmation(RecordKind.server, 0, 7, 10.0))
        stated = board.find_watermark('current-record/server')
        board.advance_watermark(
            Watermark('record/server', stated.position, 12.0)
        )
        self.assertEqual(
            confirmations.find(RecordKind.server).confirmed_at, 10.0
        )


class ReceivedRecordsTest(unittest.TestCase):
    """Receive a confirmation together with the records that it covers."""

    def test_records_were_confirmed_before_they_had_been_adopted(self):
        """The task that adopts them may just have failed."""
        clock = ManualClock()
        board = FakeBoard('edge-1')
        confirmations = RecordConfirmations(board)
        RecordGossip(
            board, make_record_cache(clock), clock, Random(1), confirmations
        )
        confirmations.confirm(Confirmation(RecordKind.server, 0, 7, 0))
        departure = make_server('i-1', 9, state='draining')
        board.subscribe(RECORD_KIND).put_nowait(
            Fact(RECORD_KIND, 'server/i-1', encode_record(departure), 3600)
        )
        others = RecordConfirmations(board)
        others.confirm(Confirmation(RecordKind.server, 0, 9, 1))
        self.assertEqual(confirmations.find(RecordKind.server).revision, 7)


class FailingBoard(FakeBoard):
    """Fail to publish the first fact."""

    def __init__(self, name):
        super().__init__(name)
        self.fails = True

    def publish_fact(self, fact):
        if self.fails:
            self.fails = False
            raise OSError('not published')
        super().publish_fact(fact)


class FailedPublishingTest(unittest.IsolatedAsyncioTestCase):
    """Publish a record by a task that fails and is started again."""

    async def test_record_is_published_before_it_is_confirmed(self):
        """The record was lost, and later ones were confirmed."""
        clock = ManualClock()
        board = FailingBoard('edge-1')
        record_cache = make_record_cache(clock)
        confirmations = RecordConfirmations(board)
        gossip = RecordGossip(
            board, record_cache, clock, Random(1), confirmations
        )
        record_cache.adopt(make_server('i-1', 7))
        confirmations.confirm(Confirmation(RecordKind.server, 0, 7, 0))
        for _ in range(2):
            with suppress(ExceptionGroup, TimeoutError):
                async with asyncio.timeout(PUBLISHING_SECONDS):
                    await gossip.run()
        self.assertIn((RECORD_KIND, 'server/i-1'), board.facts)
        self.assertEqual(len(board.watermarks.list_all()), 1)


if __name__ == '__main__':
    unittest.main()
