"""Avoid servers that announce a shutdown or ask for backoff."""

import asyncio

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.departures import DEPARTURE_KIND, Departures
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.mesh.board import Fact
from monsoonwall.platform.documents import PlatformCodec
from tests.gateway.fakes import FakeBoard
from tests.gateway.test_proxy import (
    STREAM_END,
    STREAM_HEAD,
    ProxyHandlerCase,
    chunk,
    make_event,
)
from tests.standins.raw_server import make_response

LEAVING = make_response(extra='Server-Leaving: 1\r\n')


def make_backoff_response(seconds):
    """Return the refusal of a full server, with its retry time."""
    return make_response(
        status=503,
        signed=False,
        extra=f'X-Monsoonwall-Not-Executed: 1\r\nRetry-After: {seconds}\r\n',
    )


def make_brittle_response(rejections, *, rejected=False):
    """Return a response of a server that can reject so many a second."""
    brittle = f'Server-Brittle: {rejections}\r\n'
    if not rejected:
        return make_response(extra=brittle)
    return make_response(
        status=503,
        signed=False,
        extra=f'X-Monsoonwall-Not-Executed: 1\r\n{brittle}',
    )


class LeavingTest(ProxyHandlerCase):
    """Avoid servers that announce a shutdown before the store reports it."""

    async def test_leaving_server_gets_no_more_requests(self):
        self.configure()
        primary, secondary = self.servers
        primary.responses = [[LEAVING], [make_response()]]
        secondary.responses = [[make_response()] for _ in range(5)]
        for _ in range(6):
            caller = await self.send_request('/look/x')
            self.assertEqual(caller.status, 200)
        self.assertEqual(len(primary.requests), 1)
        # An outdated store entry does not undo the announcement.
        self.publish_server(0, 2)
        self.assertTrue(self.record_cache.find_server('i-0').leaving)

    async def test_stream_head_marks_server_as_leaving(self):
        """The announcement once took effect only after a stream of seconds."""
        self.configure()
        primary, secondary = self.servers
        head = STREAM_HEAD.replace(
            b'Content-Type', b'Server-Leaving: 1\r\nContent-Type'
        )
        resumed = asyncio.Event()
        primary.responses = [
            [
                head,
                chunk(make_event(1)),
                resumed,
                chunk(make_event(2)),
                STREAM_END,
            ]
        ]
        secondary.responses = [[make_response()]]
        streaming_task = asyncio.create_task(self.send_request('/talk/x'))
        # A fixed time could end before the head had been read.
        while not self.record_cache.find_server('i-0').leaving:
            self.assertFalse(streaming_task.done())
            await asyncio.sleep(0.01)
        await self.send_request('/look/x')
        self.assertEqual(len(secondary.requests), 1)
        resumed.set()
        self.assertEqual((await streaming_task).status, 200)


class BrittleServersTest(ProxyHandlerCase):
    """Spare servers that fail when they reject many requests."""

    async def send_all(self, count):
        return [
            (await self.send_request('/look/x')).status for _ in range(count)
        ]

    async def test_brittle_servers_that_rejected_a_request_are_left_alone(self):
        """Each of the next requests was sent to them again."""
        self.configure()
        for server in self.servers:
            server.responses = [
                [make_brittle_response(1 / 0.5, rejected=True)]
                for _ in range(9)
            ]
        self.assertEqual(set(await self.send_all(4)), {503})
        self.assertEqual(self.count_arrivals(), [1, 1])
        await asyncio.sleep(0.55)
        await self.send_all(1)
        self.assertEqual(self.count_arrivals(), [2, 2])

    async def test_no_request_waits_for_a_slot_of_a_brittle_server(self):
        self.configure()
        primary, secondary = self.servers
        primary.responses = [[make_brittle_response(1)]]
        secondary.responses = [[make_brittle_response(1)] for _ in range(9)]
        await self.send_all(1)
        server = self.record_cache.find_server('i-0')
        candidate = self.loads.make_candidate(server, None, 1, True, False)
        for _ in range(server.slots):
            self.loads.begin(server, candidate, 1)
        self.assertFalse(self.loads.has_room(server))
        self.assertEqual(set(await self.send_all(2)), {200})
        self.assertEqual(len(primary.requests), 1)

    async def test_server_that_is_no_longer_brittle_may_queue_requests(self):
        self.configure()
        self.servers[0].responses = [
            [make_brittle_response(1)],
            [make_response()],
        ]
        await self.send_all(2)
        server = self.record_cache.find_server('i-0')
        candidate = self.loads.make_candidate(server, None, 1, True, False)
        for _ in range(server.slots):
            self.loads.begin(server, candidate, 1)
        self.assertTrue(self.loads.has_room(server))


class BackoffTest(ProxyHandlerCase):
    """Avoid full servers for the time that they state."""

    async def test_full_server_gets_no_requests_during_its_backoff(self):
        self.configure()
        primary, secondary = self.servers
        primary.responses = [[make_backoff_response(0.4)], [make_response()]]
        secondary.responses = [[make_response()] for _ in range(9)]
        for _ in range(4):
            caller = await self.send_request('/look/x')
            self.assertEqual(caller.status, 200)
        self.assertEqual(len(primary.requests), 1)
        self.assertEqual(
            self.loads.find_health(
                self.record_cache.find_server('i-0')
            ).failing,
            0,
        )
        await asyncio.sleep(0.45)
        await self.send_request('/look/x')
        self.assertEqual(len(primary.requests), 2)

    async def test_request_is_refused_while_all_servers_back_off(self):
        self.configure()
        for server in self.servers:
            server.responses = [[make_backoff_response(5)]]
        first = await self.send_request('/look/x')
        second = await self.send_request('/look/x')
        for caller in (first, second):
            self.assertEqual(caller.status, 503)
            self.assertGreater(float(caller.headers['Retry-After']), 4)
        arrivals = [len(backend.requests) for backend in self.servers]
        self.assertEqual(arrivals, [1, 1])

    async def test_invalid_retry_after_is_ignored(self):
        self.configure()
        primary, secondary = self.servers
        for retry_after in ('soon', 'nan', 'inf', '-1', '0'):
            with self.subTest(retry_after=retry_after):
                primary.responses = [[make_backoff_response(retry_after)]]
                secondary.responses = [[make_response()]]
                await self.send_request('/look/x')
                health = self.loads.find_health(
                    self.record_cache.find_server('i-0')
                )
                self.assertFalse(
                    health.is_backing_off(self.clock.read_monotonic())
                )
                health.failing = 0


class DepartureSharingTest(ProxyHandlerCase):
    """Share departures between hosts."""

    async def test_departure_is_shared_until_a_new_incarnation(self):
        clock = ManualClock(1000)
        board = FakeBoard('edge-2')
        record_cache = RecordCache(PlatformCodec(), clock, 2)
        departures = Departures(board, record_cache, clock)
        self.adopt(record_cache, 1, born=7)
        departures.publish_departure(record_cache.find_server('i-9'))
        fact = next(iter(board.facts.values()))
        other = RecordCache(PlatformCodec(), clock, 2)
        self.adopt(other, 1, born=7)
        other_board = FakeBoard('edge-3')
        listening_task = asyncio.create_task(
            Departures(other_board, other, clock).run()
        )
        other_board.subscribe(DEPARTURE_KIND).put_nowait(
            Fact(fact.kind, fact.key, fact.payload, fact.expires_wall)
        )
        await asyncio.sleep(0.01)
        self.assertTrue(other.find_server('i-9').leaving)
        self.adopt(other, 2, born=8)
        self.assertFalse(other.find_server('i-9').leaving)
        listening_task.cancel()

    def test_departure_of_an_earlier_incarnation_is_ignored(self):
        """An earlier incarnation's departure once replaced the newer one.

        The leaving server was then used again.
        """
        record_cache = RecordCache(PlatformCodec(), ManualClock(1000), 2)
        self.adopt(record_cache, 1, born=8)
        self.assertTrue(record_cache.mark_leaving('i-9', 8))
        self.assertFalse(record_cache.mark_leaving('i-9', 7))
        self.adopt(record_cache, 2, born=8)
        self.assertTrue(record_cache.find_server('i-9').leaving)

    def adopt(self, record_cache, revision, born):
        spec = (
            b'{"service":"app","address":"10.0.0.1:80","zone":"a",'
            b'"state":"ready","born":%d}' % born
        )
        record_cache.adopt(Record(RecordKind.server, 'i-9', revision, spec))
