"""Define the calls that move a run from one model engine to another."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.server_connections import ServerConnector


@dataclass(frozen=True)
class MoveResult:
    """Result of stopping a run and copying its state to another server.

    ``handle`` identifies the saved state at the source and is empty if there
    is none. ``copied`` is true if the target has the state as well.
    ``may_have_stopped`` is false only if the source surely did not stop the
    run. ``detail`` describes a failure.
    """

    handle: str = ''
    copied: bool = False
    detail: str = ''
    may_have_stopped: bool = True


class EngineCalls(ABC):
    """Interface to the control endpoints of model engines."""

    @abstractmethod
    async def move_run(
        self,
        run_id: str,
        source: BackendServer,
        target: BackendServer,
        connector: ServerConnector,
    ) -> MoveResult:
        """Stop a run at the source and copy its state to the target.

        ``connector`` opens the channel to the source.
        """
