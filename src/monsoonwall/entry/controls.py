"""Compose what decides on entering, routing, retrying and screening.

These parts outlive a configuration: what they have learned of servers, of
demand and of crashes stays when a new one is adopted.
"""

import asyncio

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.liveness import LivenessTask
from monsoonwall.entry.loads import LoadParts, LoadTask
from monsoonwall.entry.meshing import Mesh
from monsoonwall.pipeline.admission import DemandTable, SharedAdmission
from monsoonwall.pipeline.retrying import BudgetedRetryPolicy
from monsoonwall.pipeline.routing import CostBasedRouting
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.server_view import ServerView
from monsoonwall.pipeline.stages import Observer
from monsoonwall.settings import EntrySettings


class RequestControls:
    """Own the stages and the tasks that keep them informed."""

    def __init__(
        self,
        settings: EntrySettings,
        mesh: Mesh,
        pool: BackendPool,
        clock: Clock,
    ) -> None:
        board = mesh.board
        demands = DemandTable()
        self._knowledge = ServerView()
        self.screening = SuspectScreening(board, clock)
        self.admission = SharedAdmission(self._knowledge, demands)
        self.retries = BudgetedRetryPolicy(self.screening)
        self.routing = CostBasedRouting(
            self._knowledge, self.screening, settings.zone
        )
        self._liveness = LivenessTask(
            self._knowledge, self.screening, board, clock
        )
        parts = LoadParts(
            self._knowledge,
            demands,
            self.routing,
            self._liveness,
            pool,
            board,
            mesh.peers,
        )
        self._loads = LoadTask(settings.host_name, settings.zone, parts, clock)

    @property
    def observers(self) -> tuple[Observer, ...]:
        """Return whoever learns from ended attempts."""
        return (self.screening, self.routing, self.admission, self.retries)

    def adopt(self, configuration: Configuration) -> None:
        """Decide by a configuration from now on."""
        self._knowledge.adopt(configuration)

    async def run(self) -> None:
        """Keep the stages informed until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._liveness.run())
            group.create_task(self._loads.run())
