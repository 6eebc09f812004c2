"""Test that no background task of a process ends unnoticed."""

import asyncio
import unittest
from unittest.mock import patch

from prometheus_client import REGISTRY

from monsoonwall.background import BackgroundTask, make_periodic_task
from monsoonwall.clocks import SystemClock
from monsoonwall.gateway.host import Gateway
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.platform.adapters import make_adapters

WAIT_SECONDS = 3
# The task fails this often in a row before it runs.
FAILURES = 4
TASKS = frozenset(
    (
        'watch-catalogue',
        'watch-server',
        'watch-rollout',
        'records',
        'duties',
        'signals',
        'pool',
        'moves',
        'loads',
        'grants',
        'tunnels',
        'counts',
        'rollouts',
    )
)


def count_failures(task):
    name = 'monsoonwall_task_failures_total'
    return REGISTRY.get_sample_value(name, {'task': task}) or 0


class FailingTask:
    """Fail a number of times, then run until cancelled."""

    def __init__(self, failures):
        self.failures = failures
        self.calls = 0
        self.running = asyncio.Event()

    async def run(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise ValueError('one step failed')
        self.running.set()
        await asyncio.sleep(3600)


class BackgroundTaskTest(unittest.IsolatedAsyncioTestCase):
    """Run tasks that fail once, for a while, or for ever."""

    def start(self, name, run):
        task = BackgroundTask(name, run, SystemClock())
        running = asyncio.create_task(task.run())
        self.addCleanup(running.cancel)
        return running

    async def test_failed_task_is_started_again(self):
        """The first exception of a step ended the exchange of grants."""
        for failures in (1, FAILURES):
            with self.subTest(failures=failures):
                before = count_failures('some')
                failing = FailingTask(failures)
                self.start('some', failing.run)
                await asyncio.wait_for(failing.running.wait(), WAIT_SECONDS)
                self.assertEqual(count_failures('some') - before, failures)

    async def test_task_that_always_fails_is_repeated_with_pauses(self):
        failing = FailingTask(10_000)
        running = self.start('always', failing.run)
        await asyncio.sleep(1)
        self.assertIn(failing.calls, range(3, 12))
        self.assertFalse(running.done())

    async def test_task_that_returns_is_started_again(self):
        calls = []

        async def end():
            calls.append(1)

        self.start('ending', end)
        await asyncio.sleep(0.5)
        self.assertGreater(len(calls), 1)

    async def test_failing_step_is_taken_again(self):
        outcomes = [ValueError, None, ValueError, None, None]
        taken = asyncio.Event()

        def step():
            if not outcomes:
                taken.set()
                return
            outcome = outcomes.pop()
            if outcome is not None:
                raise outcome

        task = make_periodic_task('steps', step, 0.01, SystemClock())
        running = asyncio.create_task(task.run())
        self.addCleanup(running.cancel)
        await asyncio.wait_for(taken.wait(), WAIT_SECONDS)


class GatewayTasksTest(unittest.IsolatedAsyncioTestCase):
    """Start the tasks of a gateway."""

    def make_gateway(self):
        """Return a gateway that is not started."""
        settings = GatewaySettings(
            'edge-1', 'a', 'r', '', '', '', '', first_start=True
        )
        clock = SystemClock()
        return Gateway(settings, make_adapters(settings, clock), clock)

    async def test_all_tasks_are_kept_running(self):
        gateway = self.make_gateway()
        names = {task.name for task in gateway.background_tasks}
        self.assertEqual(names, TASKS)

    async def test_grants_are_exchanged_after_a_failure(self):
        """Each host granted the whole allowance by itself from then on."""
        patcher = patch(
            'monsoonwall.gateway.serving.ServingStack.exchange_grants',
            side_effect=[OverflowError('too large'), None, None, None, None],
        )
        exchange = patcher.start()
        self.addCleanup(patcher.stop)
        gateway = self.make_gateway()
        task = next(
            task for task in gateway.background_tasks if task.name == 'grants'
        )
        running = asyncio.create_task(task.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(1)
        self.assertGreater(exchange.call_count, 1)


if __name__ == '__main__':
    unittest.main()
