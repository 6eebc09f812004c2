"""Compose the tasks of one entry host and stop them in order."""

import asyncio
import signal

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.claiming import Claims
from monsoonwall.entry.controlling import Controlling
from monsoonwall.entry.controls import RequestControls
from monsoonwall.entry.copying import Copying, describe_host
from monsoonwall.entry.listening import Listener
from monsoonwall.entry.meshing import Mesh
from monsoonwall.entry.moving import MovingTask
from monsoonwall.entry.operating import Operating
from monsoonwall.entry.reclaiming import Reclaiming
from monsoonwall.entry.serving import ServingParts, build_serving
from monsoonwall.entry.state import HostState
from monsoonwall.entry.web import make_routes
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CONFIGURATION_NUMBER
from monsoonwall.settings import EntrySettings

_log = make_logger('host')


class EntryHost:
    """Own everything that one entry host runs."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._state = HostState()
        self._pool = BackendPool(clock)
        self._stopping = asyncio.Event()
        self._mesh = Mesh(settings.mesh, clock)
        self._operating = Operating(
            settings, self._state, self._mesh, clock, self.adopt
        )
        self._claims = Claims(
            settings.host_name,
            self._operating.store,
            self._mesh.peers,
            clock,
        )
        self._controls = RequestControls(
            settings, self._mesh, self._pool, clock
        )
        self._moving = MovingTask(
            self._mesh.board,
            self._operating.store,
            clock,
            settings.host_name,
            self._operating.configuring.may_work,
        )
        self._operating.reports.add_reporter(
            'moves', self._moving.describe_moves
        )
        self._parts = ServingParts(
            settings.host_name,
            self._pool,
            self._operating,
            self._controls,
            self._moving,
            self._claims.claiming,
            clock,
        )
        self._controlling = Controlling(
            settings,
            self._operating.store,
            self._mesh.peers,
            self._pool,
            clock,
            self._operating.configuring.may_work,
        )
        own = describe_host(settings)
        self._copying = Copying(self._state, clock, own, self._mesh.peers)
        self._tasks = self._copying.tasks
        self._reclaiming = Reclaiming(
            settings, self._state, self._pool, self._mesh, clock
        )

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown."""
        loop = asyncio.get_running_loop()
        for asked in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asked, self._stopping.set)
        await self._mesh.start(
            (
                self._claims.registrar,
                self._copying.register,
                self._operating.configuring.documents.register,
            ),
            self._operating.store,
        )
        server = self._listen()
        running = [
            asyncio.create_task(task.run())
            for task in (
                self._operating,
                self._controls,
                self._moving,
                self._copying,
                self._reclaiming,
                self._controlling,
            )
        ]
        _log.info('Entry host started.', address=self._settings.listen_address)
        await self._stopping.wait()
        await self._shut_down(server)
        for task in running:
            task.cancel()

    def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests accepted from now on."""
        self._state.serving = build_serving(configuration, self._parts)
        self._controlling.adopt(configuration)
        CONFIGURATION_NUMBER.set(configuration.number)

    def _listen(self) -> Listener:
        return Listener(
            self._settings,
            [
                *make_routes(self._state, self._tasks, self._copying.finder),
                *self._operating.make_routes(),
            ],
        )

    async def _shut_down(self, server: Listener) -> None:
        _log.info('Shutdown begun.')
        self._state.leaving = True
        await self._mesh.announce_leaving()
        drain_deadline = (
            self._clock.read_monotonic() + self._settings.drain_seconds
        )
        left = await self._tasks.drain(drain_deadline)
        await self._controlling.stop()
        await self._claims.stop(drain_deadline)
        await self._mesh.stop()
        await server.stop()
        self._operating.close()
        self._pool.close()
        _log.info('Shutdown done.', requests_left=left)
