"""Test answers whose servers fail and whose callers disconnect."""

import unittest
from dataclasses import replace
from unittest.mock import create_autospec

from returns.result import Failure, Success

from monsoonwall.backends.engine import ModelEngine
from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import ManualClock, SystemClock
from monsoonwall.entry.request_replication import (
    UNREAD_DROP_SECONDS,
    UNREAD_PAUSE_SECONDS,
    AnswerCleanupTask,
)
from monsoonwall.pipeline.answers import (
    Answer,
    AnswerTable,
    InterruptionKind,
    ReadPosition,
    RunningAttempt,
)
from monsoonwall.pipeline.dispatch import Dispatcher, Stages
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Call,
    Chunk,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
    ServerChoice,
)
from monsoonwall.pipeline.stages import (
    Claiming,
    RetryPolicy,
    ServerRouting,
    VersionChoice,
)
from monsoonwall.streams.copy_store import CopyStore
from monsoonwall.streams.replication import Replicator

TOKENS = tuple(f't{position} ' for position in range(6))
CRASH = AttemptFailure(AttemptEnding.crashed, 'gone', True)
CALL = Call(
    request_id='own.1',
    workspace='depot',
    route='hotline',
    service='assistant',
    priority=Priority.interactive,
    idempotent=True,
    idempotency_key=None,
    deadline=0,
    content_key='',
    prompt='hi',
    max_tokens=len(TOKENS),
)
SERVERS = ('engine-0', 'engine-1')


class FixedRouting(ServerRouting):
    """Choose the first server that is not excluded."""

    def choose_server(self, call, version, excluded, isolated, now):
        available = [name for name in SERVERS if name not in excluded]
        if available:
            return Success(ServerChoice(available[0], 'zone-a', version))
        return Failure(Refusal(RefusalReason.no_server, Effect.unknown, ''))

    def record_dispatch(self, call, choice, now):
        """Ignore dispatches."""


class FourAttemptsPolicy(RetryPolicy):
    """Allow four attempts without delays."""

    def decide_retry(self, call, failures, failure, now):
        if failures < 4:
            return Success(now)
        return Failure(Refusal(RefusalReason.retry_budget, Effect.unknown, ''))


class CrashingEngine:
    """Generate a fixed number of tokens in each attempt, then crash."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.attempts = []

    async def generate(self, generate_request):
        self.attempts.append(generate_request.attempt)
        start = len(generate_request.emitted)
        for offset in range(start, min(len(TOKENS), start + self.tokens)):
            # No chunk is marked as the last; the engine crashes before that.
            yield Chunk(
                'own.1', generate_request.attempt, offset, (TOKENS[offset],)
            )
        yield CRASH


class ResumptionTest(unittest.IsolatedAsyncioTestCase):
    """Run a dispatcher on two engines that crash."""

    async def run_call(self, tokens):
        self.engine = CrashingEngine(tokens)
        pool = create_autospec(BackendPool, instance=True)
        adapter = create_autospec(ModelEngine, instance=True)
        adapter.generate = self.engine.generate
        pool.find_engine.return_value = adapter
        versions = create_autospec(VersionChoice, instance=True)
        versions.choose_version.return_value = 'v1'
        versions.choose_retry_version.return_value = 'v1'
        stages = Stages(
            versions,
            FixedRouting(),
            FourAttemptsPolicy(),
            create_autospec(Claiming, instance=True),
            (),
        )
        clock = SystemClock()
        deadline = clock.read_monotonic() + 60
        answer = Answer(replace(CALL, deadline=deadline))
        dispatcher = Dispatcher(stages, pool, clock)
        await dispatcher.run_model_call(answer, False)
        return answer

    async def test_failed_servers_are_tried_again_if_no_other_is_left(self):
        answer = await self.run_call(tokens=2)
        self.assertEqual(tuple(answer.tokens), TOKENS)
        self.assertEqual(self.engine.attempts, [1, 2, 3])

    async def test_answer_with_all_tokens_is_finished_without_a_final_event(
        self,
    ):
        answer = await self.run_call(tokens=len(TOKENS))
        self.assertTrue(answer.finished)

    async def test_retries_are_limited(self):
        answer = await self.run_call(tokens=1)
        self.assertEqual(answer.refusal.reason, RefusalReason.retry_budget)


class FollowTest(unittest.IsolatedAsyncioTestCase):
    """Follow an answer from the positions of reconnecting callers."""

    async def follow(self, answer, seen):
        return [piece async for piece in answer.follow(seen)]

    def make_answer(self, tokens):
        answer = Answer(CALL, tokens=tokens)
        answer.finish()
        return answer

    async def test_answer_that_differs_from_the_callers_text_is_refused(self):
        other = self.make_answer(('x', *TOKENS[1:]))
        seen = await self.follow(self.make_answer(TOKENS[:3]), ReadPosition())
        pieces = await self.follow(other, ReadPosition(3, seen[0].digest))
        self.assertEqual(
            [piece.refusal.reason for piece in pieces],
            [RefusalReason.answer_diverged],
        )

    async def test_answer_that_matches_the_callers_text_is_continued(self):
        seen = await self.follow(self.make_answer(TOKENS[:3]), ReadPosition())
        rest = await self.follow(
            self.make_answer(TOKENS), ReadPosition(3, seen[0].digest)
        )
        self.assertEqual(rest[0].tokens, TOKENS[3:])

    async def test_answer_shorter_than_the_callers_text_is_refused(self):
        pieces = await self.follow(
            self.make_answer(TOKENS[:2]), ReadPosition(3, 'any')
        )
        self.assertEqual(
            pieces[0].refusal.reason, RefusalReason.answer_diverged
        )


class AnswerCleanupTest(unittest.IsolatedAsyncioTestCase):
    """Disconnect and reconnect the caller at given times."""

    def setUp(self):
        self.clock = ManualClock()
        self.answers = AnswerTable()
        self.answer = self.answers.add(Answer(CALL))
        self.answer.running_attempt = create_autospec(
            RunningAttempt, instance=True
        )
        self.cleanup_task = AnswerCleanupTask(
            self.answers,
            CopyStore(self.clock),
            create_autospec(Replicator, instance=True),
            self.clock,
        )

    async def pass_time(self, seconds):
        await self.cleanup_task.sweep()
        self.clock.advance(seconds)
        await self.cleanup_task.sweep()

    async def test_unread_generation_is_paused_then_dropped(self):
        await self.pass_time(UNREAD_PAUSE_SECONDS - 1)
        self.answer.running_attempt.interrupt.assert_not_called()
        await self.pass_time(1)
        interrupt = self.answer.running_attempt.interrupt
        interruption = interrupt.call_args.args[0]
        self.assertIs(interruption.kind, InterruptionKind.abandoned)
        self.answer.running_attempt = None
        await self.pass_time(UNREAD_DROP_SECONDS)
        self.assertIsNone(self.answers.find(CALL.request_id))

    async def test_returning_caller_resets_the_timer(self):
        await self.pass_time(UNREAD_PAUSE_SECONDS - 1)
        self.answer.readers = 1
        await self.pass_time(UNREAD_PAUSE_SECONDS)
        self.answer.readers = 0
        await self.pass_time(UNREAD_PAUSE_SECONDS - 1)
        self.answer.running_attempt.interrupt.assert_not_called()
