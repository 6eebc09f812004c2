"""Compose what decides on entering, routing, retrying and screening.

These parts outlive a configuration: what they have learned of servers, of
demand and of crashes stays when a new one is adopted.
"""

import asyncio

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.liveness import LivenessTask
from monsoonwall.entry.loads import LoadDependencies, LoadTask
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.pipeline.admission import DemandTable, SharedAdmission
from monsoonwall.pipeline.retrying import BudgetedRetryPolicy
from monsoonwall.pipeline.routing import CostBasedRouting
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.server_view import ServerView
from monsoonwall.pipeline.stages import Observer
from monsoonwall.settings import EntrySettings


class RequestPolicies:
    """Own the stages and the tasks that keep them informed."""

    def __init__(
        self,
        settings: EntrySettings,
        mesh: MeshNode,
        pool: BackendPool,
        clock: Clock,
    ) -> None:
        board = mesh.board
        demands = DemandTable()
        self._server_view = ServerView()
        self.screening = SuspectScreening(board, clock)
        self.admission = SharedAdmission(self._server_view, demands)
        self.retries = BudgetedRetryPolicy(self.screening)
        self.routing = CostBasedRouting(
            self._server_view, self.screening, settings.zone
        )
        self._liveness = LivenessTask(
            self._server_view, self.screening, board, clock
        )
        dependencies = LoadDependencies(
            self._server_view,
            demands,
            self.routing,
            self._liveness,
            pool,
            board,
            mesh.peers,
        )
        self._loads = LoadTask(
            settings.host_name, settings.zone, dependencies, clock
        )

    @property
    def observers(self) -> tuple[Observer, ...]:
        """Return whoever learns from ended attempts."""
        return (self.screening, self.routing, self.admission, self.retries)

    def adopt(self, configuration: Configuration) -> None:
        """Decide by a configuration from now on."""
        self._server_view.adopt(configuration)

    async def run(self) -> None:
        """Keep the stages informed until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._liveness.run())
            group.create_task(self._loads.run())
