"""Build the tasks of an entry host, and shut them down in order."""

import asyncio
import signal

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.claiming import ClaimStack
from monsoonwall.entry.listening import Listener
from monsoonwall.entry.management import HostManagement
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.entry.policies import RequestPolicies
from monsoonwall.entry.reclaiming import ReclaimTasks
from monsoonwall.entry.request_replication import (
    RequestReplication,
    make_own_peer,
)
from monsoonwall.entry.serving import PipelineDependencies, build_pipeline
from monsoonwall.entry.shard_controller import ShardController
from monsoonwall.entry.state import HostState
from monsoonwall.entry.version_moves import VersionMoveTask
from monsoonwall.entry.web import make_routes
from monsoonwall.logs import make_logger
from monsoonwall.metrics import CONFIGURATION_NUMBER
from monsoonwall.settings import EntrySettings

_log = make_logger('host')


class EntryHost:
    """Own all tasks and resources of an entry host."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._state = HostState()
        self._pool = BackendPool(clock)
        self._stopping = asyncio.Event()
        self._mesh = MeshNode(settings.mesh, clock)
        self._management = HostManagement(
            settings, self._state, self._mesh, clock, self.adopt
        )
        self._claims = ClaimStack(
            settings.host_name,
            self._management.store,
            self._mesh.peers,
            clock,
        )
        self._policies = RequestPolicies(
            settings, self._mesh, self._pool, clock
        )
        self._version_moves = VersionMoveTask(
            self._mesh.board,
            self._management.store,
            clock,
            settings.host_name,
            self._management.configuring.may_work,
        )
        self._management.reports.add_reporter(
            'moves', self._version_moves.describe_moves
        )
        self._pipeline_dependencies = PipelineDependencies(
            settings.host_name,
            self._pool,
            self._management,
            self._policies,
            self._version_moves,
            self._claims.claiming,
            clock,
        )
        self._shard_controller = ShardController(
            settings,
            self._management.store,
            self._mesh.peers,
            self._pool,
            clock,
            self._management.configuring.may_work,
        )
        own_peer = make_own_peer(settings)
        self._replication = RequestReplication(
            self._state, clock, own_peer, self._mesh.peers
        )
        self._tasks = self._replication.tasks
        self._reclaim_tasks = ReclaimTasks(
            settings, self._state, self._pool, self._mesh, clock
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        await self._mesh.start(
            (
                self._claims.registrar,
                self._replication.register,
                self._management.configuring.documents.register,
            ),
            self._management.store,
        )
        server = self._listen()
        background_tasks = [
            asyncio.create_task(task.run())
            for task in (
                self._management,
                self._policies,
                self._version_moves,
                self._replication,
                self._reclaim_tasks,
                self._shard_controller,
            )
        ]
        _log.info('Entry host started.', address=self._settings.listen_address)
        await self._stopping.wait()
        await self._shut_down(server)
        for task in background_tasks:
            task.cancel()

    def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests accepted from now on."""
        self._state.pipeline = build_pipeline(
            configuration, self._pipeline_dependencies
        )
        self._shard_controller.adopt(configuration)
        CONFIGURATION_NUMBER.set(configuration.number)

    def _listen(self) -> Listener:
        return Listener(
            self._settings,
            [
                *make_routes(
                    self._state, self._tasks, self._replication.finder
                ),
                *self._management.make_routes(),
            ],
        )

    async def _shut_down(self, server: Listener) -> None:
        _log.info('Shutdown begun.')
        self._state.leaving = True
        await self._mesh.announce_leaving()
        drain_deadline = (
            self._clock.read_monotonic() + self._settings.drain_seconds
        )
        requests_left = await self._tasks.drain(drain_deadline)
        await self._shard_controller.stop()
        await self._claims.stop(drain_deadline)
        await self._mesh.stop()
        await server.stop()
        self._management.close()
        self._pool.close()
        _log.info('Shutdown done.', requests_left=requests_left)
