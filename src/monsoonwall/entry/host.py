"""Compose the tasks of one entry host and stop them in order."""

import asyncio
import signal
from typing import Final

from tornado.httpserver import HTTPServer

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.claiming import Claims
from monsoonwall.entry.controls import RequestControls
from monsoonwall.entry.meshing import Mesh
from monsoonwall.entry.operating import Operating
from monsoonwall.entry.requests import RequestTasks
from monsoonwall.entry.state import HostState, Serving
from monsoonwall.entry.web import make_application, make_routes
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CONFIGURATION_NUMBER
from monsoonwall.pipeline.acceptance import Acceptance
from monsoonwall.pipeline.baseline import (
    ActiveVersionChoice,
)
from monsoonwall.pipeline.dispatch import Dispatcher, Stages
from monsoonwall.settings import EntrySettings, split_address

# How long a connection may be idle, and how long a body may take to arrive.
_IDLE_SECONDS: Final = 75
_BODY_SECONDS: Final = 30

_log = make_logger('host')


class EntryHost:
    """Own everything that one entry host runs."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._state = HostState()
        self._pool = BackendPool(clock)
        self._tasks = RequestTasks(self._state, clock)
        self._stopping = asyncio.Event()
        self._mesh = Mesh(settings, clock)
        self._operating = Operating(
            settings, self._state, self._mesh.board, clock, self.adopt
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

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown."""
        loop = asyncio.get_running_loop()
        for asked in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asked, self._stopping.set)
        await self._mesh.start((self._claims.registrar,))
        server = self._listen()
        configuring = asyncio.create_task(self._operating.configuring.run())
        controlling = asyncio.create_task(self._controls.run())
        _log.info('Entry host started.', address=self._settings.listen_address)
        await self._stopping.wait()
        await self._shut_down(server)
        controlling.cancel()
        configuring.cancel()

    def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests accepted from now on."""
        self._pool.adopt(configuration)
        self._controls.adopt(configuration)
        stages = Stages(
            ActiveVersionChoice(configuration),
            self._controls.routing,
            self._controls.retries,
            self._claims.claiming,
            self._controls.observers,
        )
        self._state.serving = Serving(
            configuration,
            Acceptance(configuration, self._settings.host_name),
            self._operating.guard(self._controls.admission),
            self._controls.screening,
            Dispatcher(stages, self._pool, self._clock),
        )
        CONFIGURATION_NUMBER.set(configuration.number)

    def _listen(self) -> HTTPServer:
        server = HTTPServer(
            make_application(
                [
                    *make_routes(self._state, self._tasks),
                    *self._operating.make_routes(),
                ],
                self._settings.max_body_bytes,
            ),
            idle_connection_timeout=_IDLE_SECONDS,
            body_timeout=_BODY_SECONDS,
            max_body_size=self._settings.max_body_bytes,
        )
        host, port = split_address(self._settings.listen_address)
        server.listen(port, host)
        return server

    async def _shut_down(self, server: HTTPServer) -> None:
        _log.info('Shutdown begun.')
        self._state.leaving = True
        await self._mesh.announce_leaving()
        drain_deadline = (
            self._clock.read_monotonic() + self._settings.drain_seconds
        )
        left = await self._tasks.drain(drain_deadline)
        await self._claims.stop(drain_deadline)
        await self._mesh.stop()
        server.stop()
        await server.close_all_connections()
        self._operating.close()
        self._pool.close()
        _log.info('Shutdown done.', requests_left=left)
