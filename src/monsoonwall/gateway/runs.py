"""Track the runs of this host by server, and their moves."""

import asyncio
from dataclasses import dataclass

from monsoonwall.gateway.dialect import Continuation
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.sending import AttemptResult
from monsoonwall.gateway.server_selection import SelectedServer
from monsoonwall.pipeline.messages import AttemptEnding


@dataclass(frozen=True)
class MovedRun:
    """Hold where a stopped run resumes, and from which saved state."""

    selected: SelectedServer
    continuation: Continuation


@dataclass(eq=False)
class Run:
    """Hold one attempt in progress; ``move_task``, if set, moves it."""

    request_state: RequestState
    selected: SelectedServer
    move_task: asyncio.Task[MovedRun | None] | None = None

    async def wait_for_move(self, outcome: AttemptResult) -> MovedRun | None:
        """Wait for the move, if any; return where the run resumes, or None."""
        if self.move_task is None or outcome.ending is AttemptEnding.completed:
            return None
        return await self.move_task


class RunRegistry:
    """Hold the active runs of this host by server."""

    def __init__(self) -> None:
        self._runs: dict[str, set[Run]] = {}

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self._runs.setdefault(run.selected.server.name, set()).add(run)

    def remove(self, run: Run) -> None:
        """Remove a run that ended."""
        runs = self._runs.get(run.selected.server.name, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(run.selected.server.name, None)

    def list_runs(self, server: str) -> tuple[Run, ...]:
        """Return the active runs at a server."""
        return tuple(self._runs.get(server, ()))
