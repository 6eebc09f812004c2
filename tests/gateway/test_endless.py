"""Close channels whose bytes are no answer and come without end."""

import asyncio
import unittest

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.dialect import AnswerFacts
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.pool import ChannelPool
from monsoonwall.transport.channels import call
from monsoonwall.transport.messages import OutgoingRequest
from tests.gateway.test_conduct import (
    STREAM_END,
    STREAM_HEAD,
    ConductorCase,
    chunk,
    make_event,
)
from tests.standins.raw_server import Endless, make_answer, run_raw_server

MEGABYTE = 1_000_000
LINE = b'x' * 50_000
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
# Where the bytes come: what precedes them, and what is repeated.
PLACES = {
    'status line': (b'', LINE),
    'no answer': (b'\r\n', b'\r\n' * 20_000),
    'header': (b'HTTP/1.1 200 OK\r\nX-Long: ', LINE),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-More: 1\r\n' * 5000),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    'chunk size line': (WHOLE_HEAD + CHUNKED, b'1' * 50_000),
    'chunk extension': (WHOLE_HEAD + CHUNKED + b'1;', LINE),
    'chunks': (WHOLE_HEAD + CHUNKED, chunk(LINE)),
    'body without length': (WHOLE_HEAD + b'\r\n', LINE),
    'trailer': (WHOLE_HEAD + CHUNKED + b'0\r\n', b'X-More: 1\r\n' * 5000),
    'answer to another': (OTHER_HEAD + CHUNKED, chunk(LINE)),
    'answers to others': (b'', make_answer(b'x' * 500, attempt_id='b2') * 99),
    'refusal': (FULL_HEAD + CHUNKED, chunk(LINE)),
}
# A socket's buffers hold some beside what the program reads.
MOST_BYTES = 10 * MEGABYTE


class EndlessAnswerTest(ConductorCase):
    """Ask servers that never stop sending."""

    async def test_every_place_is_bounded(self):
        for place, (before, repeated) in PLACES.items():
            with self.subTest(place=place):
                await self.ask_endless(place, before, repeated)

    async def ask_endless(self, place, before, content):
        self.configure()
        near, far = self.servers
        near.endless_bytes = 0
        near.answers = [[before, Endless(content)]]
        far.answers = [[make_answer()]]
        caller = await asyncio.wait_for(self.ask('/reserve/x'), 2)
        # The refusal tells that the request did not run: it is sent again.
        repeated = place == 'refusal'
        self.assertEqual(caller.status == 200, repeated)
        if not repeated:
            self.assertIn(caller.status, {502, 503, 504})
        await self.see_the_end(near)
        self.assertLess(near.endless_bytes, MOST_BYTES)
        health = self.loads.find_health(self.record_cache.find_server('i-0'))
        health.note_success()
        health.failing = 0

    async def see_the_end(self, server):
        """Check that the channel is closed: no bytes are taken any more."""
        await asyncio.sleep(0.05)
        seen = server.endless_bytes
        await asyncio.sleep(0.05)
        self.assertEqual(server.endless_bytes, seen)

    async def test_event_without_end(self):
        self.configure()
        self.servers[0].answers = [
            [STREAM_HEAD, chunk(make_event(1)), Endless(chunk(LINE))]
        ]
        caller = await asyncio.wait_for(self.ask('/draft/x'), 2)
        self.assertEqual(caller.ending, 'cut')
        self.assertLess(self.servers[0].endless_bytes, MOST_BYTES)

    async def test_slow_but_sound_stream_is_passed_on_whole(self):
        """Its pause is longer than a first event is awaited."""
        self.configure()
        events = [make_event(1), make_event(2)]
        first, second = map(chunk, events)
        self.servers[0].answers = [
            [STREAM_HEAD, first, 0.4, second, STREAM_END]
        ]
        caller = await self.ask('/draft/x')
        self.assertEqual(caller.ending, 'finished')
        self.assertEqual(caller.body, b''.join(events))

    async def test_stream_that_sends_a_byte_now_and_then_ends(self):
        self.configure()
        self.servers[0].answers = [
            [STREAM_HEAD, chunk(make_event(1)), Endless(chunk(b'x'), 0.05)]
        ]
        caller = await asyncio.wait_for(self.ask('/draft/x'), 2)
        self.assertEqual(caller.ending, 'cut')
        await self.see_the_end(self.servers[0])


class EndlessIdleTest(unittest.IsolatedAsyncioTestCase):
    """Keep no channel on which bytes arrive unasked."""

    async def test_idle_channel_is_closed(self):
        async with run_raw_server() as raw:
            raw.answers = [[make_answer(b'hello'), 0.1, Endless(LINE)]]
            pool = ChannelPool(SystemClock())
            server = BackendServer('i-0', 'app', raw.address, 'a', '', 1)
            channel = await pool.take(server, 1)
            channel.send(OutgoingRequest('GET', '/', ()))
            await channel.receive_rest(await channel.receive())
            await asyncio.sleep(0)
            pool.give_back(server, channel, AnswerFacts('', True, False, False))
            sweeping = asyncio.create_task(pool.run())
            await asyncio.sleep(1.5)
            seen = raw.endless_bytes
            self.assertLess(seen, MOST_BYTES)
            await asyncio.sleep(0.2)
            self.assertEqual(raw.endless_bytes, seen)
            self.assertFalse(channel.sound)
            sweeping.cancel()


class EndlessStoreTest(unittest.IsolatedAsyncioTestCase):
    """Call a store that never stops sending."""

    async def test_call_ends(self):
        places = dict(PLACES)
        # The first of these is a whole answer on a channel for one call.
        places.pop('answers to others')
        for before, repeated in places.values():
            async with run_raw_server() as raw:
                raw.answers = [[before, Endless(repeated)]]
                with self.assertRaises((ConnectionResetError, TimeoutError)):
                    await call(raw.address, OutgoingRequest('GET', '/', ()), 1)
