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


@dataclass(frozen=True)
class RunMove:
    """Hold how a move ended.

    ``may_have_stopped`` tells whether the source may have stopped the run, and
    ``moved_run`` where the run resumes, None if it does not.
    """

    may_have_stopped: bool = False
    moved_run: MovedRun | None = None


@dataclass(eq=False)
class Run:
    """Hold one attempt in progress; ``move_task``, if set, moves it."""

    request_state: RequestState
    selected: SelectedServer
    move_task: asyncio.Task[RunMove] | None = None

    async def may_have_been_stopped(self) -> bool:
        """Wait for the move, if any; return whether it may have ended the run.

        The stream of a run that was stopped may look complete.
        """
        if self.move_task is None:
            return False
        run_move = await self.move_task
        return run_move.may_have_stopped

    async def wait_for_move(self, outcome: AttemptResult) -> MovedRun | None:
        """Wait for the move, if any; return where the run resumes, or None."""
        if self.move_task is None or outcome.ending is AttemptEnding.completed:
            return None
        run_move = await self.move_task
        return run_move.moved_run


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
