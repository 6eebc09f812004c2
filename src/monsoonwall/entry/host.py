"""Compose the tasks of one entry host and stop them in order."""

import asyncio
import signal

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.configuring import ConfigurationTask
from monsoonwall.entry.copying import Copying, describe_host
from monsoonwall.entry.meshing import Mesh
from monsoonwall.entry.reclaiming import Reclaiming
from monsoonwall.entry.state import HostState, Serving
from monsoonwall.entry.web import make_application, make_routes
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CONFIGURATION_NUMBER
from monsoonwall.pipeline.acceptance import Acceptance
from monsoonwall.pipeline.baseline import (
    ActiveVersionChoice,
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
        self._client = AsyncHTTPClient(force_instance=True)
        self._stopping = asyncio.Event()
        store = HttpObjectStore(settings.platform_address, self._client, clock)
        self._mesh = Mesh(settings, clock)
        own = describe_host(settings)
        self._copying = Copying(self._state, clock, own, self._mesh.peers)
        self._tasks = self._copying.tasks
        self._reclaiming = Reclaiming(
            settings, self._state, self._pool, self._mesh, clock
        )
        self._configuring = ConfigurationTask(store, clock, self.adopt)

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown."""
        loop = asyncio.get_running_loop()
        for asked in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asked, self._stopping.set)
        await self._mesh.start((self._copying.register,))
        server = self._listen()
        running = [
            asyncio.create_task(task.run())
            for task in (self._configuring, self._copying, self._reclaiming)
        ]
        _log.info('Entry host started.', address=self._settings.listen_address)
        await self._stopping.wait()
        await self._shut_down(server)
        for task in running:
            task.cancel()

    def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests accepted from now on."""
        self._pool.adopt(configuration)
        stages = Stages(
            ActiveVersionChoice(configuration),
            RoundRobinRouting(configuration),
            FixedRetryRule(),
            OpenClaiming(),
            (),
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
            make_application(
                make_routes(self._state, self._tasks, self._copying.finder)
            ),
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
