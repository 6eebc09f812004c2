"""Test hosts whose store returns from an older copy of its content."""

import asyncio
import unittest
from random import Random

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_gossip import RecordGossip
from monsoonwall.gateway.record_watchers import WatchSchedule, make_watchers
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.store import PlatformStore
from tests.gateway.fakes import FakeBoard, NoPeers
from tests.standins import metadata_store

DRAIN_SECONDS = 2.0
# Within this time a confirmed change must be in force.
CONFIGURATION_SECONDS = 2.0
# Live servers are registered again within this time of the store's return.
REGISTRATION_SECONDS = 2.0
SERVER = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'zone-a',
    'state': 'ready',
    'slots': 4,
    'born': 1,
}


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Watch a store that loses its last changes when it returns."""

    async def asyncSetUp(self):
        self.store = metadata_store.Store()
        server, address = metadata_store.listen(self.store)
        self.address = address
        self.addCleanup(server.stop)
        self.tasks = []
        self.configure(version=1)
        self.store.put('servers', 'i-1', SERVER)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    def configure(self, version):
        self.store.put('config', 'main', {'version': version})

    def start_host(self, name):
        clock = SystemClock()
        cache = RecordCache(PlatformCodec(), clock, DRAIN_SECONDS)
        board = FakeBoard(name)
        watchers = make_watchers(
            PlatformStore(self.address, clock),
            cache,
            clock,
            Random(name),
            WatchSchedule(board, NoPeers(), clock, name, 'zone-a'),
            first_start=False,
        )
        gossip = RecordGossip(board, cache, clock, Random(name))
        self.tasks += [
            asyncio.create_task(part.run()) for part in (*watchers, gossip)
        ]
        return cache

    async def wait_until(self, condition, seconds=CONFIGURATION_SECONDS):
        deadline = asyncio.get_running_loop().time() + seconds
        while not condition():
            if asyncio.get_running_loop().time() > deadline:
                self.fail(f'not reached in {seconds} s')
            await asyncio.sleep(0.01)

    async def wait_for_version(self, cache, version):
        await self.wait_until(
            lambda: cache.catalogue and cache.catalogue.version == version
        )

    async def check_for(self, seconds, condition):
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            self.assertTrue(condition())
            await asyncio.sleep(0.02)

    def is_used(self, cache, name):
        return any(
            server.name == name and not server.leaving
            for server in cache.list_servers('llm')
        )

    async def test_change_after_the_return_is_in_force(self):
        """Changes with lower revisions than before were never adopted."""
        cache = self.start_host('edge-1')
        content = self.store.copy()
        for version in (2, 3, 4):
            self.configure(version)
        await self.wait_for_version(cache, 4)
        self.store.restore(content)
        await asyncio.sleep(0.5)
        self.configure(version=5)
        await self.wait_for_version(cache, 5)

    async def test_change_while_the_revisions_catch_up_is_in_force(self):
        """A watch skipped the changes up to the revision it waited at."""
        cache = self.start_host('edge-1')
        content = self.store.copy()
        self.configure(version=2)
        await self.wait_for_version(cache, 2)
        self.store.restore(content)
        for number in range(5):
            self.store.put('other', f'object-{number}', {})
        self.configure(version=3)
        await self.wait_for_version(cache, 3)

    async def test_configuration_of_the_copy_is_not_taken(self):
        cache = self.start_host('edge-1')
        content = self.store.copy()
        self.configure(version=2)
        await self.wait_for_version(cache, 2)
        self.store.restore(content)
        self.store.put('other', 'object', {})
        self.store.put('other', 'object', {})
        await self.check_for(
            CONFIGURATION_SECONDS, lambda: cache.catalogue.version == 2
        )

    async def test_server_that_left_before_the_return_is_not_used(self):
        cache = self.start_host('edge-1')
        self.store.put('servers', 'i-2', SERVER)
        content = self.store.copy()
        await self.wait_until(lambda: self.is_used(cache, 'i-2'))
        self.store.put('servers', 'i-1', {**SERVER, 'state': 'draining'})
        self.store.delete('servers', 'i-2')
        await self.wait_until(lambda: not self.is_used(cache, 'i-2'))
        self.store.restore(content)
        await self.check_for(
            DRAIN_SECONDS,
            lambda: (
                not cache.catalogue
                or not any(self.is_used(cache, name) for name in ('i-1', 'i-2'))
            ),
        )

    async def test_server_that_the_copy_lacks_is_used_until_it_registers(self):
        cache = self.start_host('edge-1')
        content = self.store.copy()
        self.store.put('servers', 'i-2', SERVER)
        await self.wait_until(lambda: self.is_used(cache, 'i-2'))
        self.store.restore(content)
        await self.check_for(
            REGISTRATION_SECONDS, lambda: self.is_used(cache, 'i-2')
        )
        self.store.put('servers', 'i-2', SERVER)
        await self.check_for(
            2 * REGISTRATION_SECONDS, lambda: self.is_used(cache, 'i-2')
        )

    async def test_server_that_never_registers_again_is_dropped(self):
        cache = self.start_host('edge-1')
        content = self.store.copy()
        self.store.put('servers', 'i-2', SERVER)
        await self.wait_until(lambda: self.is_used(cache, 'i-2'))
        self.store.restore(content)
        await self.wait_until(
            lambda: not self.is_used(cache, 'i-2'),
            REGISTRATION_SECONDS + DRAIN_SECONDS,
        )


if __name__ == '__main__':
    unittest.main()
