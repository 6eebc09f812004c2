"""Test roll-outs of good and bad versions."""

import unittest
from dataclasses import dataclass
from random import Random

from msgspec import json
from returns.result import Failure, Success

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.admission import AdmittedRequest
from monsoonwall.gateway.duties import LeaseHolder
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.model import (
    BackendServer,
    CallerRequest,
    RolloutState,
    Route,
    RouteKind,
    Service,
    Target,
)
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind, RolloutWriter
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.rollout_states import RolloutStateRecorder
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.sending import AttemptResult
from monsoonwall.gateway.settings import Bounds
from monsoonwall.pipeline.messages import AttemptEnding
from monsoonwall.platform.documents import PlatformCodec
from monsoonwall.platform.objects import StoreFailure
from monsoonwall.platform.rollouts import encode_status
from tests.gateway.fakes import FakeBoard, RecordingCaller

ROLLOUT_SECONDS = 14
HOLDER = LeaseHolder('a', 1)
STEP_SECONDS = 0.05
ROUTE = Route(
    'r1', 'a.example', '/a/', RouteKind.idempotent, 1, 0.2, 1, (Target('app'),)
)


class FakeWriter(RolloutWriter):
    """Record the written states, after failing with ``failures`` in turn."""

    def __init__(self):
        self.states = []
        self.failures = []

    async def write_rollout(self, rollout, state):
        if self.failures:
            return Failure(self.failures.pop(0))
        self.states.append(state)
        body = json.decode(encode_status(rollout, state))
        revision = rollout.revision + 1
        return Success(make_order(revision, body['status']))


def make_order(revision=10, status=None, target='v2', seconds=ROLLOUT_SECONDS):
    content = json.encode(
        {
            'metadata': {'name': 'app', 'revision': revision, 'created': 3},
            'spec': {
                'service': 'app',
                'target': target,
                'duration_s': seconds,
            },
            'status': status,
        }
    )
    return Record(RecordKind.rollout, 'app', revision, content)


def make_server(name, version):
    content = json.encode(
        {
            'service': 'app',
            'address': f'10.0.0.{name[1:]}:80',
            'zone': f'zone-{int(name[1:]) % 3}',
            'state': 'ready',
            'version': version,
        }
    )
    return Record(RecordKind.server, name, 5, content)


@dataclass
class Host:
    """The components of one host that take part in roll-outs."""

    record_cache: RecordCache
    loads: LoadTracker
    rollouts: RolloutController

    def list_servers(self):
        servers = self.record_cache.list_servers('app')
        return {server.name: server for server in servers}


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    """Simulate three hosts that share the requests of one service."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.random = Random(4711)
        self.shared = {}
        self.facts = {}
        self.hosts = [self.make_host(name) for name in 'abc']
        self.sent = {'v1': 0, 'v2': 0}
        self.requests = 0
        self.order()

    def make_host(self, name):
        board = FakeBoard(name, self.shared)
        board.facts = self.facts
        record_cache = RecordCache(PlatformCodec(), self.clock, 2)
        for number in range(6):
            version = 'v1' if number < 3 else 'v2'
            record_cache.adopt(make_server(f's{number}', version))
        return Host(
            record_cache,
            LoadTracker(board, self.clock),
            RolloutController(record_cache, board, self.clock, Bounds()),
        )

    def order(self, *status):
        """Give all hosts the order of the roll-out."""
        for host in self.hosts:
            host.record_cache.adopt(make_order(10, *status))

    def send(self, host, failure_rate):
        """Send a request to an allowed server; retry it once on failure."""
        self.requests += 1
        request_state = make_request_state(f'request-{self.requests}')
        for _ in range(2):
            found = host.rollouts.filter_servers(
                request_state, host.list_servers()
            )
            server = self.random.choice(sorted(found.values(), key=get_name))
            self.sent[server.version] += 1
            failed = (
                server.version == 'v2' and self.random.random() < failure_rate
            )
            ending = AttemptEnding.failed if failed else AttemptEnding.completed
            sent_at = self.clock.read_monotonic() - STEP_SECONDS
            record = request_state.make_attempt_record(
                server,
                AttemptResult(ending),
                sent_at,
                self.clock.read_monotonic(),
            )
            host.rollouts.record_attempt_end(record, server)
            request_state.attempt_endings.append(ending)
            if not failed:
                return

    def simulate(self, seconds, failure_rate=0, rate=20):
        """Send requests at a rate; the hosts decide twice a second."""
        for step in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            if self.random.random() < rate * STEP_SECONDS:
                self.send(self.random.choice(self.hosts), failure_rate)
            if step % 10 == 0:
                for host in self.hosts:
                    host.rollouts.advance()

    def make_recorder(self, writer, host=0):
        chosen = self.hosts[host]
        return RolloutStateRecorder(
            chosen.record_cache, chosen.rollouts, chosen.loads, writer
        )

    def find_phases(self):
        conclusions = [
            host.rollouts.find('app').course.conclusion for host in self.hosts
        ]
        return {
            conclusion.phase.value if conclusion else None
            for conclusion in conclusions
        }


class RolloutTest(RolloutCase):
    """Check which versions get requests, and how roll-outs are concluded."""

    def test_good_version_takes_over_in_time(self):
        self.simulate(ROLLOUT_SECONDS - 1)
        self.assertEqual(self.find_phases(), {'done'})
        before = self.sent['v1']
        self.simulate(1)
        self.assertEqual(self.sent['v1'], before)

    def test_bad_version_is_withdrawn_within_its_exposure(self):
        for failure_rate in (1, 0.4, 0.15):
            with self.subTest(failure_rate=failure_rate):
                self.setUp()
                self.simulate(ROLLOUT_SECONDS, failure_rate)
                self.assertEqual(self.find_phases(), {'withdrawn'})
                max_sent = 0.1 * sum(self.sent.values()) + 50
                self.assertLessEqual(self.sent['v2'], max_sent)
                before = self.sent['v2']
                self.simulate(2, failure_rate)
                self.assertEqual(self.sent['v2'], before)

    def test_undecided_version_is_withdrawn_at_the_end(self):
        self.simulate(ROLLOUT_SECONDS - 0.4, rate=1)
        self.assertEqual(self.find_phases(), {'withdrawn'})

    def test_version_that_turns_bad_late_is_withdrawn(self):
        self.simulate(ROLLOUT_SECONDS / 2)
        self.simulate(ROLLOUT_SECONDS / 2, 0.6)
        self.assertEqual(self.find_phases(), {'withdrawn'})
        self.assertLessEqual(
            self.sent['v2'], 0.1 * sum(self.sent.values()) + 50
        )

    def test_new_version_gets_nothing_before_its_order(self):
        for host in self.hosts:
            host.record_cache.adopt(Record(RecordKind.rollout, 'app', 11, None))
        self.simulate(1)
        self.assertIsNone(self.hosts[0].rollouts.find('app'))

    def test_withdrawn_version_gets_nothing_even_if_alone(self):
        self.simulate(ROLLOUT_SECONDS, 1)
        host = self.hosts[0]
        new = {
            name: server
            for name, server in host.list_servers().items()
            if server.version == 'v2'
        }
        found = host.rollouts.filter_servers(make_request_state('late'), new)
        self.assertEqual(found, {})

    def test_restarted_host_follows_the_recorded_state(self):
        for recorded_state, version in (
            ('completed', 'v2'),
            ('rolled_back', 'v1'),
        ):
            with self.subTest(recorded_state=recorded_state):
                self.setUp()
                self.order()
                host = self.hosts[0]
                status = {'state': recorded_state, 'target': 'v2'}
                host.record_cache.adopt(make_order(20, status))
                host.rollouts.advance()
                found = host.rollouts.filter_servers(
                    make_request_state('one'), host.list_servers()
                )
                versions = {server.version for server in found.values()}
                self.assertEqual(versions, {version})

    def test_status_of_an_earlier_order_does_not_count(self):
        status = {'state': 'rolled_back', 'target': 'v2'}
        host = self.hosts[0]
        host.record_cache.adopt(make_order(20, status, target='v3'))
        rollout = host.record_cache.list_rollouts()[0]
        self.assertIsNone(rollout.state)

    def test_restarted_host_uses_the_published_start(self):
        self.simulate(ROLLOUT_SECONDS / 2)
        begin = self.hosts[0].rollouts.find('app').move.begin_wall
        self.clock.advance(1)
        late_host = self.make_host('d')
        late_host.record_cache.adopt(make_order())
        late_host.rollouts.advance()
        self.assertEqual(late_host.rollouts.find('app').move.begin_wall, begin)

    def test_rollout_is_open_while_both_versions_run(self):
        """The autoscaler counted the servers of a withdrawn version."""
        self.simulate(ROLLOUT_SECONDS, 1)
        host = self.hosts[0]
        self.assertTrue(host.rollouts.is_open('app'))
        for name in ('s3', 's4', 's5'):
            host.record_cache.adopt(Record(RecordKind.server, name, 40, None))
        self.assertFalse(host.rollouts.is_open('app'))

    def test_malformed_order_is_ignored(self):
        host = self.hosts[0]
        record = Record(RecordKind.rollout, 'app', 30, b'{"spec": 7}')
        host.record_cache.adopt(record)
        self.assertEqual(host.record_cache.list_rollouts(), ())


class OutcomeTest(RolloutCase):
    """Check the states that the lease holder writes."""

    async def test_states_are_recorded_once_each(self):
        writer = FakeWriter()
        recorder = self.make_recorder(writer)
        self.simulate(1)
        await recorder.step(HOLDER)
        await recorder.step(HOLDER)
        self.simulate(ROLLOUT_SECONDS - 1.7)
        await recorder.step(HOLDER)
        await recorder.step(HOLDER)
        self.assertEqual(
            writer.states, [RolloutState.under_way, RolloutState.done]
        )

    async def test_next_order_is_not_concluded_as_the_one_before(self):
        """The state of one order was once written for the next order.

        The writer ran before the evaluation of the next order had begun.
        """
        writer = FakeWriter()
        recorder = self.make_recorder(writer)
        self.simulate(ROLLOUT_SECONDS)
        await recorder.step(HOLDER)
        done = {'state': 'completed', 'target': 'v2'}
        for host in self.hosts:
            host.record_cache.adopt(make_order(20, done, target='v3'))
        await recorder.step(HOLDER)
        self.assertEqual(writer.states, [RolloutState.done])
        self.simulate(1)
        await recorder.step(HOLDER)
        self.assertEqual(writer.states[-1], RolloutState.under_way)

    async def test_failed_write_is_retried(self):
        writer = FakeWriter()
        writer.failures = [StoreFailure.lost, StoreFailure.conflict]
        recorder = self.make_recorder(writer)
        self.simulate(1)
        for _ in range(3):
            await recorder.step(HOLDER)
        self.assertEqual(writer.states, [RolloutState.under_way])

    async def test_old_servers_finish_their_requests_first(self):
        writer = FakeWriter()
        recorder = self.make_recorder(writer)
        host = self.hosts[0]
        old = host.list_servers()['s0']
        candidate = host.loads.make_candidate(
            old, None, 1, same_zone=True, home=False
        )
        attempt = host.loads.begin(old, candidate, 1)
        self.simulate(ROLLOUT_SECONDS - 1.7)
        self.assertEqual(self.find_phases(), {'done'})
        await recorder.step(HOLDER)
        self.assertEqual(writer.states, [RolloutState.under_way])
        host.loads.end(old, attempt)
        await recorder.step(HOLDER)
        self.assertEqual(writer.states[-1], RolloutState.done)

    async def test_outcome_is_written_before_the_deadline(self):
        writer = FakeWriter()
        recorder = self.make_recorder(writer)
        host = self.hosts[0]
        old = host.list_servers()['s0']
        candidate = host.loads.make_candidate(
            old, None, 1, same_zone=True, home=False
        )
        host.loads.begin(old, candidate, 1)
        self.simulate(ROLLOUT_SECONDS - 0.9)
        await recorder.step(HOLDER)
        self.assertEqual(writer.states, [RolloutState.done])


def make_request_state(attempt_id):
    request = CallerRequest(
        attempt_id,
        'GET',
        f'/a/{attempt_id}',
        '/a/',
        'a.example',
        '',
        0,
        1,
        (),
        b'',
    )
    admitted = AdmittedRequest(request, ROUTE, Service('app'), None, 1, 1, 1)
    return RequestState(admitted, RecordingCaller())


def get_name(server: BackendServer):
    return server.name
