"""Test the load counts of the routing stage, and its choice of servers."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from monsoonwall.pipeline.messages import (
    AttemptEnding,
    Effect,
    RefusalReason,
)
from tests.pipeline.stages import SERVERS, Host, make_call, make_record

servers = st.sampled_from(SERVERS)
prompts = st.sampled_from(['', 'hand warmer ' * 200, 'dresser setting ' * 300])


class RoutingMachine(RuleBasedStateMachine):
    """Compare the counts of running attempts with a list of them."""

    def __init__(self):
        super().__init__()
        self.host = Host()
        self.running = []
        self.leaving = {}
        self.number = 0

    @rule(prompt=prompts, excluded=st.sets(servers))
    def dispatch(self, prompt, excluded):
        self.number += 1
        call = make_call(self.number, prompt, deadline=self.host.now + 1000)
        now = self.host.now
        choice = self.host.routing.choose_server(
            call, 'v1', frozenset(excluded), False, now
        )
        available = {
            name
            for name in SERVERS
            if self.leaving.get(name, 0) <= now and name not in excluded
        }
        if available:
            chosen = choice.unwrap()
            assert chosen.server in available
            self.host.routing.record_dispatch(call, chosen, now)
            self.running.append((call, chosen))
        else:
            assert choice.failure().reason is RefusalReason.no_server

    @rule(ending=st.sampled_from(list(AttemptEnding)), index=st.integers(0, 9))
    def finish(self, ending, index):
        if self.running:
            call, choice = self.running.pop(index % len(self.running))
            record = make_record(call, choice, self.host.now, ending)
            self.host.routing.observe(record)

    @rule(server=servers, seconds=st.floats(1, 60))
    def announce_leaving(self, server, seconds):
        until = self.host.now + seconds
        self.host.server_view.availability.mark_leaving(server, until)
        self.leaving[server] = max(until, self.leaving.get(server, until))

    @rule(seconds=st.floats(0.1, 30))
    def wait(self, seconds):
        self.host.clock.advance(seconds)

    @rule()
    def lose_records(self):
        # All deadlines pass, and no end of an attempt is observed.
        self.host.clock.advance(2000)
        self.host.routing.close_overdue_attempts(self.host.now)
        self.running.clear()

    @invariant()
    def counts_what_runs(self):
        for name in SERVERS:
            tracker = self.host.server_view.loads.find(name)
            expected = sum(choice.server == name for _, choice in self.running)
            assert tracker.own.latest.running == expected


class RoutingStageTest(unittest.TestCase):
    """Check the routing and screening of single requests."""

    def test_equal_prompts_go_to_one_server(self):
        host = Host()
        chosen = set()
        for number in range(20):
            call = make_call(number, 'intake record ' * 400)
            choice = host.routing.choose_server(
                call, 'v1', frozenset(), False, host.now
            ).unwrap()
            host.routing.record_dispatch(call, choice, host.now)
            host.clock.advance(2)
            host.routing.observe(make_record(call, choice, host.now))
            chosen.add(choice.server)
        self.assertEqual(len(chosen), 1)

    def test_no_server_refusal_has_true_effect_after_attempts(self):
        host = Host()
        for call, effect in (
            (make_call(1), Effect.unknown),
            (make_call(2, idempotent=False), Effect.not_run),
        ):
            refusal = host.routing.choose_server(
                call, 'v1', frozenset(SERVERS), False, host.now
            ).failure()
            self.assertIs(refusal.effect, effect)

    def test_crashes_on_two_servers_convict_request(self):
        host = Host()
        call = make_call(1, 'poison')
        for _ in range(2):
            choice = host.routing.choose_server(
                call, 'v1', frozenset(), False, host.now
            ).unwrap()
            host.clock.advance(10)
            host.screening.observe(
                make_record(call, choice, host.now, AttemptEnding.crashed)
            )
            crash_check = host.screening.crash_checks.get_nowait()
            host.screening.finish_check(crash_check, crashed=True)
        refusal = host.screening.screen(call, host.now).failure()
        self.assertIs(refusal.reason, RefusalReason.crashing_request)
        self.assertIs(refusal.effect, Effect.not_run)

    def test_request_is_not_suspect_if_server_still_runs(self):
        host = Host()
        call = make_call(1, 'draft')
        choice = host.routing.choose_server(
            call, 'v1', frozenset(), False, host.now
        ).unwrap()
        host.screening.observe(
            make_record(call, choice, host.now, AttemptEnding.crashed)
        )
        self.assertTrue(host.screening.screen(call, host.now).unwrap())
        crash_check = host.screening.crash_checks.get_nowait()
        host.screening.finish_check(crash_check, crashed=False)
        self.assertFalse(host.screening.screen(call, host.now).unwrap())


RoutingMachineTest = RoutingMachine.TestCase
RoutingMachineTest.settings = settings(max_examples=40)
