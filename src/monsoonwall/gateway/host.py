"""Compose the tasks of one gateway and stop them in order."""

import asyncio
import signal
from collections.abc import Callable
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.entry.meshing import Mesh
from monsoonwall.gateway.conduct import Conductor, Parts
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.entrance import Entrance
from monsoonwall.gateway.following import Follower
from monsoonwall.gateway.ingress import Ingress
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.loads import LoadBook
from monsoonwall.gateway.model import Limits
from monsoonwall.gateway.pool import ChannelPool
from monsoonwall.gateway.readiness import ReadyServer
from monsoonwall.gateway.records import RecordCodec, RecordKind
from monsoonwall.gateway.sending import Sender
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.spreading import Spreader
from monsoonwall.logs import make_logger
from monsoonwall.platform.store import PlatformStore
from monsoonwall.settings import MeshSettings

# The balancer asks each second and drops a host after two misses.
_DROPPED_SECONDS: Final = 2.6
_LAST_SECONDS: Final = 0.4
_STEP_SECONDS: Final = 0.05
_LOAD_SECONDS: Final = 0.25
_DEMAND_SECONDS: Final = 1.0

_log = make_logger('host')


class Gateway:
    """Own everything that one gateway runs."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: PlatformStore,
        codec: RecordCodec,
        dialect: Dialect,
        ready_path: str,
        clock: Clock,
    ) -> None:
        random = Random(settings.host_name)
        self._settings = settings
        self._clock = clock
        self._store = store
        self._leaving = asyncio.Event()
        self._hosts = 1
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
        board = self._mesh.board
        self._knowledge = Knowledge(codec, clock)
        self._spreader = Spreader(board, self._knowledge, clock, random)
        self._followers = [
            Follower(kind, store, self._knowledge, clock, random)
            for kind in (RecordKind.catalogue, RecordKind.server)
        ]
        self._pool = ChannelPool(clock)
        self._loads = LoadBook(board, clock)
        self._entrance = Entrance(
            self._knowledge,
            board,
            clock,
            settings.host_name,
            self.count_hosts,
        )
        self._ingress = Ingress(
            settings.front_address,
            dialect,
            Conductor(
                Parts(
                    self._entrance,
                    self._knowledge,
                    self._loads,
                    Sender(self._pool, dialect, clock),
                    dialect,
                    settings.bounds,
                    settings.zone,
                    clock,
                    random,
                    self.count_hosts,
                )
            ),
            clock,
            self._find_limits,
        )
        self._ready = ReadyServer(
            settings.ready_address, ready_path, self._is_ready
        )

    def count_hosts(self) -> int:
        """Return the most hosts that were known at once."""
        return self._hosts

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown."""
        loop = asyncio.get_running_loop()
        for asked in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asked, self._leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self._ready.listen()
        self._ingress.listen()
        await self._mesh.start((), self._store)
        running = [
            asyncio.create_task(task)
            for task in (
                *(follower.run() for follower in self._followers),
                self._spreader.run(),
                self._pool.run(),
                self._repeat(self._exchange_load, _LOAD_SECONDS),
                self._repeat(self._exchange_demand, _DEMAND_SECONDS),
            )
        ]
        for task in running:
            task.add_done_callback(self._note_task_ended)
        _log.info('Gateway started.', host=self._settings.host_name)
        await self._leaving.wait()
        await self._shut_down()
        for task in running:
            task.cancel()

    def _is_ready(self) -> bool:
        return (
            self._knowledge.catalogue is not None and not self._leaving.is_set()
        )

    def _find_limits(self) -> Limits | None:
        catalogue = self._knowledge.catalogue
        return catalogue.limits if catalogue else None

    def _note_reload(self) -> None:
        _log.info('Asked to reload; the settings hold nothing to reload.')

    def _note_task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._leaving.is_set():
            return
        _log.error('Task ended.', reason=repr(task.exception()))

    async def _repeat(self, step: Callable[[], None], seconds: float) -> None:
        while True:
            step()
            await asyncio.sleep(seconds)

    def _exchange_load(self) -> None:
        self._loads.listen(self._settings.host_name)
        self._loads.publish()

    def _exchange_demand(self) -> None:
        peers = self._mesh.peers.list_peers()
        self._hosts = max(self._hosts, len(peers) + 1)
        self._entrance.exchange_demand()
        servers = self._knowledge.list_all_servers()
        self._loads.forget_all_but(server.name for server in servers)
        self._pool.close_all_but(servers)

    async def _shut_down(self) -> None:
        _log.info('Shutdown begun.', requests=self._ingress.active)
        began = self._clock.read_monotonic()
        self._ingress.announce_leaving()
        last = began + self._settings.bounds.grace_seconds - _LAST_SECONDS
        await asyncio.sleep(_DROPPED_SECONDS)
        self._ingress.close_idle()
        while self._ingress.active and self._clock.read_monotonic() < last:
            await asyncio.sleep(_STEP_SECONDS)
            self._ingress.close_idle()
        _log.info('Shutdown done.', requests_left=self._ingress.active)
        await self._mesh.stop()
