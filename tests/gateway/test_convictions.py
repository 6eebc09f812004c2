"""Keep convictions in the platform's store."""

import unittest

from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.suspects import CrashRecord, Suspicion
from monsoonwall.gateway.convictions import ConvictionKeeper
from monsoonwall.gateway.duties import Holder
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.platform.objects import StoreFailure
from tests.gateway.fakes import FakeBoard, MemoryStore

FIRST = Holder('a', 1)
SECOND = Holder('b', 2)


class ConvictionKeeperTest(unittest.IsolatedAsyncioTestCase):
    """End all hosts, or lose writes, while a request is convicted."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore()

    def make_host(self):
        screening = SuspectScreening(FakeBoard('a'), self.clock)
        return screening, ConvictionKeeper(screening, self.store)

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

    async def test_next_fleet_knows_the_convicted(self):
        screening, keeper = self.make_host()
        await keeper.step(FIRST)
        self.convict(screening)
        await keeper.step(FIRST)
        reborn, successor = self.make_host()
        self.assertIs(reborn.classify('poison'), Suspicion.none)
        await successor.step(SECOND)
        self.assertIs(reborn.classify('poison'), Suspicion.convicted)

    async def test_nothing_is_written_without_news(self):
        screening, keeper = self.make_host()
        now = self.clock.read_wall()
        screening.extend_expiry((CrashRecord(now, now, 's1', 'draft', False),))
        for _ in range(3):
            await keeper.step(FIRST)
        self.assertEqual(self.store.version, 0)
        self.convict(screening)
        for _ in range(3):
            await keeper.step(FIRST)
        self.assertEqual(self.store.version, 1)

    async def test_failed_calls_are_repeated(self):
        screening, keeper = self.make_host()
        self.store.failures = [StoreFailure.unavailable]
        await keeper.step(FIRST)
        self.convict(screening)
        self.store.failures = [StoreFailure.missing, StoreFailure.lost]
        for _ in range(3):
            await keeper.step(FIRST)
        self.convict(screening, 'another')
        await keeper.step(FIRST)
        reborn, successor = self.make_host()
        await successor.step(SECOND)
        for content in ('poison', 'another'):
            self.assertIs(reborn.classify(content), Suspicion.convicted)

    async def test_damaged_object_is_replaced(self):
        await self.store.create('crashing/convicted', b'{', None)
        screening, keeper = self.make_host()
        self.convict(screening)
        await keeper.step(FIRST)
        reborn, successor = self.make_host()
        await successor.step(SECOND)
        self.assertIs(reborn.classify('poison'), Suspicion.convicted)
