"""Test the rate limit of platform calls and how failures are classified."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st
from msgspec import json
from returns.pipeline import is_successful
from tornado.httpclient import AsyncHTTPClient

from monsoonwall.clocks import ManualClock, SystemClock
from monsoonwall.decisions.budget import RESERVES, Backoff, CallBudget
from monsoonwall.platform.budgeted import BudgetedObjectStore, CallRates
from monsoonwall.platform.http_objects import HttpObjectStore
from monsoonwall.platform.objects import CallReason, StoreFailure
from monsoonwall.platform.status import StatusWriter
from tests.configuration.test_submission import FaultyStore
from tests.standins.deployment import Deployment
from tests.standins.ports import find_free_port

KEY = 'claims/one'
reasons = st.sampled_from(CallReason)
calls = st.lists(st.tuples(reasons, st.sampled_from((0, 0.01, 0.4, 3))))


class BudgetTest(unittest.TestCase):
    """Limit the rate of calls, with reserves for urgent ones."""

    @given(calls=calls, rate=st.sampled_from((1, 10, 50)))
    def test_calls_never_exceed_burst_and_rate(self, calls, rate):
        budget = CallBudget(rate, burst=10, now=0)
        now, taken = 0, 0
        for reason, pause in calls:
            now += pause
            taken += budget.try_spend(reason, now)
            self.assertLessEqual(taken, 10 + rate * now)

    @given(other_reason=reasons)
    def test_other_calls_leave_reserve_for_claims(self, other_reason):
        budget = CallBudget(1, burst=10, now=0)
        taken = [budget.try_spend(other_reason, 0) for _ in range(20)]
        self.assertIn(True, taken)
        allowed = budget.try_spend(CallReason.claim, 0)
        self.assertEqual(allowed, RESERVES[other_reason] > 0)

    def test_call_over_budget_fails_at_once(self):
        store = BudgetedObjectStore(
            FaultyStore(), CallRates(reads=1, writes=1), ManualClock()
        )

        async def call():
            return [await store.read(KEY, CallReason.claim) for _ in range(11)]

        results = [result.failure() for result in asyncio.run(call())]
        self.assertEqual(results[-1], StoreFailure.over_budget)
        self.assertNotIn(StoreFailure.over_budget, results[:-1])

    @given(st.lists(st.floats(0, 1), min_size=1, max_size=50))
    def test_backoff_grows_to_its_maximum(self, chances):
        backoff = Backoff(first_seconds=0.2, max_seconds=3)
        pauses = [backoff.record_failure(0, chance) for chance in chances]
        for index, pause in enumerate(pauses):
            bound = min(3, 0.2 * 2**index)
            self.assertTrue(bound / 2 <= pause <= bound)
        backoff.reset()
        self.assertLessEqual(backoff.record_failure(0, 1), 0.2)


class StatusTest(unittest.TestCase):
    """Write the status of a zone to one object."""

    def test_alternating_writers_resolve_conflicts(self):
        store = FaultyStore()
        sections = {'moves': ['done']}
        writers = [
            StatusWriter(
                'status/a', store, lambda: sections, bool, ManualClock()
            )
            for _ in range(2)
        ]

        async def write():
            return [await writers[turn].write() for turn in (0, 1, 1, 0)]

        self.assertTrue(all(asyncio.run(write())))
        self.assertEqual(store.version, 4)
        written = json.decode(store.contents[-1])
        self.assertEqual(written['sections'], sections)


class FailureTest(unittest.TestCase):
    """Distinguish calls without effect from those that may have had one."""

    def run_calls(self, address, make_calls):
        async def run():
            client = AsyncHTTPClient(force_instance=True)
            store = HttpObjectStore(address, client, SystemClock())
            try:
                return await make_calls(store)
            finally:
                client.close()

        return asyncio.run(run())

    def test_failures_of_reachable_platform_are_distinguished(self):
        with Deployment() as deployment:
            port = deployment.start_platform()

            async def call(store):
                created = await store.create(KEY, b'1', CallReason.claim)
                duplicate = await store.create(KEY, b'2', CallReason.claim)
                deployment.control('platform', lose_responses=True)
                lost = await store.update(KEY, b'3', 1, CallReason.claim)
                deployment.control('platform', outage=True)
                unavailable = await store.read(KEY, CallReason.claim)
                deployment.control('platform')
                large = b' ' * 1_000_001
                too_large = await store.create('a', large, CallReason.claim)
                missing = await store.read('b', CallReason.claim)
                current = await store.read(KEY, CallReason.claim)
                self.assertTrue(is_successful(created))
                self.assertEqual(current.unwrap().content, b'3')
                return [
                    result.failure()
                    for result in (
                        duplicate,
                        lost,
                        unavailable,
                        too_large,
                        missing,
                    )
                ]

            failures = self.run_calls(f'127.0.0.1:{port}', call)
        self.assertEqual(
            failures,
            [
                StoreFailure.conflict,
                StoreFailure.lost,
                StoreFailure.unavailable,
                StoreFailure.too_large,
                StoreFailure.missing,
            ],
        )

    def test_call_to_unreachable_platform_has_no_effect(self):
        async def call(store):
            return await store.read(KEY, CallReason.claim)

        result = self.run_calls(f'127.0.0.1:{find_free_port()}', call)
        self.assertEqual(result.failure(), StoreFailure.unavailable)
