"""Test which records the cache adopts, and their encoding for the mesh."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from msgspec import json

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_gossip import decode_record, encode_record
from monsoonwall.gateway.records import Listing, Record, RecordKind
from monsoonwall.mesh.board import Fact
from monsoonwall.platform.documents import PlatformCodec

DRAIN_SECONDS = 2.0
NAMES = ('i-1', 'i-2')


def make_server(name, revision, state='ready', born=1):
    spec = {
        'service': 'llm',
        'address': '10.0.0.1:80',
        'zone': 'zone-a',
        'state': state,
        'slots': 4,
        'born': born,
    }
    return Record(RecordKind.server, name, revision, json.encode(spec))


def make_removal(name, revision):
    return Record(RecordKind.server, name, revision, None)


def make_catalogue(revision, version):
    content = json.encode({'version': version})
    return Record(RecordKind.catalogue, 'main', revision, content)


def make_record_cache(clock=None):
    return RecordCache(PlatformCodec(), clock or ManualClock(), DRAIN_SECONDS)


histories = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sampled_from(('on', 'off', 'leave'))),
    min_size=1,
    max_size=12,
)


positioned_records = st.builds(
    Record,
    st.just(RecordKind.server),
    st.just('i-1'),
    st.integers(1, 2**40),
    st.binary(),
    st.integers(0, 3),
    st.booleans(),
    st.integers(0, 2**40),
) | st.builds(
    Record,
    st.just(RecordKind.server),
    st.just('i-1'),
    st.integers(1, 2**40),
    st.none(),
    st.integers(0, 3),
)


class RecordCacheTest(unittest.TestCase):
    """Pass records of the store and of other hosts to one cache."""

    def test_configuration_is_not_reverted(self):
        record_cache = make_record_cache()
        self.assertTrue(record_cache.adopt(make_catalogue(7, version=3)))
        self.assertFalse(record_cache.adopt(make_catalogue(5, version=2)))
        self.assertFalse(record_cache.adopt(make_catalogue(7, version=3)))
        self.assertEqual(record_cache.catalogue.version, 3)

    def test_malformed_configuration_keeps_the_previous_one(self):
        record_cache = make_record_cache()
        record_cache.adopt(make_catalogue(7, version=3))
        record_cache.adopt(Record(RecordKind.catalogue, 'main', 9, b'[]'))
        self.assertEqual(record_cache.catalogue.version, 3)

    def test_zone_is_evacuated_while_its_record_is_present(self):
        record_cache = make_record_cache()
        present = Record(RecordKind.evacuation, 'zone-a', 4, b'{}')
        record_cache.adopt(present)
        self.assertEqual(record_cache.evacuations.zones, {'zone-a'})
        record_cache.adopt_listing(RecordKind.evacuation, Listing((), 5))
        self.assertEqual(record_cache.evacuations.zones, set())
        self.assertFalse(record_cache.adopt(present))
        self.assertEqual(record_cache.evacuations.zones, set())

    def test_evacuation_that_an_older_copy_lacks_stays_in_force(self):
        record_cache = make_record_cache()
        record_cache.adopt(Record(RecordKind.evacuation, 'zone-a', 4, b'{}'))
        older_copy = Listing((), 3, era=1)
        record_cache.adopt_listing(RecordKind.evacuation, older_copy)
        self.assertEqual(record_cache.evacuations.zones, {'zone-a'})

    @given(histories, st.randoms(use_true_random=False))
    def test_order_of_arrival_does_not_matter(self, history, random):
        records = []
        for revision, (name, change) in enumerate(history, start=2):
            if change == 'off':
                records.append(make_removal(name, revision))
            else:
                state = 'draining' if change == 'leave' else 'ready'
                records.append(make_server(name, revision, state))
        last_changes = dict(history)
        shuffled = [*records, *random.choices(records, k=3)]
        random.shuffle(shuffled)
        record_cache = make_record_cache()
        for record in shuffled:
            record_cache.adopt(record)
        known = {
            server.name: server.leaving
            for server in record_cache.list_all_servers()
        }
        expected = {
            server: last_change == 'leave'
            for server, last_change in last_changes.items()
            if last_change != 'off'
        }
        self.assertEqual(known, expected)

    def test_listing_removes_records_that_it_lacks(self):
        record_cache = make_record_cache()
        for name in NAMES:
            record_cache.adopt(make_server(name, 3))
        later = make_server('i-3', 9)
        record_cache.adopt(later)
        record_cache.adopt_listing(
            RecordKind.server, Listing((make_server('i-1', 3),), revision=5)
        )
        names = {server.name for server in record_cache.list_all_servers()}
        # A record newer than the listing, from another host, is kept.
        self.assertEqual(names, {'i-1', 'i-3'})

    def test_expired_server_is_used_for_less_than_the_drain_time(self):
        clock = ManualClock()
        record_cache = make_record_cache(clock)
        record_cache.adopt(make_server('i-1', 3))
        record_cache.adopt(make_removal('i-1', 4), after_outage=True)
        self.assertEqual(len(record_cache.list_servers('llm')), 1)
        clock.advance(DRAIN_SECONDS * 0.75)
        self.assertEqual(record_cache.list_servers('llm'), ())

    def test_later_copies_of_a_removal_do_not_extend_its_delay(self):
        """Servers that had left were used for longer than the drain time."""
        clock = ManualClock()
        record_cache = make_record_cache(clock)
        record_cache.adopt(make_server('i-1', 3))
        record_cache.adopt(make_removal('i-1', 4), after_outage=True)
        clock.advance(DRAIN_SECONDS / 2)
        record_cache.adopt(make_removal('i-1', 5), after_outage=True)
        clock.advance(DRAIN_SECONDS / 4)
        self.assertEqual(record_cache.list_servers('llm'), ())

    def test_expired_server_that_registers_again_is_kept(self):
        clock = ManualClock()
        record_cache = make_record_cache(clock)
        record_cache.adopt(make_server('i-1', 3))
        record_cache.adopt(make_removal('i-1', 4), after_outage=True)
        clock.advance(1)
        record_cache.adopt(make_server('i-1', 5))
        clock.advance(5)
        self.assertEqual(len(record_cache.list_servers('llm')), 1)

    def test_removal_that_another_host_reports_is_not_held(self):
        """A host that the store ignored used a server that had left for 2 s."""
        record_cache = make_record_cache()
        record_cache.adopt(make_server('i-1', 3))
        record_cache.adopt(make_removal('i-1', 7), after_outage=True)
        record_cache.adopt(make_removal('i-1', 4))
        self.assertEqual(record_cache.list_servers('llm'), ())

    def test_held_removal_is_reported_once_it_has_effect(self):
        clock = ManualClock()
        record_cache = make_record_cache(clock)
        record_cache.adopt(make_server('i-1', 3))
        reported = []
        record_cache.subscribe(reported.append)
        record_cache.adopt(make_removal('i-1', 4), after_outage=True)
        self.assertEqual(reported, [])
        clock.advance(DRAIN_SECONDS)
        record_cache.list_all_servers()
        self.assertEqual(reported, [make_removal('i-1', 4)])

    def test_entry_older_than_a_held_removal_does_not_cancel_it(self):
        clock = ManualClock()
        record_cache = make_record_cache(clock)
        record_cache.adopt(make_server('i-1', 3))
        record_cache.adopt(make_removal('i-1', 6), after_outage=True)
        record_cache.adopt(make_server('i-1', 5))
        clock.advance(DRAIN_SECONDS)
        self.assertEqual(record_cache.list_servers('llm'), ())

    def test_removed_server_is_gone_at_once_while_the_store_answers(self):
        record_cache = make_record_cache()
        record_cache.adopt(make_server('i-1', 3))
        record_cache.adopt(make_removal('i-1', 4))
        self.assertEqual(record_cache.list_servers('llm'), ())


def make_rollout(revision, created, era=0, target='v2'):
    content = {
        'metadata': {'name': 'app', 'created': created},
        'spec': {'service': 'app', 'target': target, 'duration_s': 20},
    }
    return Record(
        RecordKind.rollout, 'app', revision, json.encode(content), era
    )


class RestoredRecordsTest(unittest.TestCase):
    """Pass records of a store that returned from an older copy to a cache."""

    def setUp(self):
        self.record_cache = make_record_cache()

    def adopt_copy(self, kind, *records, revision=5):
        in_era = tuple(replace(record, era=1) for record in records)
        self.record_cache.adopt_listing(kind, Listing(in_era, revision, era=1))

    def is_used(self, name):
        server = self.record_cache.find_server(name)
        return server is not None and not server.leaving

    def test_configuration_with_a_higher_version_wins_in_any_order(self):
        lost = make_catalogue(9, version=3)
        written_again = replace(make_catalogue(6, version=4), era=1)
        self.record_cache.adopt(written_again)
        self.assertFalse(self.record_cache.adopt(lost))
        self.adopt_copy(RecordKind.catalogue, make_catalogue(2, version=1))
        self.assertEqual(self.record_cache.catalogue.version, 4)

    def test_late_record_of_the_era_before_is_ignored(self):
        self.record_cache.adopt(replace(make_server('i-1', 3), era=1))
        self.assertFalse(self.record_cache.adopt(make_removal('i-1', 9)))
        self.assertTrue(self.is_used('i-1'))

    def test_server_that_had_left_is_used_once_it_registers_again(self):
        self.record_cache.adopt(make_server('i-1', 3))
        self.record_cache.adopt(make_removal('i-1', 4))
        self.adopt_copy(RecordKind.server, make_server('i-1', 3))
        self.assertFalse(self.is_used('i-1'))
        self.record_cache.adopt(replace(make_server('i-1', 6), era=1))
        self.assertTrue(self.is_used('i-1'))

    def test_earlier_incarnation_in_the_copy_is_not_used(self):
        self.record_cache.adopt(make_server('i-1', 9, born=2))
        self.adopt_copy(RecordKind.server, make_server('i-1', 3, born=1))
        self.assertFalse(self.is_used('i-1'))

    def test_server_that_only_the_copy_has_is_reported_to_other_hosts(self):
        reported = []
        self.record_cache.subscribe_departures(reported.append)
        self.record_cache.adopt(make_server('i-1', 9, 'draining'))
        self.adopt_copy(RecordKind.server, make_server('i-1', 3))
        self.assertEqual([server.name for server in reported], ['i-1'])

    def test_rollout_that_the_copy_lacks_goes_on(self):
        """Requests went to the version that was being rolled out, unbounded."""
        self.record_cache.adopt(make_rollout(9, created=9))
        order = self.record_cache.list_rollouts()[0].order
        self.adopt_copy(RecordKind.rollout)
        self.record_cache.adopt(make_rollout(7, created=7, era=1))
        rollout = self.record_cache.list_rollouts()[0]
        self.assertEqual(rollout.order, order)
        self.assertEqual((rollout.era, rollout.revision), (1, 7))

    def test_earlier_order_in_the_copy_does_not_replace_a_rollout(self):
        self.record_cache.adopt(make_rollout(9, created=9))
        earlier = make_rollout(3, created=3, target='v1')
        self.adopt_copy(RecordKind.rollout, earlier)
        self.assertEqual(self.record_cache.list_rollouts()[0].version, 'v2')
        self.record_cache.adopt(make_rollout(7, 7, era=1, target='v3'))
        self.assertEqual(self.record_cache.list_rollouts()[0].version, 'v3')


class RecordEncodingTest(unittest.TestCase):
    """Encode records for the mesh, which keeps the greatest payload."""

    @given(positioned_records, positioned_records)
    def test_later_record_is_the_greater_payload(self, first, second):
        payloads = [encode_record(record) for record in (first, second)]
        orders = [
            (record.version, *record.position) for record in (first, second)
        ]
        if orders[0] != orders[1]:
            self.assertEqual(orders[0] < orders[1], payloads[0] < payloads[1])
        read = decode_record(Fact('record', 'server/i-1', payloads[0], 0))
        self.assertEqual(read, first)

    @given(st.binary(max_size=40))
    def test_malformed_payload_does_not_raise(self, payload):
        decode_record(Fact('record', 'server/i-1', payload, 0))
        self.assertIsNone(decode_record(Fact('record', 'odd', payload, 0)))
