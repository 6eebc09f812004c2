"""Declare the calls that move a run from one model engine to another."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from monsoonwall.gateway.model import BackendServer


@dataclass(frozen=True)
class MoveResult:
    """Tell how an order to stop a run and copy its state ended.

    ``handle`` names the state at the source, empty if the run goes on there;
    ``copied`` tells whether the target has it too.
    """

    handle: str = ''
    copied: bool = False
    detail: str = ''


class EngineCalls(ABC):
    """Order model engines."""

    @abstractmethod
    async def move_run(
        self, run_id: str, source: BackendServer, target: BackendServer
    ) -> MoveResult:
        """Stop a run at its server and copy its state to another."""
