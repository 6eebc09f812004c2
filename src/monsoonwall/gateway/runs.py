"""Know which requests run at which servers."""

import asyncio
from dataclasses import dataclass

from monsoonwall.gateway.dialect import Continuation
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.sending import AttemptResult
from monsoonwall.gateway.server_selection import SelectedServer
from monsoonwall.pipeline.messages import AttemptEnding


@dataclass(frozen=True)
class MovedRun:
    """Tell where a stopped run goes on."""

    selected: SelectedServer
    continuation: Continuation


@dataclass(eq=False)
class Run:
    """Hold one sending while it lasts; ``moving`` ends with its move."""

    request_state: RequestState
    selected: SelectedServer
    moving: asyncio.Task[MovedRun | None] | None = None

    async def find_move(self, outcome: AttemptResult) -> MovedRun | None:
        """Return where the run goes on after a sending, once that is known."""
        if self.moving is None or outcome.ending is AttemptEnding.completed:
            return None
        return await self.moving


class RunRegistry:
    """Hold the runs of this host by server."""

    def __init__(self) -> None:
        self._runs: dict[str, set[Run]] = {}

    def add(self, run: Run) -> None:
        """Take in that a run begins."""
        self._runs.setdefault(run.selected.server.name, set()).add(run)

    def remove(self, run: Run) -> None:
        """Take in that a run is over."""
        runs = self._runs.get(run.selected.server.name, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(run.selected.server.name, None)

    def list_runs(self, server: str) -> tuple[Run, ...]:
        """Return the runs at a server."""
        return tuple(self._runs.get(server, ()))
