"""Test hosts that watch a store which stops responding without an error."""

import asyncio
import unittest
from random import Random

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_watchers import (
    RecordWatcher,
    WatchSchedule,
)
from monsoonwall.gateway.records import RecordKind
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.store import PlatformStore
from tests.gateway.fakes import FakeBoard
from tests.standins import metadata_store

HOSTS = tuple(f'edge-{number}' for number in range(6))
# Within this time after a fault a host must work again.
CONTACT_SECONDS = 3.0
# Within this time a configuration must be in force on all hosts.
CONFIGURATION_SECONDS = 2.0


class ZonePeers(Peers):
    """List all other hosts of the zone."""

    def __init__(self, own_name, hosts):
        self._own_name = own_name
        self._hosts = hosts

    def list_peers(self):
        return tuple(
            Peer(name, 'a', 'north', '127.0.0.1:1', 1, False)
            for name in self._hosts
            if name != self._own_name
        )

    def find_channel(self, name):
        """Return None, since no calls are made."""


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """Watch the configuration on the hosts of one zone."""

    async def asyncSetUp(self):
        self.store = metadata_store.Store()
        self.addresses = []
        for _ in range(2):
            server, address = metadata_store.listen(self.store)
            self.addCleanup(server.stop)
            self.addresses.append(address)
        self.tasks = []
        self.caches = {}
        self.shared_entries = {}
        self.configure(version=1)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    def configure(self, version):
        self.store.put('config', 'main', {'version': version})

    def start_watcher(self, name, address, hosts=HOSTS):
        clock = SystemClock()
        cache = RecordCache(PlatformCodec(), clock, 2)
        self.caches[name] = cache
        watcher = RecordWatcher(
            RecordKind.catalogue,
            PlatformStore(address, clock),
            cache,
            clock,
            Random(name),
            WatchSchedule(
                FakeBoard(name, self.shared_entries),
                ZonePeers(name, hosts),
                clock,
                name,
                'a',
            ),
            first_start=False,
        )
        self.tasks.append(asyncio.create_task(watcher.run()))

    def read_version(self, name):
        catalogue = self.caches[name].catalogue
        return catalogue.version if catalogue else 0

    async def wait_for_version(self, version, hosts, seconds):
        """Wait until one of the hosts has adopted a version."""
        deadline = asyncio.get_running_loop().time() + seconds
        while all(self.read_version(name) < version for name in hosts):
            if asyncio.get_running_loop().time() > deadline:
                self.fail(f'no host has version {version} in {seconds} s')
            await asyncio.sleep(0.01)

    async def test_watch_lost_in_an_outage_does_not_delay_the_next_change(self):
        name = HOSTS[0]
        self.start_watcher(name, self.addresses[0], hosts=(name,))
        await self.wait_for_version(1, [name], 1)
        self.configure(version=2)
        await self.wait_for_version(2, [name], 1)
        # The next watch begins while the store is silent.
        self.store.silence(self.addresses[0])
        await asyncio.sleep(1)
        self.store.respond_again(self.addresses[0])
        self.configure(version=3)
        await self.wait_for_version(3, [name], CONTACT_SECONDS)

    async def test_change_is_known_while_the_store_ignores_a_watching_host(
        self,
    ):
        ignored = HOSTS[0]
        others = [host for host in HOSTS if host != ignored]
        self.start_watcher(ignored, self.addresses[0])
        for name in others:
            self.start_watcher(name, self.addresses[1])
        for name in HOSTS:
            await self.wait_for_version(1, [name], 1)
        self.store.silence(self.addresses[0])
        self.configure(version=2)
        await self.wait_for_version(2, others, CONFIGURATION_SECONDS)


if __name__ == '__main__':
    unittest.main()
