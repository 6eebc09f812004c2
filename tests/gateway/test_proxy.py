"""Proxy requests to servers that respond, refuse, disconnect or hang."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from dataclasses import replace
from random import Random

from msgspec import json

from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.admission import AdmissionCheck
from monsoonwall.gateway.departure_bound import DepartureBound
from monsoonwall.gateway.dependencies import RequestDependencies
from monsoonwall.gateway.engines import EngineCalls, MoveResult
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.limiting import Limiter
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.model import CallerRequest
from monsoonwall.gateway.proxy import ProxyHandler
from monsoonwall.gateway.record_bound import RecordBound
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_confirmations import (
    Confirmation,
    RecordConfirmations,
)
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.gateway.retrying import RetryPolicy
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.run_moves import RunMover
from monsoonwall.gateway.screening import make_screener
from monsoonwall.gateway.sending import Sender
from monsoonwall.gateway.server_connections import DirectConnector
from monsoonwall.gateway.server_selection import ServerSelector
from monsoonwall.gateway.settings import Bounds, GatewaySettings
from monsoonwall.gateway.signals import ServerSignals
from monsoonwall.gateway.usage import UsageCounter
from monsoonwall.platform.dialect import PlatformDialect
from monsoonwall.platform.documents import PlatformCodec
from tests.gateway.fakes import (
    FakeBoard,
    FakeReader,
    NoPeers,
    RecordingCaller,
)
from tests.standins.raw_server import make_response, run_raw_server

SETTINGS = GatewaySettings('edge-1', 'zone-a', 'r', '', '', '', '')
NOT_EXECUTED = make_response(
    status=503,
    attempt_id='',
    signed=False,
    extra='X-Monsoonwall-Not-Executed: 1\r\n',
)
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'X-Monsoonwall-Attempt-Id: a1\r\nX-Monsoonwall-Response-Seal: s\r\n\r\n'
)
UNFRAMED_STREAM_HEAD = STREAM_HEAD.replace(
    b'Transfer-Encoding: chunked\r\n', b''
)
STREAM_END = b'0\r\n\r\n'
DRAIN_SECONDS = 2


def make_route(name, kind, **more):
    return {
        'name': name,
        'host': 'desk',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 300,
        'service': 'app',
        **more,
    }


ROUTES = [
    make_route('look', 'idempotent', max_attempts=2),
    make_route('reserve', 'non_idempotent'),
    make_route('talk', 'streaming', max_attempts=2, resumable=True),
    make_route('draft', 'streaming'),
    make_route('open', 'idempotent', auth_exempt=True),
    make_route('look/deep', 'idempotent', service='other'),
]
TENANTS = [
    {'name': 'depot', 'api_keys': ['key']},
    {
        'name': 'small',
        'api_keys': ['small-key'],
        'unit': 'token_count',
        'plain_tokens': 100,
        'rate_per_s': 10,
        'burst': 100,
    },
]


def make_event(number):
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def chunk(content):
    return f'{len(content):x}\r\n'.encode() + content + b'\r\n'


class FakeEngines(EngineCalls):
    """Return the same result for every move, and record the moves."""

    def __init__(self):
        self.move_result = MoveResult()
        self.moves = []
        self.stop = asyncio.Event()

    async def move_run(self, run_id, source, target, connector):
        self.moves.append((run_id, source.name, target.name))
        self.stop.set()
        return self.move_result


class StreamCaller(RecordingCaller):
    """Tell when the first bytes of a response have arrived."""

    def __init__(self, first_bytes):
        super().__init__()
        self.first_bytes = first_bytes
        self.arrived = asyncio.Event()

    def write(self, content):
        super().write(content)
        if self.body.startswith(self.first_bytes):
            self.arrived.set()


class ProxyHandlerCase(unittest.IsolatedAsyncioTestCase):
    """Run a gateway's request path against servers in the test's loop."""

    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.servers = [
            await stack.enter_async_context(run_raw_server()) for _ in range(2)
        ]
        clock = SystemClock()
        self.clock = clock
        board = FakeBoard('edge-1')
        self.record_cache = RecordCache(PlatformCodec(), clock, DRAIN_SECONDS)
        self.confirmations = RecordConfirmations(board)
        self.reader = FakeReader()
        self.configuration_reader = FakeReader()
        self.configuration_bound = self.make_bound(
            RecordKind.catalogue, self.configuration_reader
        )
        self.departure_bound = DepartureBound(
            self.record_cache,
            self.make_bound(RecordKind.server, self.reader),
            clock,
        )
        self.loads = LoadTracker(board, clock)
        self.engines = FakeEngines()
        self.rollouts = RolloutController(
            self.record_cache, board, clock, Bounds()
        )
        fleet = FleetView(NoPeers(), 'edge-1', 'zone-a', alone=True)
        self.signals = ServerSignals(
            board, self.record_cache, self.loads, fleet, clock
        )
        self.server_selector = ServerSelector(
            self.record_cache,
            self.loads,
            self.rollouts,
            self.signals.limits,
            fleet,
            clock,
            Random(1),
        )
        self.run_mover = RunMover(
            self.record_cache,
            self.server_selector,
            self.engines,
            DirectConnector(),
            0,
            clock,
        )
        self.dialect = PlatformDialect()
        self.admission_check = AdmissionCheck(
            self.record_cache,
            Limiter(
                board, clock, replace(SETTINGS, first_start=True), lambda: 1
            ),
        )
        self.screener = make_screener(
            self.record_cache, board, clock, DirectConnector()
        )
        self.handler = ProxyHandler(
            RequestDependencies(
                self.configuration_bound,
                self.admission_check,
                self.screener,
                self.server_selector,
                RetryPolicy(Bounds(), clock, lambda: 1),
                Sender(
                    self.dialect,
                    clock,
                    self.signals,
                    DirectConnector(),
                    self.departure_bound,
                ),
                self.loads,
                self.rollouts,
                UsageCounter(board, clock, 'edge-1', Bounds()),
                self.run_mover.runs,
                self.dialect,
                clock,
            )
        )

    def make_bound(self, kind, reader):
        return RecordBound(
            kind, self.confirmations, reader, self.clock, DRAIN_SECONDS
        )

    def configure(self, revision=1, age_seconds=0, configured_seconds=0):
        """Write records that were confirmed some seconds ago.

        ``configured_seconds`` is the age of the configuration.
        """
        self.confirm(RecordKind.server, age_seconds)
        self.confirm(RecordKind.catalogue, configured_seconds)
        self.publish_configuration(revision, TENANTS)
        for index in range(2):
            self.publish_server(index, revision)

    def publish_configuration(self, revision, tenants):
        content = json.encode(
            {
                'version': revision,
                'routes': ROUTES,
                'services': [
                    {
                        'name': 'app',
                        'engine': {
                            'slots': 4,
                            'kv_capacity': 1,
                            'moves': True,
                        },
                    }
                ],
                'tenants': tenants,
            }
        )
        self.record_cache.adopt(
            Record(RecordKind.catalogue, 'main', revision, content)
        )

    def publish_server(self, index, revision, state='ready', born=0):
        spec = {
            'service': 'app',
            'address': self.servers[index].address,
            # The first server is in the gateway's zone, which is preferred.
            'zone': 'zone-a' if index == 0 else 'zone-b',
            'state': state,
            'slots': 4,
            'born': born,
        }
        self.record_cache.adopt(
            Record(RecordKind.server, f'i-{index}', revision, json.encode(spec))
        )

    def confirm(self, kind, age_seconds):
        """Confirm records as of some seconds ago."""
        now = self.clock.read_monotonic()
        self.confirmations.confirm(Confirmation(kind, 0, 1, now - age_seconds))

    def make_request(
        self, path, key='key', seconds=1.0, attempt_id='a1', **more
    ):
        now = self.clock.read_monotonic()
        return CallerRequest(
            attempt_id=attempt_id,
            method='POST',
            target=path,
            path=path,
            host='desk',
            key=key,
            received_at=now,
            deadline=now + seconds,
            passed_headers=(('X-Monsoonwall-Attempt-Id', attempt_id),),
            body=b'{}',
            **more,
        )

    async def send_request(self, path, **more):
        caller = RecordingCaller()
        await self.handler.serve(self.make_request(path, **more), caller)
        return caller

    def count_arrivals(self):
        return [len(server.requests) for server in self.servers]


class AdmissionTest(ProxyHandlerCase):
    """Refuse requests that are not admitted, and name their id."""

    def read_error(self, caller):
        refusal = json.decode(caller.body)
        self.assertEqual(refusal['request_id'], 'a1')
        self.assertEqual(refusal['effect'], 'not_run')
        return caller.status, refusal['error']

    async def test_request_without_a_configuration_is_refused(self):
        caller = await self.send_request('/look/1')
        self.assertEqual(self.read_error(caller), (503, 'entry_host_not_ready'))
        self.assertIn('Retry-After', caller.headers)

    async def test_unknown_route_and_key_are_refused(self):
        self.configure()
        self.assertEqual(
            self.read_error(await self.send_request('/nowhere/1'))[0], 404
        )
        self.assertEqual(
            self.read_error(await self.send_request('/look/1', key='old'))[0],
            401,
        )
        self.assertEqual(self.count_arrivals(), [0, 0])

    async def test_longest_prefix_wins(self):
        self.configure()
        caller = await self.send_request('/look/deep/1')
        self.assertEqual(self.read_error(caller), (503, 'no_backend_server'))

    async def test_exempt_route_needs_no_key(self):
        self.configure()
        self.servers[0].responses.append([make_response(b'ok')])
        caller = await self.send_request('/open/1', key='')
        self.assertEqual(caller.status, 200)
        self.assertNotIn('Tenant', self.servers[0].requests[0][0])

    async def test_workspace_over_its_limit_is_refused(self):
        self.configure()
        for _ in range(4):
            self.servers[0].responses.append([make_response(b'ok')])
        statuses = []
        for _ in range(4):
            caller = await self.send_request('/look/1', key='small-key')
            statuses.append(caller.status)
        self.assertEqual(statuses[0], 200)
        self.assertEqual(statuses[-1], 429)
        self.assertGreater(float(caller.headers['Retry-After']), 0)

    async def test_request_is_refused_when_all_servers_drain(self):
        self.configure()
        for index in range(2):
            self.publish_server(index, 5, 'draining')
        caller = await self.send_request('/look/1')
        self.assertEqual(self.read_error(caller), (503, 'no_backend_server'))
        self.assertEqual(self.count_arrivals(), [0, 0])


class SingleResponseTest(ProxyHandlerCase):
    """Send requests without streams to servers that respond or fail."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        self.primary = self.servers[0]
        self.secondary = self.servers[1]

    async def test_response_is_relayed_unchanged(self):
        self.primary.responses.append(
            [make_response(b'{"a": 1}', extra='X-Own: 7\r\n')]
        )
        caller = await self.send_request('/reserve/1')
        self.assertEqual((caller.status, caller.body), (200, b'{"a": 1}'))
        self.assertEqual(caller.headers['X-Own'], '7')
        self.assertEqual(caller.headers['X-Monsoonwall-Response-Seal'], 's.1')
        head = self.primary.requests[0][0]
        self.assertIn('X-Monsoonwall-Tenant: depot', head)
        self.assertIn('X-Monsoonwall-Target-Instance: i-0', head)

    async def test_channel_is_reused(self):
        self.primary.responses += [[make_response(b'1')], [make_response(b'2')]]
        await self.send_request('/look/1')
        await self.send_request('/look/2')
        self.assertEqual(self.primary.connections, 1)

    async def check_lost_response(self, step):
        self.primary.responses.append([step])
        caller = await self.send_request('/reserve/1')
        self.assertEqual(caller.status, 502)
        self.assertEqual(json.decode(caller.body)['effect'], 'unknown')
        self.assertEqual(self.count_arrivals(), [1, 0])

    async def test_non_idempotent_request_is_not_retried_after_a_close(self):
        await self.check_lost_response('close')

    async def test_non_idempotent_request_is_not_retried_after_a_reset(self):
        await self.check_lost_response('reset')

    async def test_refused_request_is_retried_elsewhere(self):
        self.primary.responses.append([NOT_EXECUTED])
        self.secondary.responses.append([make_response(b'ok')])
        caller = await self.send_request('/reserve/1')
        self.assertEqual((caller.status, caller.body), (200, b'ok'))

    async def test_request_refused_by_all_servers_gets_a_retry_time(self):
        self.primary.responses += [[NOT_EXECUTED], [NOT_EXECUTED]]
        self.secondary.responses += [[NOT_EXECUTED], [NOT_EXECUTED]]
        caller = await self.send_request('/reserve/1')
        self.assertEqual(caller.status, 503)
        self.assertIn('Retry-After', caller.headers)

    async def test_unmarked_refusal_may_have_run(self):
        self.primary.responses.append(
            [make_response(b'busy', status=503, signed=False)]
        )
        caller = await self.send_request('/reserve/1')
        self.assertEqual(caller.status, 502)
        self.assertEqual(self.count_arrivals(), [1, 0])

    async def test_idempotent_request_is_retried_after_a_reset(self):
        self.primary.responses.append(['reset'])
        self.secondary.responses.append([make_response(b'ok')])
        caller = await self.send_request('/look/1')
        self.assertEqual((caller.status, caller.body), (200, b'ok'))

    async def test_idempotent_request_is_retried_after_a_timeout(self):
        self.primary.responses.append([5.0])
        self.secondary.responses.append([make_response(b'ok')])
        caller = await self.send_request('/look/1')
        self.assertEqual(caller.status, 200)

    async def test_retries_stop_at_max_attempts(self):
        self.primary.responses.append([make_response(b'one', status=500)])
        self.secondary.responses.append([make_response(b'two', status=500)])
        caller = await self.send_request('/look/1')
        self.assertEqual((caller.status, caller.body), (500, b'two'))
        self.assertEqual(self.count_arrivals(), [1, 1])

    async def test_unsigned_success_is_rejected(self):
        self.primary.responses.append([make_response(b'forged', signed=False)])
        caller = await self.send_request('/reserve/1')
        self.assertEqual(caller.status, 502)
        self.assertNotIn(b'forged', caller.body)

    async def test_response_to_another_request_is_skipped(self):
        stray = make_response(b'stray', attempt_id='a0')
        self.primary.responses.append([stray + make_response(b'own')])
        caller = await self.send_request('/reserve/1')
        self.assertEqual((caller.status, caller.body), (200, b'own'))

    async def test_truncated_body_is_not_relayed(self):
        self.primary.responses.append([make_response(b'hello')[:-1], 'close'])
        caller = await self.send_request('/reserve/1')
        self.assertEqual(caller.status, 502)
        self.assertEqual(caller.ending, 'finished')

    async def test_request_ends_at_its_deadline(self):
        self.primary.responses.append([5.0])
        caller = await self.send_request('/reserve/1', seconds=0.1)
        self.assertEqual(caller.status, 504)
        self.assertEqual(json.decode(caller.body)['effect'], 'unknown')

    async def test_disconnected_caller_closes_the_channel(self):
        self.primary.responses.append([5.0])
        caller = RecordingCaller()
        serving_task = asyncio.create_task(
            self.handler.serve(self.make_request('/reserve/1'), caller)
        )
        await asyncio.sleep(0.1)
        serving_task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serving_task
        self.assertFalse(caller.started)
        # The next request opens a new channel.
        self.primary.responses.append([make_response(b'ok')])
        await self.send_request('/look/1')
        self.assertEqual(self.primary.connections, 2)


class StreamCase(ProxyHandlerCase):
    """Prepare streams whose servers disconnect in the middle."""

    age_seconds = 0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure(age_seconds=self.age_seconds)
        self.primary = self.servers[0]
        self.secondary = self.servers[1]
        self.expected = b''.join(map(make_event, range(1, 5)))

    def add_stream(self, server, first, last, last_step):
        pieces = [
            chunk(make_event(number)) for number in range(first, last + 1)
        ]
        # Pauses before the close, since bytes that arrive together with it may
        # be lost.
        server.responses.append([STREAM_HEAD, *pieces, 0.05, last_step])

    def add_moved_stream(self):
        # The stream ends only once its move was requested.
        self.add_stream(self.primary, 1, 2, self.engines.stop)
        self.primary.responses[-1].extend([0.1, 'close'])

    async def run_move(self, move_result):
        self.add_moved_stream()
        return await self.move_current_run(move_result)

    async def run_move_of_unframed_stream(self, move_result):
        # The engine closes the stream between two events.
        head = make_event(1) + make_event(2)
        self.primary.responses.append(
            [UNFRAMED_STREAM_HEAD, head, self.engines.stop, 0.1, 'close']
        )
        return await self.move_current_run(move_result)

    async def move_current_run(self, move_result, *, evacuated=False):
        self.engines.move_result = move_result
        caller = StreamCaller(make_event(1) + make_event(2))
        request = self.make_request('/draft/1')
        mover_task = asyncio.create_task(self.run_mover.run())
        serving_task = asyncio.create_task(self.handler.serve(request, caller))
        # Only a run with events moves.
        await asyncio.wait_for(caller.arrived.wait(), 1)
        if evacuated:
            self.record_cache.adopt(
                Record(RecordKind.evacuation, 'zone-a', 2, b'{}')
            )
        self.publish_server(0, 9, 'draining')
        await serving_task
        mover_task.cancel()
        return caller


class StreamTest(StreamCase):
    """Relay streams from servers that disconnect in the middle."""

    async def test_whole_stream_is_relayed(self):
        self.add_stream(self.primary, 1, 4, STREAM_END)
        caller = await self.send_request('/draft/1')
        self.assertEqual(caller.body, self.expected)
        self.assertEqual(caller.ending, 'finished')

    async def test_unframed_stream_that_ends_with_its_channel_is_whole(self):
        """Such streams were cut, or sent again, although they were whole."""
        self.primary.responses.append(
            [UNFRAMED_STREAM_HEAD, self.expected, 0.05, 'close']
        )
        caller = await self.send_request('/draft/1')
        self.assertEqual(caller.body, self.expected)
        self.assertEqual(caller.ending, 'finished')

    async def test_unframed_stream_that_ends_inside_an_event_is_broken(self):
        self.primary.responses.append(
            [UNFRAMED_STREAM_HEAD, self.expected[:-1], 0.05, 'close']
        )
        caller = await self.send_request('/draft/1')
        self.assertEqual(caller.ending, 'cut')

    async def test_unframed_stream_without_events_is_broken(self):
        self.primary.responses.append([UNFRAMED_STREAM_HEAD, 0.05, 'close'])
        caller = await self.send_request('/draft/1')
        self.assertNotEqual(caller.status, 200)

    async def test_stream_resumes_at_another_server(self):
        partial_event = chunk(make_event(3)[:7])
        self.primary.responses.append(
            [
                STREAM_HEAD,
                chunk(make_event(1) + make_event(2)),
                partial_event,
                0.05,
                'close',
            ]
        )
        self.add_stream(self.secondary, 3, 4, STREAM_END)
        caller = await self.send_request('/talk/1')
        self.assertEqual(caller.body, self.expected)
        self.assertEqual(caller.ending, 'finished')
        self.assertIn('Last-Event-Id: 2', self.secondary.requests[0][0])

    async def test_duplicate_events_are_dropped(self):
        self.add_stream(self.primary, 1, 2, 'close')
        self.add_stream(self.secondary, 2, 4, STREAM_END)
        caller = await self.send_request('/talk/1')
        self.assertEqual(caller.body, self.expected)

    async def test_stream_that_may_not_be_retried_is_aborted(self):
        self.add_stream(self.primary, 1, 2, 'close')
        caller = await self.send_request('/draft/1')
        self.assertEqual(caller.ending, 'cut')
        self.assertEqual(self.count_arrivals(), [1, 0])

    async def test_stream_ending_inside_an_event_is_aborted(self):
        self.primary.responses.append(
            [STREAM_HEAD, chunk(make_event(1) + b'id: 2'), STREAM_END]
        )
        caller = await self.send_request('/draft/1')
        self.assertEqual(caller.ending, 'cut')

    async def test_run_is_moved_off_a_leaving_server(self):
        self.add_stream(self.secondary, 3, 4, STREAM_END)
        caller = await self.run_move(MoveResult('h1', copied=True))
        self.assertEqual(caller.body, self.expected)
        self.assertEqual(self.engines.moves, [('a1', 'i-0', 'i-1')])
        head = self.secondary.requests[0][0]
        self.assertIn(f'Kv-From: {self.primary.address}/h1', head)
        self.assertIn('Last-Event-Id: 2', head)

    async def test_run_that_was_not_copied_resumes_at_its_source(self):
        self.add_moved_stream()
        self.add_stream(self.primary, 3, 4, STREAM_END)
        caller = await self.move_current_run(MoveResult('h1', copied=False))
        self.assertEqual(caller.body, self.expected)
        self.assertEqual(self.count_arrivals(), [2, 0])

    async def test_run_that_was_not_copied_leaves_an_evacuated_zone(self):
        """No request may reach the zone, so the stream ends there."""
        self.add_moved_stream()
        self.add_stream(self.primary, 3, 4, STREAM_END)
        caller = await self.move_current_run(
            MoveResult('h1', copied=False), evacuated=True
        )
        self.assertEqual(caller.ending, 'cut')
        self.assertEqual(self.count_arrivals(), [1, 0])

    async def test_run_that_was_not_stopped_stays(self):
        caller = await self.run_move(MoveResult(detail='status 404'))
        self.assertEqual(caller.ending, 'cut')
        self.assertEqual(self.count_arrivals(), [1, 0])
        self.assertEqual(len(self.engines.moves), 1)

    async def test_unframed_stream_stopped_for_a_move_ended_as_complete(self):
        """Callers got the first events of a moved run as the whole stream."""
        self.add_stream(self.secondary, 3, 4, STREAM_END)
        caller = await self.run_move_of_unframed_stream(
            MoveResult('h1', copied=True)
        )
        self.assertEqual(caller.body, self.expected)
        self.assertEqual(caller.ending, 'finished')

    async def test_unframed_stream_is_cut_if_the_move_is_in_doubt(self):
        """Callers got a stream that may have been stopped as complete."""
        caller = await self.run_move_of_unframed_stream(
            MoveResult(detail='TimeoutError()')
        )
        self.assertEqual(caller.ending, 'cut')

    async def test_unframed_stream_that_ends_before_its_move_is_whole(self):
        caller = await self.run_move_of_unframed_stream(
            MoveResult(detail='status 404', may_have_stopped=False)
        )
        self.assertEqual(caller.body, make_event(1) + make_event(2))
        self.assertEqual(caller.ending, 'finished')


class OldRecordsTest(StreamCase):
    """Learn of a departure by records that were old before."""

    age_seconds = 0.95 * DRAIN_SECONDS

    async def test_run_resumed_at_a_source_that_had_left_for_too_long(self):
        """The source had left up to 1.9 s before this host knew of it."""
        self.add_moved_stream()
        caller = await self.move_current_run(MoveResult('h1', copied=False))
        self.assertEqual(caller.ending, 'cut')
        self.assertEqual(self.count_arrivals(), [1, 0])
