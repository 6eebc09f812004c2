"""Compose the tasks of one gateway and stop them in order."""

import asyncio
import signal
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.entry.meshing import Mesh
from monsoonwall.gateway.following import WatchDuty, make_followers
from monsoonwall.gateway.holding import make_duties
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.outside import Outside
from monsoonwall.gateway.readiness import ReadyServer
from monsoonwall.gateway.serving import Serving
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.spreading import Spreader
from monsoonwall.logs import make_logger
from monsoonwall.mesh.settings import MeshSettings

# The balancer asks each second and drops a host after two misses.
_DROPPED_SECONDS: Final = 2.6
_LAST_SECONDS: Final = 0.4
_LOAD_SECONDS: Final = 0.25
_GRANTS_SECONDS: Final = 0.5
_SLOW_SECONDS: Final = 1.0
_ROLLOUT_SECONDS: Final = 0.5

_log = make_logger('host')


class Gateway:
    """Own everything that one gateway runs."""

    def __init__(
        self, settings: GatewaySettings, outside: Outside, clock: Clock
    ) -> None:
        self._settings = settings
        self._outside = outside
        self._clock = clock
        self._random = Random(settings.host_name)
        self._leaving = asyncio.Event()
        self._mesh = Mesh(
            MeshSettings(
                settings.host_name,
                settings.zone,
                settings.region,
                settings.mesh_address,
                settings.seeds,
            ),
            clock,
        )
        self._knowledge = Knowledge(
            outside.codec, clock, settings.bounds.drain_seconds
        )
        self._serving = Serving(
            settings,
            self._knowledge,
            self._mesh,
            outside,
            clock,
            self._random,
        )
        self._followers = make_followers(
            outside.records,
            self._knowledge,
            clock,
            self._random,
            WatchDuty(
                self._mesh.board,
                self._mesh.peers,
                settings.host_name,
                settings.zone,
            ),
            settings.first_start,
        )
        self._ready = ReadyServer(
            settings.ready_address, outside.ready_path, self._is_ready
        )
        self._duties = make_duties(
            settings,
            outside,
            self._knowledge,
            self._serving,
            self._mesh.peers,
            clock,
        )

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown."""
        loop = asyncio.get_running_loop()
        for asked in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asked, self._leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self._ready.listen()
        self._serving.ingress.listen()
        await self._mesh.start((), self._outside.objects)
        running = [asyncio.create_task(task) for task in self._list_tasks()]
        for task in running:
            task.add_done_callback(self._note_task_ended)
        _log.info('Gateway started.', host=self._settings.host_name)
        await self._leaving.wait()
        await self._shut_down()
        for task in running:
            task.cancel()

    def _list_tasks(self) -> Iterable[asyncio.Future[None]]:
        for follower in self._followers:
            yield follower.run()
        yield Spreader(
            self._mesh.board, self._knowledge, self._clock, self._random
        ).run()
        yield self._duties.run()
        yield self._serving.signals.run()
        yield self._serving.pool.run()
        yield self._serving.evacuator.run()
        yield _repeat(self._serving.exchange_loads, _LOAD_SECONDS)
        yield _repeat(self._serving.exchange_grants, _GRANTS_SECONDS)
        yield _repeat(self._serving.exchange_counts, _SLOW_SECONDS)
        yield _repeat(self._serving.rollouts.advance, _ROLLOUT_SECONDS)

    def _is_ready(self) -> bool:
        return (
            self._knowledge.catalogue is not None and not self._leaving.is_set()
        )

    def _note_reload(self) -> None:
        _log.info('Asked to reload; the settings hold nothing to reload.')

    def _note_task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._leaving.is_set():
            return
        _log.error('Task ended.', reason=repr(task.exception()))

    async def _shut_down(self) -> None:
        ingress = self._serving.ingress
        _log.info('Shutdown begun.', requests=ingress.active)
        began = self._clock.read_monotonic()
        last = began + self._settings.bounds.grace_seconds - _LAST_SECONDS
        ingress.disable_keep_alive()
        await self._duties.release()
        await asyncio.sleep(_DROPPED_SECONDS)
        ingress.close_idle()
        await self._mesh.stop()
        # A channel that was just accepted may still bring a request.
        await ingress.wait_idle(last - self._clock.read_monotonic())
        ingress.close_idle()
        _log.info('Shutdown done.', requests_left=ingress.active)


async def _repeat(step: Callable[[], None], seconds: float) -> None:
    while True:
        step()
        await asyncio.sleep(seconds)
