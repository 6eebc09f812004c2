"""Test the client of the metadata store and the decoding of its records."""

import time
import unittest

from returns.pipeline import is_successful

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.records import RecordKind
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.objects import CallReason, StoreFailure
from monsoonwall.platform.store import PlatformStore
from tests.standins.metadata_store import Store, listen

SERVER = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'zone-a',
    'state': 'ready',
    'slots': 4,
    'born': 1,
}


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Call a simulated metadata store."""

    async def asyncSetUp(self):
        self.store = Store()
        server, address = listen(self.store)
        self.addCleanup(server.stop)
        self.client = PlatformStore(address, SystemClock())

    async def watch(self, after, kind=RecordKind.server):
        return await self.client.watch_records(
            kind, after, time.monotonic() + 0.2
        )

    async def test_recreated_server_follows_its_deletion(self):
        # One response contains the deletion and the new object; its revision
        # is above that of the new object.
        self.store.put('servers', 'i-1', SERVER)
        after = self.store.revision
        self.store.delete('servers', 'i-1')
        self.store.put('servers', 'i-1', {**SERVER, 'born': 2})
        self.store.put('other', 'later', {})
        changes = (await self.watch(after)).unwrap()
        self.assertEqual(changes.revision, after + 3)
        removed, added = changes.records
        self.assertIsNone(removed.content)
        self.assertLess(removed.revision, added.revision)

    async def test_malformed_objects_do_not_hide_valid_ones(self):
        self.store.put('servers', 'i-1', SERVER)
        self.store.objects['servers', 'odd'] = {'metadata': 7}
        self.store.objects['servers', 'text'] = 'not an object'
        listed = await self.client.list_records(RecordKind.server, current=True)
        names = [record.name for record in listed.unwrap().records]
        self.assertEqual(names, ['i-1'])

    async def test_only_main_configuration_is_listed(self):
        self.store.put('config', 'main', {'version': 1})
        self.store.put('config', 'draft', {'version': 9})
        listed = await self.client.list_records(
            RecordKind.catalogue, current=True
        )
        names = [record.name for record in listed.unwrap().records]
        self.assertEqual(names, ['main'])

    async def test_object_that_changed_between_pages_was_never_read(self):
        """A list of two pages claimed the revision of the second one."""
        for name in ('i-1', 'i-2'):
            self.store.put('servers', name, SERVER)
        self.store.page_size = 1
        before = self.store.revision

        def leave():
            self.store.on_list = lambda: None
            self.store.put('servers', 'i-1', {**SERVER, 'state': 'draining'})

        self.store.on_list = leave
        listed = await self.client.list_records(RecordKind.server, current=True)
        listing = listed.unwrap()
        self.assertEqual(len(listing.records), 2)
        self.assertEqual(listing.revision, before)

    async def test_watch_reports_discarded_history(self):
        self.store.put('servers', 'i-1', SERVER)
        self.store.compact_history()
        self.assertIs((await self.watch(1)).failure(), StoreFailure.missing)

    async def test_watch_ends_without_changes(self):
        began = time.monotonic()
        changes = (await self.watch(self.store.revision)).unwrap()
        self.assertEqual(changes.records, ())
        self.assertLess(began + 0.19, changes.current_at)
        self.assertLess(changes.current_at, time.monotonic())

    async def test_response_with_changes_is_as_old_as_its_call(self):
        after = self.store.revision
        self.store.put('servers', 'i-1', SERVER)
        self.store.on_watch = lambda: time.sleep(0.1)
        began = time.monotonic()
        changes = (await self.watch(after)).unwrap()
        self.assertLess(changes.current_at, began + 0.1)
        listed = await self.client.list_records(
            RecordKind.server, current=False
        )
        self.assertEqual(listed.unwrap().current_at, float('-inf'))

    async def write_and_lose(self):
        """Return the version of an object that the store then loses.

        Another object with the same key and revision takes its place.
        """
        content = self.store.copy()
        created = await self.client.create(
            'leases/duties', b'"a"', CallReason.lease
        )
        self.store.restore(content)
        self.store.put('monsoonwall-leases', 'duties', 'b')
        return created.unwrap().version

    async def test_write_based_on_an_earlier_era_is_not_sent(self):
        """A revision that is given out again let it replace other content."""
        version = await self.write_and_lose()
        await self.client.read('leases/duties', CallReason.lease)
        written = await self.client.update(
            'leases/duties', b'"c"', version, CallReason.lease
        )
        self.assertIs(written.failure(), StoreFailure.conflict)
        self.assertEqual(self.client.era, 1)

    async def test_write_that_meets_a_new_era_may_have_taken_effect(self):
        version = await self.write_and_lose()
        written = await self.client.update(
            'leases/duties', b'"c"', version, CallReason.lease
        )
        self.assertIs(written.failure(), StoreFailure.lost)

    async def test_changes_of_a_new_era_are_told_apart(self):
        self.store.put('servers', 'i-1', SERVER)
        content = self.store.copy()
        after = self.store.revision
        self.store.restore(content)
        self.store.put('servers', 'i-2', SERVER)
        changes = (await self.watch(after)).unwrap()
        self.assertEqual(changes.era, 1)
        self.assertEqual(changes.records[0].position, (1, after + 1))

    async def test_writes_are_conditional_on_the_version(self):
        created = await self.client.create(
            'leases/a', b'{"x":1}', CallReason.lease
        )
        version = created.unwrap().version
        written = await self.client.update(
            'leases/a', b'{"x":2}', version, CallReason.lease
        )
        self.assertTrue(is_successful(written))
        outdated = await self.client.update(
            'leases/a', b'{"x":3}', version, CallReason.lease
        )
        self.assertIs(outdated.failure(), StoreFailure.conflict)
        duplicate = await self.client.create(
            'leases/a', b'{}', CallReason.lease
        )
        self.assertIs(duplicate.failure(), StoreFailure.conflict)
        read = (await self.client.read('leases/a', CallReason.lease)).unwrap()
        self.assertEqual(read.content, b'{"x":2}')
        kinds = {kind for kind, _ in self.store.objects}
        self.assertEqual(kinds, {'monsoonwall-leases'})

    async def test_failures_show_whether_a_write_may_have_happened(self):
        self.store.refuse = True
        refused = await self.client.create('a/b', b'{}', CallReason.lease)
        self.assertIs(refused.failure(), StoreFailure.unavailable)
        self.store.refuse = False
        self.store.lose_responses = True
        lost = await self.client.create('a/b', b'{}', CallReason.lease)
        self.assertIs(lost.failure(), StoreFailure.lost)
        self.store.lose_responses = False
        missing = await self.client.read('a/c', CallReason.lease)
        self.assertIs(missing.failure(), StoreFailure.missing)
        unreached = PlatformStore('127.0.0.1:1', SystemClock())
        failed = await unreached.create('a/b', b'{}', CallReason.lease)
        self.assertIs(failed.failure(), StoreFailure.unavailable)


class CodecTest(unittest.IsolatedAsyncioTestCase):
    """Decode server entries."""

    async def decode(self, spec):
        store = Store()
        server, address = listen(store)
        self.addCleanup(server.stop)
        store.put('servers', 'i-1', spec)
        listed = await PlatformStore(address, SystemClock()).list_records(
            RecordKind.server, current=True
        )
        return PlatformCodec().decode_server(listed.unwrap().records[0])

    async def test_server_entry_is_decoded(self):
        server = await self.decode({**SERVER, 'state': 'draining', 'new': []})
        self.assertEqual((server.service, server.slots), ('llm', 4))
        self.assertTrue(server.leaving)

    async def test_malformed_server_entries_are_ignored(self):
        malformed = (
            'text',
            None,
            [],
            {},
            {**SERVER, 'state': 'sleeping'},
            {**SERVER, 'address': 'nowhere'},
            {**SERVER, 'slots': 'many'},
            {**SERVER, 'slots': 0},
            {**SERVER, 'service': None},
            {**SERVER, 'born': 'today'},
        )
        for spec in malformed:
            with self.subTest(spec=spec):
                self.assertIsNone(await self.decode(spec))
