"""Test that no bytes from outside raise an error in a decoder.

The long run by hand: ``MONSOONWALL_FUZZ_EXAMPLES=20000`` in the environment.
"""

import os
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec import json
from returns.pipeline import is_successful
from tornado.httputil import HTTPHeaders

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.evacuations import Evacuations
from monsoonwall.gateway.frozen_counts import FrozenCounts
from monsoonwall.gateway.limiting import decode_grants, merge_grants
from monsoonwall.gateway.loads import merge_loads
from monsoonwall.gateway.record_gossip import decode_record, encode_record
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.gateway.server_limits import decode_limit
from monsoonwall.gateway.usage import merge_usage
from monsoonwall.mesh.board import Fact
from monsoonwall.platform.dialect import PlatformDialect
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.store_messages import (
    StoreEvent,
    StoreEvents,
    StoreObject,
    decode_page,
    decode_response,
    decode_valid,
    read_era,
)
from monsoonwall.transport.messages import Head, Reply, ResponseEnding
from tests.gateway.fakes import FakeBoard

EXAMPLES = int(os.environ.get('MONSOONWALL_FUZZ_EXAMPLES', '150'))
FIELDS = (
    'at',
    'items',
    'events',
    'object',
    'deleted',
    'metadata',
    'name',
    'revision',
    'created',
    'spec',
    'status',
    'service',
    'address',
    'zone',
    'state',
    'born',
    'slots',
    'version',
    'target',
    'duration_s',
    'routes',
    'tenants',
)
SOUND_ITEM = b'{"metadata":{"name":"sound","revision":7},"spec":{}}'
# Beyond the recursion limit, which Hypothesis raises.
DEPTH = 20_000
DEEP = b'[' * DEPTH + b']' * DEPTH
SERVER = b'{"service":"a","address":"h:1","zone":"z","state":"ready"'

values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**70), 2**70),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=20),
        st.sampled_from(('ready', 'draining', '10.0.0.1:80', '10.0.0.1:99999')),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(
            st.one_of(st.sampled_from(FIELDS), st.text(max_size=8)),
            inner,
            max_size=8,
        ),
    ),
    max_leaves=30,
)


def write_json(content):
    """Return a document; msgspec writes integers of any size."""
    return json.encode(content)


@st.composite
def documents(draw):
    """Draw a document that may be cut off or changed in one place."""
    document = write_json(draw(values))
    change = draw(st.sampled_from(('none', 'cut', 'byte', 'nest', 'double')))
    position = draw(st.integers(0, len(document)))
    before, after = document[:position], document[position:]
    if change == 'cut':
        return before
    if change == 'byte':
        return before + draw(st.binary(min_size=1, max_size=3)) + after
    if change == 'nest':
        return before + DEEP + after
    if change == 'double':
        return before + b',' + before + after
    return document


def is_json(document):
    """Return whether a document is JSON, however deeply it is nested."""
    try:
        json.decode(document.replace(DEEP, b'[]'))
    except (ValueError, RecursionError):
        return False
    return True


def make_reply(body, headers=None):
    head = Head(200, HTTPHeaders(headers or {}))
    return Reply(head, body, ResponseEnding.complete)


def make_record(kind, content):
    return Record(kind, 'name', 1, content, 0)


class DecodersTest(unittest.TestCase):
    """Decode drawn documents; malformed ones must yield a failure only."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(documents())
    @example(b'{"at":1,"items":[{"metadata":' + DEEP + b'}]}')
    @example(SERVER + b',"born":' + b'9' * 40 + b'}')
    @example(
        b'{"metadata":{"created":"\xff"},"spec":{"service":"a",'
        b'"target":"b","duration_s":1}}'
    )
    def test_store(self, document):
        codec = PlatformCodec()
        reply = make_reply(document)
        page = decode_page(reply)
        if is_successful(page):
            decode_valid(page.unwrap().items, StoreObject)
        events = decode_response(reply, StoreEvents)
        if is_successful(events):
            decode_valid(events.unwrap().events, StoreEvent)
        codec.decode_catalogue(make_record(RecordKind.catalogue, document))
        codec.decode_rollout(make_record(RecordKind.rollout, document))
        server = codec.decode_server(make_record(RecordKind.server, document))
        if server is not None:
            server.born.to_bytes(8, 'big')
            self.assertLess(int(server.address.rpartition(':')[2]), 65_536)
        Evacuations().adopt(make_record(RecordKind.evacuation, document))

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(documents())
    @example(b'{"metadata":{"name":"odd"},"spec":' + DEEP + b'}')
    @example(rb'{"metadata":{"name":"\"]}"},"spec":"[[["}')
    def test_one_entry_does_not_hide_the_others(self, document):
        if not is_json(document):
            return
        body = b'{"at":1,"items":[%b,%b]}' % (document, SOUND_ITEM)
        items = decode_page(make_reply(body)).unwrap().items
        names = {
            stored.metadata.name for stored in decode_valid(items, StoreObject)
        }
        self.assertIn('sound', names)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(st.one_of(st.binary(max_size=60), values.map(write_json)))
    @example(b'\x91' * 2000)
    def test_other_hosts(self, payload):
        for merge in (merge_usage, merge_grants, merge_loads):
            merge([payload])
        decode_grants(payload)
        decode_limit(payload)
        fact = Fact('usage-frozen', 'x', payload, 10)
        board = FakeBoard('edge-1')
        board.publish_fact(fact)
        FrozenCounts(board, ManualClock()).read()
        for key in ('server/i-1', 'odd'):
            record = decode_record(Fact('positioned-record', key, payload, 10))
            if record is not None:
                encode_record(record)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(st.text(st.characters(min_codepoint=32, max_codepoint=255)))
    @example('9' * 5000)
    def test_headers_of_servers(self, text):
        names = (
            'Keep-Alive',
            'Retry-After',
            'Server-Limit',
            'Server-Leaving',
            'Server-Brittle',
            'X-Monsoonwall-Server-Load',
            'X-Monsoonwall-Attempt-Id',
        )
        headers = {name: text.strip() for name in names}
        headers['Keep-Alive'] = f'timeout={text}'
        dialect = PlatformDialect()
        for status in (200, 503):
            dialect.read_response(Head(status, HTTPHeaders(headers)))
        read_era(make_reply(b'', {'Store-Era': text}))


if __name__ == '__main__':
    unittest.main()
