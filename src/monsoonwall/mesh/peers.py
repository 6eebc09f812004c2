"""Define the interface by which a host finds and calls its peers."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from grpc.aio import Channel, Server

# Adds a gRPC service to the mesh server.
Registrar = Callable[[Server], None]


@dataclass(frozen=True)
class Peer:
    """Describe another live entry host; ``address`` is ``host:port``.

    ``incarnation`` grows each time a host of this name restarts.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    leaving: bool = False


class Peers(ABC):
    """List the live entry hosts other than this one, and connect to them."""

    @abstractmethod
    def list_peers(self) -> tuple[Peer, ...]:
        """Return the peers considered alive, nearest zones first."""

    @abstractmethod
    def find_channel(self, name: str) -> Channel | None:
        """Return the gRPC channel to a peer, or None if it is unknown."""
