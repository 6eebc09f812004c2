"""Compose the tasks of one entry host and stop them in order."""

import asyncio
import signal

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.configuring import ConfigurationTask
from monsoonwall.entry.meshing import Mesh
from monsoonwall.entry.moving import MovingTask, MovingVersionChoice
from monsoonwall.entry.requests import RequestTasks
from monsoonwall.entry.state import HostState, Serving
from monsoonwall.entry.web import make_application, make_routes
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CONFIGURATION_NUMBER
from monsoonwall.pipeline.acceptance import Acceptance
from monsoonwall.pipeline.baseline import (
    FixedRetryRule,
    OpenAdmission,
    OpenClaiming,
    OpenScreening,
    RoundRobinRouting,
)
from monsoonwall.pipeline.dispatch import Dispatcher, Stages
from monsoonwall.platform.http_objects import HttpObjectStore
from monsoonwall.settings import EntrySettings, split_address

_log = make_logger('host')


class EntryHost:
    """Own everything that one entry host runs."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._state = HostState()
        self._pool = BackendPool(clock)
        self._tasks = RequestTasks(self._state, clock)
        self._client = AsyncHTTPClient(force_instance=True)
        self._stopping = asyncio.Event()
        store = HttpObjectStore(settings.platform_address, self._client, clock)
        self._mesh = Mesh(settings, clock)
        self._configuring = ConfigurationTask(store, clock, self.adopt)
        self._moving = MovingTask(
            self._mesh.board, store, clock, settings.host_name
        )

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown."""
        loop = asyncio.get_running_loop()
        for asked in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asked, self._stopping.set)
        await self._mesh.start()
        server = self._listen()
        configuring = asyncio.create_task(self._configuring.run())
        moving = asyncio.create_task(self._moving.run())
        _log.info('Entry host started.', address=self._settings.listen_address)
        await self._stopping.wait()
        await self._shut_down(server)
        configuring.cancel()
        moving.cancel()

    def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests accepted from now on."""
        self._pool.adopt(configuration)
        self._moving.adopt(configuration)
        stages = Stages(
            MovingVersionChoice(configuration, self._moving),
            RoundRobinRouting(configuration),
            FixedRetryRule(),
            OpenClaiming(),
            (self._moving,),
        )
        self._state.serving = Serving(
            configuration,
            Acceptance(configuration, self._settings.host_name),
            OpenAdmission(),
            OpenScreening(),
            Dispatcher(stages, self._pool, self._clock),
        )
        CONFIGURATION_NUMBER.set(configuration.number)

    def _listen(self) -> HTTPServer:
        server = HTTPServer(
            make_application(make_routes(self._state, self._tasks)),
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
        await self._mesh.stop()
        server.stop()
        await server.close_all_connections()
        self._client.close()
        self._pool.close()
        _log.info('Shutdown done.', requests_left=left)
