"""Test watching the store's records and choosing the watching hosts."""

import asyncio
import unittest
from random import Random

from returns.result import Failure, Success

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_watchers import (
    WATCHERS_PER_ZONE,
    RecordWatcher,
    WatcherElection,
    is_chosen_watcher,
)
from monsoonwall.gateway.records import Listing, RecordKind, RecordSource
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.objects import StoreFailure
from tests.gateway.fakes import FakeBoard, NoPeers

HOSTS = tuple(f'edge-{number}' for number in range(1, 8))


class ScriptedSource(RecordSource):
    """Return given results in turn, and record the calls."""

    def __init__(self, results):
        self.results = results
        self.calls = []
        self.drained = asyncio.Event()

    async def list_records(self, kind, current):
        self.calls.append(('list', current))
        return await self._return_next()

    async def watch_records(self, kind, after, deadline):
        self.calls.append(('watch', after))
        return await self._return_next()

    async def _return_next(self):
        if not self.results:
            self.drained.set()
            await asyncio.sleep(3600)
        return self.results.pop(0)


class RecordWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Run one watcher against a scripted store."""

    async def watch(self, results, first_start=True):
        clock = SystemClock()
        self.election = WatcherElection(
            FakeBoard('edge-1'), NoPeers(), 'edge-1', 'a'
        )
        source = ScriptedSource(results)
        watcher = RecordWatcher(
            RecordKind.server,
            source,
            RecordCache(PlatformCodec(), clock, 2),
            clock,
            Random(1),
            self.election,
            first_start,
        )
        watcher_task = asyncio.create_task(watcher.run())
        await source.drained.wait()
        watcher_task.cancel()
        return source.calls

    async def test_first_listing_may_be_stale_but_not_later_ones(self):
        listing = Success(Listing((), 7))
        history_lost = Failure(StoreFailure.missing)
        calls = await self.watch(
            [listing, history_lost, listing, history_lost, listing]
        )
        self.assertEqual(
            calls[:4],
            [('list', False), ('watch', 7), ('list', True), ('watch', 7)],
        )

    async def test_restarted_host_requests_a_current_listing(self):
        """A stale listing could restore an API key that had been revoked."""
        listing = Success(Listing((), 7))
        calls = await self.watch([listing, listing], first_start=False)
        self.assertEqual(calls[0], ('list', True))

    async def test_refused_host_reports_the_store_as_unreachable(self):
        refused = Failure(StoreFailure.unavailable)
        await self.watch([refused, refused])
        self.assertEqual(self.election.list_unreachable_hosts(), {'edge-1'})

    def test_another_host_is_chosen_when_the_watcher_is_gone(self):
        watchers = {host for host in HOSTS if is_chosen_watcher(host, HOSTS)}
        self.assertEqual(len(watchers), WATCHERS_PER_ZONE)
        for gone in watchers:
            others = [host for host in HOSTS if host != gone]
            chosen = {
                host for host in others if is_chosen_watcher(host, others)
            }
            self.assertEqual(len(chosen), WATCHERS_PER_ZONE)
            self.assertLess(watchers - {gone}, chosen)
