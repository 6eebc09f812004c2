"""Build the policies for admission, routing, retries and screening.

The policies outlive a configuration: their data about servers, demand and
crashes is kept when a new configuration is adopted.
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
    """Own the policies and the tasks that update their data."""

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
        """Return the policies that observe ended attempts."""
        return (self.screening, self.routing, self.admission, self.retries)

    def adopt(self, configuration: Configuration) -> None:
        """Use a configuration from now on."""
        self._server_view.adopt(configuration)

    async def run(self) -> None:
        """Update the data of the policies until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._liveness.run())
            group.create_task(self._loads.run())
