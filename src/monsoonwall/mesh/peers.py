"""Declare how a host finds and calls the other entry hosts."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from grpc.aio import Channel, Server

# Adds one gRPC service to the server that the mesh owns.
Registrar = Callable[[Server], None]


@dataclass(frozen=True)
class Peer:
    """Describe another live entry host; ``address`` is ``host:port``.

    ``incarnation`` grows each time a host of this name starts anew.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    leaving: bool = False


class Peers(ABC):
    """Know the live entry hosts but this one."""

    @abstractmethod
    def list_peers(self) -> tuple[Peer, ...]:
        """Return the peers thought alive, nearest zones first."""

    @abstractmethod
    def find_channel(self, name: str) -> Channel | None:
        """Return the gRPC channel to a peer, or None if it is unknown."""
