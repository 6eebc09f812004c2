"""Check the effect in refusals, wherever in the dispatcher a call can end.

Each case sets how the attempts end and whether the servers began the call. A
refusal may state ``not_run`` only if no server did.
"""

import asyncio
import unittest
from collections import deque
from unittest.mock import patch

from hypothesis import given, strategies
from returns.pipeline import is_successful
from returns.result import Failure, Success

from monsoonwall.backends.engine import GenerateRequest
from monsoonwall.clocks import ManualClock
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.dispatch import Dispatcher, Stages
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Chunk,
    Effect,
    Refusal,
    RefusalReason,
    ServerChoice,
    ServiceReply,
)
from monsoonwall.pipeline.retrying import BudgetedRetryPolicy
from monsoonwall.pipeline.stages import (
    Claiming,
    ServerRouting,
    VersionChoice,
)
from tests.pipeline.stages import Host, make_call

NO_SERVER = Refusal(
    RefusalReason.no_server, Effect.not_run, 'no server is left', 1
)
CLAIM_REFUSED = Refusal(
    RefusalReason.platform_unavailable, Effect.not_run, 'no platform', 1
)
ANSWER_TOKENS = ('a ', 'b ', 'c ', 'd ', 'e ')

# By name: how an attempt ends, and whether its server began the call.
ENDINGS = {
    'refused': (AttemptFailure(AttemptEnding.unreachable, '', False), False),
    'busy': (AttemptFailure(AttemptEnding.busy, '', False), False),
    'crashed': (AttemptFailure(AttemptEnding.crashed, '', True), True),
    'failed': (AttemptFailure(AttemptEnding.failed, '', True), True),
    'timed_out': (AttemptFailure(AttemptEnding.timed_out, '', True), False),
    'completed': (None, True),
}

endings = strategies.lists(strategies.sampled_from(sorted(ENDINGS)), max_size=6)


class _FixedVersion(VersionChoice):
    def choose_version(self, call, now):
        return 'v1'


class _ScriptedRouting(ServerRouting):
    """Choose a server for each remaining ending, then refuse."""

    def __init__(self, ending_names):
        self.remaining = deque(ending_names)

    def choose_server(self, call, version, excluded, isolated, now):
        if not self.remaining:
            return Failure(NO_SERVER)
        return Success(ServerChoice(self.remaining[0], 'zone-a', version))

    def record_dispatch(self, call, choice, now):
        """Do nothing."""


class _FixedClaiming(Claiming):
    def __init__(self, granted):
        self._granted = granted

    async def claim(self, call):
        return Success(None) if self._granted else Failure(CLAIM_REFUSED)

    async def conclude(self, call, ending):
        """Discard the outcome."""


class _ScriptedBackends:
    """End each attempt with the next remaining ending."""

    def __init__(self, routing):
        self._routing = routing
        self.began = False

    def find_engine(self, name):
        return self

    def find_service(self, name):
        return self

    async def generate(self, generate_request: GenerateRequest):
        failure = self._end()
        if failure is not None:
            yield failure
            return
        call = generate_request.call
        tokens = ANSWER_TOKENS[len(generate_request.emitted) :]
        yield Chunk(
            call.request_id,
            generate_request.attempt,
            len(generate_request.emitted),
            tokens,
            True,
        )

    async def send_call(self, call):
        failure = self._end()
        if failure is not None:
            return Failure(failure)
        return Success(ServiceReply(200, 'text/plain', b'done'))

    async def cancel(self, request_id, attempt):
        """Ignore the cancellation."""

    def _end(self):
        failure, began = ENDINGS[self._routing.remaining.popleft()]
        self.began = self.began or began
        return failure


class EffectTest(unittest.TestCase):
    """Run calls through the dispatcher in virtual time."""

    def setUp(self):
        self.clock = ManualClock()
        self.enterContext(patch.object(asyncio, 'sleep', self.advance))

    async def advance(self, seconds):
        self.clock.advance(seconds)

    def make_dispatcher(self, ending_names, granted=True):
        routing = _ScriptedRouting(ending_names)
        backends = _ScriptedBackends(routing)
        screening = Host().screening
        stages = Stages(
            _FixedVersion(),
            routing,
            BudgetedRetryPolicy(screening),
            _FixedClaiming(granted),
            (),
        )
        return Dispatcher(stages, backends, self.clock), backends

    def send(self, ending_names, idempotent, granted=True):
        dispatcher, backends = self.make_dispatcher(ending_names, granted)
        call = make_call(1, idempotent=idempotent, deadline=float('inf'))

        outcome = asyncio.run(dispatcher.run_plain_call(call, False))
        return outcome, backends.began

    @given(endings, strategies.booleans())
    def test_plain_calls(self, ending_names, idempotent):
        outcome, began = self.send(ending_names, idempotent)
        if is_successful(outcome):
            return
        refusal = outcome.failure()
        if refusal.effect is Effect.not_run:
            self.assertFalse(began, refusal)
        if not idempotent and refusal.effect is Effect.run:
            self.assertTrue(began, refusal)

    def test_unclaimed_call_is_not_sent(self):
        outcome, began = self.send(['completed'], False, granted=False)
        self.assertEqual(outcome.failure(), CLAIM_REFUSED)
        self.assertFalse(began)

    def test_possibly_executed_call_is_not_retried(self):
        outcome, _ = self.send(['timed_out', 'completed'], False)
        self.assertEqual(outcome.failure().effect, Effect.unknown)

    def test_taken_over_answer_without_server(self):
        dispatcher, _ = self.make_dispatcher([])
        answer = Answer(make_call(1, deadline=float('inf')))

        asyncio.run(dispatcher.run_model_call(answer, False, attempt=2))
        self.assertEqual(answer.refusal.effect, Effect.unknown)

    def test_new_answer_without_server(self):
        dispatcher, _ = self.make_dispatcher([])
        answer = Answer(make_call(1, deadline=float('inf')))

        asyncio.run(dispatcher.run_model_call(answer, False))
        self.assertEqual(answer.refusal.effect, Effect.not_run)
