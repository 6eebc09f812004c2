"""Abort responses that never end, without buffering them all."""

import asyncio
import unittest

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.dialect import ResponseInfo
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.pool import ChannelPool
from monsoonwall.gateway.server_connections import DirectConnector
from monsoonwall.transport.channels import call
from monsoonwall.transport.messages import OutgoingRequest
from tests.gateway.test_proxy import (
    STREAM_END,
    STREAM_HEAD,
    ProxyHandlerCase,
    chunk,
    make_event,
)
from tests.standins.raw_server import (
    EndlessBytes,
    make_response,
    run_raw_server,
)

BYTES_PER_MEGABYTE = 1_000_000
LONG_LINE = b'x' * 50_000
WHOLE_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Monsoonwall-Attempt-Id: a1\r\n'
    b'X-Monsoonwall-Response-Seal: s\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
OTHER_HEAD = WHOLE_HEAD.replace(b'a1', b'b2')
FULL_HEAD = (
    b'HTTP/1.1 503 Full\r\nX-Monsoonwall-Attempt-Id: a1\r\n'
    b'X-Monsoonwall-Not-Executed: 1\r\n'
)
# Parts of a response that may be endless, each with the bytes that precede it
# and the bytes that are repeated.
PLACES = {
    'status line': (b'', LONG_LINE),
    'empty lines': (b'\r\n', b'\r\n' * 20_000),
    'header': (b'HTTP/1.1 200 OK\r\nX-Long: ', LONG_LINE),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-More: 1\r\n' * 5000),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    'chunk size line': (WHOLE_HEAD + CHUNKED, b'1' * 50_000),
    'chunk extension': (WHOLE_HEAD + CHUNKED + b'1;', LONG_LINE),
    'chunks': (WHOLE_HEAD + CHUNKED, chunk(LONG_LINE)),
    'body without length': (WHOLE_HEAD + b'\r\n', LONG_LINE),
    'trailer': (WHOLE_HEAD + CHUNKED + b'0\r\n', b'X-More: 1\r\n' * 5000),
    'response to another': (OTHER_HEAD + CHUNKED, chunk(LONG_LINE)),
    'responses to others': (
        b'',
        make_response(b'x' * 500, attempt_id='b2') * 99,
    ),
    'refusal': (FULL_HEAD + CHUNKED, chunk(LONG_LINE)),
}
# Includes bytes that are sent but stay in socket buffers, unread.
MAX_BYTES = 10 * BYTES_PER_MEGABYTE


class EndlessResponseTest(ProxyHandlerCase):
    """Send requests to servers that never stop sending."""

    async def test_endless_response_is_aborted(self):
        for place, (before, repeated) in PLACES.items():
            with self.subTest(place=place):
                await self.check_endless_response(place, before, repeated)

    async def check_endless_response(self, place, before, repeated):
        self.configure()
        primary, secondary = self.servers
        primary.endless_bytes = 0
        primary.responses = [[before, EndlessBytes(repeated)]]
        secondary.responses = [[make_response()]]
        caller = await asyncio.wait_for(self.send_request('/reserve/x'), 2)
        # The refusal says that the request did not run, so it is retried.
        is_retried = place == 'refusal'
        self.assertEqual(caller.status == 200, is_retried)
        if not is_retried:
            self.assertIn(caller.status, {502, 503, 504})
        await self.check_channel_closed(primary)
        self.assertLess(primary.endless_bytes, MAX_BYTES)
        health = self.loads.find_health(self.record_cache.find_server('i-0'))
        health.record_success()
        health.failing = 0

    async def check_channel_closed(self, server):
        """Check that the channel is closed, so that no more bytes are sent."""
        await asyncio.sleep(0.05)
        bytes_before = server.endless_bytes
        await asyncio.sleep(0.05)
        self.assertEqual(server.endless_bytes, bytes_before)

    async def test_endless_event_is_aborted(self):
        self.configure()
        self.servers[0].responses = [
            [STREAM_HEAD, chunk(make_event(1)), EndlessBytes(chunk(LONG_LINE))]
        ]
        caller = await asyncio.wait_for(self.send_request('/draft/x'), 2)
        self.assertEqual(caller.ending, 'cut')
        self.assertLess(self.servers[0].endless_bytes, MAX_BYTES)

    async def test_slow_stream_is_relayed_whole(self):
        """A pause beyond the timeout of the first event is no failure."""
        self.configure()
        events = [make_event(1), make_event(2)]
        first, second = map(chunk, events)
        self.servers[0].responses = [
            [STREAM_HEAD, first, 0.4, second, STREAM_END]
        ]
        caller = await self.send_request('/draft/x')
        self.assertEqual(caller.ending, 'finished')
        self.assertEqual(caller.body, b''.join(events))

    async def test_stream_that_trickles_bytes_is_aborted(self):
        self.configure()
        self.servers[0].responses = [
            [STREAM_HEAD, chunk(make_event(1)), EndlessBytes(chunk(b'x'), 0.05)]
        ]
        caller = await asyncio.wait_for(self.send_request('/draft/x'), 2)
        self.assertEqual(caller.ending, 'cut')
        await self.check_channel_closed(self.servers[0])


class EndlessIdleTest(unittest.IsolatedAsyncioTestCase):
    """Close idle channels on which unsolicited bytes arrive."""

    async def test_idle_channel_with_unsolicited_bytes_is_closed(self):
        async with run_raw_server() as raw:
            raw.responses = [
                [make_response(b'hello'), 0.1, EndlessBytes(LONG_LINE)]
            ]
            pool = ChannelPool(SystemClock(), DirectConnector())
            server = BackendServer('i-0', 'app', raw.address, 'a', '', 1)
            channel = await pool.acquire(server, 1)
            channel.send(OutgoingRequest('GET', '/', ()))
            await channel.receive_rest(await channel.receive())
            await asyncio.sleep(0)
            pool.release(server, channel, ResponseInfo('', True, False, False))
            sweeper = asyncio.create_task(pool.run())
            await asyncio.sleep(1.5)
            bytes_before = raw.endless_bytes
            self.assertLess(bytes_before, MAX_BYTES)
            await asyncio.sleep(0.2)
            self.assertEqual(raw.endless_bytes, bytes_before)
            self.assertFalse(channel.is_usable)
            sweeper.cancel()


class EndlessStoreTest(unittest.IsolatedAsyncioTestCase):
    """Call a store that never stops sending."""

    async def test_call_to_an_endless_store_fails(self):
        places = dict(PLACES)
        # Its first response already completes the call.
        places.pop('responses to others')
        for before, repeated in places.values():
            async with run_raw_server() as raw:
                raw.responses = [[before, EndlessBytes(repeated)]]
                with self.assertRaises((ConnectionResetError, TimeoutError)):
                    await call(raw.address, OutgoingRequest('GET', '/', ()), 1)
