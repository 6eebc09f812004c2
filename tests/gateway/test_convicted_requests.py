"""Persist the crash records of convicted requests."""

import unittest

from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.crashing_requests import CrashRecord, Suspicion
from monsoonwall.gateway.convicted_requests import (
    CONTENTS_KEY,
    PARTS_KEY,
    ConvictedRequestStore,
)
from monsoonwall.gateway.duties import LeaseHolder
from monsoonwall.pipeline.part_screening import PartScreening
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.platform.objects import StoreFailure
from tests.gateway.fakes import FakeBoard, MemoryStore

FIRST = LeaseHolder('a', 1)
SECOND = LeaseHolder('b', 2)


class ConvictedRequestStoreTest(unittest.IsolatedAsyncioTestCase):
    """Restart all hosts, or fail store calls, around a conviction."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore()

    def make_host(self):
        screening = SuspectScreening(FakeBoard('a'), self.clock)
        return screening, ConvictedRequestStore(
            screening, self.store, CONTENTS_KEY
        )

    def convict(self, screening, content='poison'):
        self.clock.advance(10)
        now = self.clock.read_wall()
        screening.extend_expiry(
            (
                CrashRecord(now - 2, now - 3, 's1', content, False),
                CrashRecord(now, now - 1, 's2', content, True),
            )
        )
        self.assertIs(screening.classify(content), Suspicion.convicted)

    async def test_convictions_survive_a_restart_of_all_hosts(self):
        screening, record_store = self.make_host()
        await record_store.step(FIRST)
        self.convict(screening)
        await record_store.step(FIRST)
        next_screening, next_store = self.make_host()
        self.assertIs(next_screening.classify('poison'), Suspicion.none)
        await next_store.step(SECOND)
        self.assertIs(next_screening.classify('poison'), Suspicion.convicted)

    async def test_convicted_parts_survive_a_restart_of_all_hosts(self):
        parts = PartScreening(FakeBoard('a'), self.clock)
        now = self.clock.read_wall()
        parts.extend_expiry(
            CrashRecord(now + turn, now + turn, f's{turn}', 'bad', False)
            for turn in range(4)
        )
        record_store = ConvictedRequestStore(parts, self.store, PARTS_KEY)
        await record_store.step(FIRST)
        await record_store.step(FIRST)
        next_parts = PartScreening(FakeBoard('a'), self.clock)
        next_store = ConvictedRequestStore(next_parts, self.store, PARTS_KEY)
        self.assertEqual(next_parts.list_conviction_records(), ())
        await next_store.step(SECOND)
        self.assertEqual(
            next_parts.list_conviction_records(),
            parts.list_conviction_records(),
        )
        self.assertEqual(len(parts.list_conviction_records()), 4)

    async def test_unchanged_records_are_not_written_again(self):
        screening, record_store = self.make_host()
        now = self.clock.read_wall()
        screening.extend_expiry((CrashRecord(now, now, 's1', 'draft', False),))
        for _ in range(3):
            await record_store.step(FIRST)
        self.assertEqual(self.store.version, 0)
        self.convict(screening)
        for _ in range(3):
            await record_store.step(FIRST)
        self.assertEqual(self.store.version, 1)

    async def test_failed_store_calls_are_retried(self):
        screening, record_store = self.make_host()
        self.store.failures = [StoreFailure.unavailable]
        await record_store.step(FIRST)
        self.convict(screening)
        self.store.failures = [StoreFailure.missing, StoreFailure.lost]
        for _ in range(3):
            await record_store.step(FIRST)
        self.convict(screening, 'another')
        await record_store.step(FIRST)
        next_screening, next_store = self.make_host()
        await next_store.step(SECOND)
        for content in ('poison', 'another'):
            self.assertIs(next_screening.classify(content), Suspicion.convicted)

    async def test_malformed_object_is_replaced(self):
        await self.store.create('crashing/convicted', b'{', None)
        screening, record_store = self.make_host()
        self.convict(screening)
        await record_store.step(FIRST)
        next_screening, next_store = self.make_host()
        await next_store.step(SECOND)
        self.assertIs(next_screening.classify('poison'), Suspicion.convicted)
