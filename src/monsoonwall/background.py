"""Keep the long-lived tasks of a process running."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.budget import Backoff
from monsoonwall.logs import make_logger
from monsoonwall.metrics import TASK_FAILURES

_MIN_PAUSE_SECONDS: Final = 0.1
# Other hosts miss what a task publishes after a few seconds.
_MAX_PAUSE_SECONDS: Final = 2.0
# The pauses start anew once a task has run for this long.
_STABLE_SECONDS: Final = 10.0

_log = make_logger('background')


class BackgroundTask:
    """A task that is started again, with backoff, whenever it fails.

    ``run`` must be able to continue from the state that a failure leaves.
    """

    def __init__(
        self, name: str, run: Callable[[], Awaitable[None]], clock: Clock
    ) -> None:
        self.name = name
        self._run = run
        self._clock = clock
        self._random = Random(name)
        self._backoff = Backoff(_MIN_PAUSE_SECONDS, _MAX_PAUSE_SECONDS)

    async def run(self) -> None:
        """Run the task until cancelled."""
        while True:
            began = self._clock.read_monotonic()
            try:
                await self._run()
            except Exception:
                _log.exception('Background task failed.', task=self.name)
            else:
                _log.error('Background task ended.', task=self.name)
            TASK_FAILURES.labels(self.name).inc()
            now = self._clock.read_monotonic()
            if now - began >= _STABLE_SECONDS:
                self._backoff.reset()
            retry_at = self._backoff.record_failure(now, self._random.random())
            await asyncio.sleep(retry_at - now)


def make_periodic_task(
    name: str, step: Callable[[], None], seconds: float, clock: Clock
) -> BackgroundTask:
    """Return a task that takes a step at regular intervals."""
    return BackgroundTask(name, partial(_repeat, step, seconds), clock)


async def _repeat(step: Callable[[], None], seconds: float) -> None:
    while True:
        step()
        await asyncio.sleep(seconds)
