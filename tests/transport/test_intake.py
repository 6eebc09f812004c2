"""Read requests through an intake without a network."""

import unittest
from unittest.mock import create_autospec

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.intake import IntakeLimits
from monsoonwall.transport.intake import (
    ChannelReceiver,
    RequestIntake,
    RequestReceiver,
)

START_LINE = RequestStartLine('POST', '/look/1', 'HTTP/1.1')
MAX_BODY_BYTES = 1000
LIMITS = IntakeLimits(max_bytes=3000, max_channels=3)
STALL_SECONDS = 0.5


class RecordingRequest(RequestReceiver):
    """Record what is received."""

    def __init__(self):
        self.events = []

    def headers_received(self, start_line, headers):
        self.events.append('head')

    def data_received(self, chunk):
        self.events.append(chunk)

    def finish(self):
        self.events.append('finish')

    def on_connection_close(self):
        self.events.append('closed')

    def refuse_unread(self, detail):
        self.events.append('refused')


class RecordingReceiver(ChannelReceiver):
    """Record the requests of all channels."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(self):
        self.requests = []
        self.closed = []

    def read_owner(self, headers):
        return headers.get('Key', '')

    def start_request(self, server_conn, request_conn):
        request = RecordingRequest()
        self.requests.append(request)
        return request

    def on_close(self, server_conn):
        self.closed.append(server_conn)


class RequestIntakeTest(unittest.IsolatedAsyncioTestCase):
    """Open channels and send parts of requests."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.receiver = RecordingReceiver()
        self.intake = RequestIntake(self.receiver, LIMITS, self.clock)
        self.connections = {}

    def open(self, name, with_head=True):
        connection = create_autospec(HTTP1Connection, instance=True)
        self.connections[name] = connection
        delegate = self.intake.start_request(name, connection)
        if with_head:
            delegate.headers_received(START_LINE, HTTPHeaders())
        return delegate

    async def test_body_arrives_as_one_piece(self):
        delegate = self.open('a')
        for chunk in (b'ab', b'c'):
            self.assertIsNone(delegate.data_received(chunk))
        delegate.finish()
        self.assertEqual(
            self.receiver.requests[0].events, ['head', b'abc', 'finish']
        )

    async def test_request_is_not_served_after_its_channel_was_closed(self):
        """It was served with a part of its body, or none."""
        delegate = self.open('a')
        delegate.data_received(b'ab')
        delegate.close()
        self.assertIsNone(delegate.data_received(b'c'))
        delegate.finish()
        self.assertEqual(self.receiver.requests[0].events, ['head', 'closed'])
        self.assertEqual(self.intake.account.used, 0)

    async def test_request_that_was_refused_is_not_served(self):
        delegate = self.open('a')
        delegate.data_received(b'ab')
        delegate.refuse('no memory')
        delegate.data_received(b'c')
        delegate.finish()
        self.assertNotIn('finish', self.receiver.requests[0].events)
        self.assertEqual(self.intake.account.used, 0)

    async def test_body_waits_for_room_and_reads_on(self):
        first = self.open('a')
        second = self.open('b')
        self.assertIsNone(first.data_received(b'x' * 900))
        room = second.data_received(b'x' * 900)
        self.assertFalse(room.done())
        first.on_connection_close()
        self.assertTrue(room.done())

    async def test_memory_returns_when_a_channel_closes(self):
        delegate = self.open('a')
        delegate.data_received(b'x' * 900)
        delegate.finish()
        self.assertGreater(self.intake.account.used, 0)
        self.intake.on_close('a')
        self.assertEqual(self.intake.account.used, 0)
        self.assertEqual(self.receiver.closed, ['a'])

    async def test_idle_channel_gives_way_to_a_new_one(self):
        self.open('busy').finish()
        self.open('idle', with_head=False)
        self.open('stalled').data_received(b'x')
        self.open('new')
        self.connections['idle'].close.assert_called_once_with()
        self.intake.on_close('idle')
        self.clock.advance(STALL_SECONDS)
        self.open('newer')
        self.connections['stalled'].close.assert_called_once_with()

    async def test_newest_channel_is_closed_if_all_others_are_served(self):
        for name in ('a', 'b', 'c', 'd'):
            self.open(name).finish()
        self.connections['a'].close.assert_not_called()
        self.connections['d'].close.assert_called_once_with()


if __name__ == '__main__':
    unittest.main()
