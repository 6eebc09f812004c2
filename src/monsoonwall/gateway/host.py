"""Assemble, run and gracefully shut down one gateway."""

import asyncio
import signal
from collections.abc import Iterable
from random import Random
from typing import Final

from monsoonwall.background import BackgroundTask, make_periodic_task
from monsoonwall.clocks import Clock
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.gateway.adapters import GatewayAdapters
from monsoonwall.gateway.duty_task import make_duty_task
from monsoonwall.gateway.readiness import ReadyServer
from monsoonwall.gateway.record_service import RecordService
from monsoonwall.gateway.serving import ServingStack
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.tunnel_service import TunnelService
from monsoonwall.logs import make_logger
from monsoonwall.mesh.settings import MeshSettings

# The load balancer probes readiness every second and removes a host after two
# failed probes. A stopping host accepts connections until then.
_BALANCER_DROP_SECONDS: Final = 2.6
# Part of the grace period left for the process to exit.
_EXIT_MARGIN_SECONDS: Final = 0.4
_LOAD_INTERVAL_SECONDS: Final = 0.25
_GRANTS_INTERVAL_SECONDS: Final = 0.5
_USAGE_INTERVAL_SECONDS: Final = 1.0
_ROLLOUT_INTERVAL_SECONDS: Final = 0.5

_log = make_logger('host')


class Gateway:
    """A gateway process: its mesh node, request path and background tasks."""

    def __init__(
        self, settings: GatewaySettings, adapters: GatewayAdapters, clock: Clock
    ) -> None:
        self._settings = settings
        self._adapters = adapters
        self._clock = clock
        self._random = Random(settings.host_name)
        self._shutdown_requested = asyncio.Event()
        self._mesh = MeshNode(
            MeshSettings(
                settings.host_name,
                settings.zone,
                settings.region,
                settings.mesh_address,
                settings.seeds,
            ),
            clock,
        )
        self._records = RecordService(
            settings, adapters, self._mesh, clock, self._random
        )
        record_cache = self._records.cache
        self._tunnels = TunnelService(
            settings.tunnel_address,
            record_cache,
            self._mesh.board,
            clock,
            self._random,
        )
        self._serving = ServingStack(
            settings,
            self._records,
            self._mesh,
            adapters,
            self._tunnels.connector,
            clock,
            self._random,
        )
        self._ready_server = ReadyServer(
            settings.ready_address, adapters.ready_path, self._is_ready
        )
        self._duty_task = make_duty_task(
            settings,
            adapters,
            record_cache,
            self._serving,
            self._mesh.peers,
            self._mesh.board,
            clock,
        )
        self.background_tasks = tuple(self._make_background_tasks())

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        loop = asyncio.get_running_loop()
        for shutdown_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                shutdown_signal, self._shutdown_requested.set
            )
        loop.add_signal_handler(signal.SIGHUP, self._ignore_reload)
        self._ready_server.listen()
        self._serving.ingress.listen()
        await self._tunnels.start()
        await self._mesh.start((), self._adapters.objects)
        background_tasks = [
            asyncio.create_task(task.run()) for task in self.background_tasks
        ]
        _log.info('Gateway started.', host=self._settings.host_name)
        await self._shutdown_requested.wait()
        await self._shut_down()
        for task in background_tasks:
            task.cancel()

    def _make_background_tasks(self) -> Iterable[BackgroundTask]:
        runs = {
            **self._records.list_runs(),
            'duties': self._duty_task.run,
            'signals': self._serving.signals.run,
            'pool': self._serving.pool.run,
            'moves': self._serving.run_mover.run,
        }
        for name, run in runs.items():
            yield BackgroundTask(name, run, self._clock)
        steps = (
            ('loads', self._serving.exchange_loads, _LOAD_INTERVAL_SECONDS),
            ('grants', self._serving.exchange_grants, _GRANTS_INTERVAL_SECONDS),
            (
                'tunnels',
                self._tunnels.exchange,
                _GRANTS_INTERVAL_SECONDS,
            ),
            ('counts', self._serving.exchange_counts, _USAGE_INTERVAL_SECONDS),
            (
                'rollouts',
                self._serving.rollouts.advance,
                _ROLLOUT_INTERVAL_SECONDS,
            ),
        )
        for name, step, seconds in steps:
            yield make_periodic_task(name, step, seconds, self._clock)

    def _is_ready(self) -> bool:
        return (
            self._records.cache.catalogue is not None
            and not self._shutdown_requested.is_set()
        )

    def _ignore_reload(self) -> None:
        _log.info('Ignoring SIGHUP: no setting can be reloaded.')

    async def _shut_down(self) -> None:
        ingress = self._serving.ingress
        _log.info('Shutdown begun.', requests=ingress.active)
        began = self._clock.read_monotonic()
        deadline = (
            began + self._settings.bounds.grace_seconds - _EXIT_MARGIN_SECONDS
        )
        ingress.disable_keep_alive()
        self._tunnels.withdraw()
        await self._duty_task.release()
        await asyncio.sleep(_BALANCER_DROP_SECONDS)
        ingress.close_idle()
        await self._mesh.stop()
        # A connection that was accepted just before may still send a request.
        await ingress.wait_idle(deadline - self._clock.read_monotonic())
        await self._tunnels.stop(deadline - self._clock.read_monotonic())
        ingress.close_idle()
        _log.info('Shutdown done.', requests_left=ingress.active)
