"""Test that claimed calls run at most once, despite failures.

A state machine drives three hosts with one faulty store. Callers repeat their
calls on any host; hosts pause between claim and dispatch, restart without
their memory, and lose contact with each other. Executions are counted for
each key.
"""

import asyncio
import unittest
from collections import Counter
from itertools import count, islice

from hypothesis import settings, strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)
from returns.pipeline import is_successful

from monsoonwall.claims.claiming import JournalClaiming
from monsoonwall.claims.status import (
    UNKNOWN_CLAIM,
    ClaimStatusClient,
    get_claiming_host,
)
from monsoonwall.claims.writer import JournalWriters
from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.claims import choose_shard, make_claim_key
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Call,
    Effect,
    Priority,
    RefusalReason,
    ServiceReply,
)
from tests.claims.stores import FAULTS, FaultyStore

HOSTS = ('host-a', 'host-b', 'host-c')
LOOP_TURNS = 60
NOT_RUN = AttemptFailure(AttemptEnding.unreachable, 'refused', False)
MAYBE_RUN = AttemptFailure(AttemptEnding.crashed, 'reset', True)

hosts = strategies.sampled_from(HOSTS)
keys = strategies.sampled_from(('key-1', 'key-2'))
faults = strategies.lists(strategies.sampled_from(FAULTS), max_size=4)
endings = strategies.sampled_from(('reply', 'not_run', 'ran_lost', 'pause'))


def make_call(request_id, key, content='content'):
    return Call(
        request_id=request_id,
        workspace='depot',
        route='stock-reservation',
        service='ledger',
        priority=Priority.interactive,
        idempotent=False,
        idempotency_key=key,
        deadline=1_000_000,
        content_key=content,
    )


def make_shard_calls(size):
    """Return calls whose claims share a journal, so that it is sealed."""
    calls = (make_call(f'r{number}', f'key-{number}') for number in count())
    first_shard_calls = (
        call for call in calls if not choose_shard(make_claim_key(call))
    )
    return list(islice(first_shard_calls, size))


class Cluster:
    """Hold the hosts, their store and the number of executions by key."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        # Timers run on the manual clock, so no result depends on real time.
        self.loop.time = self.clock.read_monotonic
        self.store = FaultyStore()
        self.claimings = {}
        self.writers = {}
        self.unreachable = set()
        self.executed = Counter()
        self.errors = []
        self.loop.set_exception_handler(self._record_error)
        for name in HOSTS:
            self.restart(name)

    def restart(self, name):
        """Restart a host without its memory."""
        previous = self.writers.pop(name, None)
        if previous is not None:
            previous.close()
        self.writers[name] = JournalWriters(self.store, self.clock, 0)
        self.claimings[name] = JournalClaiming(
            name,
            self.writers[name].find_writer,
            DirectStatusClient(self),
            self.clock,
        )

    def start(self, coroutine):
        return self.loop.create_task(coroutine)

    def run_ready(self):
        """Run the tasks that need no time to pass."""
        self.loop.run_until_complete(self._yield_turns())

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run_ready()
        self.loop.close()
        assert not self.errors, self.errors

    def _record_error(self, _loop, context):
        # Unfinished tasks of a restarted host are expected; exceptions are not.
        if 'exception' in context:
            self.errors.append(context)

    async def _yield_turns(self):
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)


class DirectStatusClient(ClaimStatusClient):
    """Query the other hosts' claims without a network."""

    def __init__(self, cluster):
        self._cluster = cluster

    async def query_status(self, token):
        claiming_host = get_claiming_host(token)
        if claiming_host in self._cluster.unreachable:
            return UNKNOWN_CLAIM
        return self._cluster.claimings[claiming_host].get_claim_report(token)


class ClaimMachine(RuleBasedStateMachine):
    """Drive the hosts and count the executions by key."""

    calls = Bundle('calls')

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.numbers = count()
        self.waiting = []
        self.paused = []
        self.replies = {}

    @rule(host=hosts, key=keys, failing=faults, ending=endings)
    def send_call(self, host, key, failing, ending):
        self.cluster.store.faults.extend(failing)
        call = make_call(f'request-{next(self.numbers)}', key)
        claiming = self.cluster.claimings[host]
        task = self.cluster.start(claiming.claim(call))
        self.waiting.append((task, call, claiming, ending))
        self._handle_finished()

    @rule()
    def apply_delayed_writes(self):
        self.cluster.store.apply_delayed()
        self._handle_finished()

    @rule()
    def pass_time(self):
        self.cluster.clock.advance(3)
        self._handle_finished()

    @rule(host=hosts)
    def restart_host(self, host):
        replaced = self.cluster.claimings[host]
        self.cluster.restart(host)
        self.waiting = [
            waiting for waiting in self.waiting if waiting[2] is not replaced
        ]
        self.paused = [
            paused for paused in self.paused if paused[1] is not replaced
        ]
        self._handle_finished()

    @rule(host=hosts, disconnected=strategies.booleans())
    def set_disconnected(self, host, disconnected):
        if disconnected:
            self.cluster.unreachable.add(host)
        else:
            self.cluster.unreachable.discard(host)

    @rule(ending=endings)
    def resume_paused(self, ending):
        resumed = self.paused
        self.paused = []
        for call, claiming in resumed:
            self._dispatch(call, claiming, ending)
        self._handle_finished()

    @invariant()
    def runs_at_most_once(self):
        for key, times in self.cluster.executed.items():
            assert times <= 1, f'{key} ran {times} times'

    def teardown(self):
        self.cluster.close()

    def _handle_finished(self):
        self.cluster.run_ready()
        for waiting in tuple(self.waiting):
            if waiting[0].done():
                self.waiting.remove(waiting)
                self._handle_outcome(*waiting)
        self.cluster.run_ready()

    def _handle_outcome(self, task, call, claiming, ending):
        outcome = task.result()
        key = call.idempotency_key
        if not is_successful(outcome):
            refusal = outcome.failure()
            if refusal.effect is Effect.run:
                assert self.cluster.executed[key] == 1
            return
        earlier = outcome.unwrap()
        if earlier is None:
            self._dispatch(call, claiming, ending)
        else:
            assert earlier == self.replies[key]

    def _dispatch(self, call, claiming, ending):
        key = call.idempotency_key
        if ending == 'pause':
            self.paused.append((call, claiming))
            return
        if ending == 'reply':
            self.replies[key] = ServiceReply(
                200, 'text/plain', call.request_id.encode()
            )
        self.cluster.executed[key] += ending != 'not_run'
        outcomes = {
            'not_run': NOT_RUN,
            'ran_lost': MAYBE_RUN,
            'reply': self.replies.get(key, MAYBE_RUN),
        }
        self.cluster.start(claiming.conclude(call, outcomes[ending]))


ClaimMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=30, derandomize=True, deadline=None
)


class ClaimMachineTest(ClaimMachine.TestCase):
    """Run the state machine."""


class ClaimingTest(unittest.TestCase):
    """Test single cases that callers see."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def claim(self, host, call):
        task = self.cluster.start(self.cluster.claimings[host].claim(call))
        self.cluster.run_ready()
        return task.result()

    def conclude(self, host, call, ending):
        self.cluster.start(self.cluster.claimings[host].conclude(call, ending))
        self.cluster.run_ready()

    def test_repeat_on_another_host_gets_the_recorded_reply(self):
        call = make_call('one', 'key')
        reply = ServiceReply(201, 'text/plain', b'kept')
        self.assertIsNone(self.claim('host-a', call).unwrap())
        self.conclude('host-a', call, reply)
        self.cluster.restart('host-a')
        again = self.claim('host-b', make_call('two', 'key'))
        self.assertEqual(again.unwrap(), reply)

    def test_outage_is_refused_as_not_run(self):
        self.cluster.store.faults.append('unavailable')
        refusal = self.claim('host-a', make_call('one', 'key')).failure()
        self.assertEqual(refusal.reason, RefusalReason.platform_unavailable)
        self.assertEqual(refusal.effect, Effect.not_run)

    def test_key_with_other_content_is_refused(self):
        self.claim('host-a', make_call('one', 'key'))
        refusal = self.claim('host-b', make_call('two', 'key', 'other'))
        self.assertEqual(refusal.failure().reason, RefusalReason.key_reused)

    def test_running_call_is_refused_as_in_progress(self):
        self.claim('host-a', make_call('one', 'key'))
        refusal = self.claim('host-b', make_call('two', 'key')).failure()
        self.assertEqual(refusal.reason, RefusalReason.in_progress)

    def test_undispatched_call_can_be_claimed_again(self):
        call = make_call('one', 'key')
        self.claim('host-a', call)
        self.conclude('host-a', call, NOT_RUN)
        self.assertIsNone(
            self.claim('host-b', make_call('two', 'key')).unwrap()
        )

    def test_claim_is_granted_if_its_write_response_was_lost(self):
        self.cluster.store.faults.append('lost_done')
        self.assertIsNone(
            self.claim('host-a', make_call('one', 'key')).unwrap()
        )

    def test_sealed_records_still_count(self):
        calls = make_shard_calls(600)
        for call in calls:
            self.claim('host-a', call)
        for call in calls[::50]:
            again = self.claim('host-b', call)
            self.assertFalse(is_successful(again))

    def test_failed_write_keeps_the_expired_segments(self):
        calls = make_shard_calls(300)
        for call in calls[2:]:
            self.claim('host-a', call)
        self.assertTrue(any('-' in key for key in self.cluster.store.objects))
        self.cluster.clock.advance(100_000)
        self.cluster.store.faults.append('unavailable')
        self.assertFalse(is_successful(self.claim('host-a', calls[0])))
        self.assertIsNone(self.claim('host-b', calls[1]).unwrap())
