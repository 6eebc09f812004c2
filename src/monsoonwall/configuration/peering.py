"""Serve the configuration in force to other entry hosts, and read theirs.

Announcements of large configurations contain only the last patches. A host
that cannot apply these reads the whole configuration from a peer. This saves
calls to the platform and works during an outage of it.
"""

from collections.abc import Callable
from typing import Any, Final

from grpc import (
    RpcError,
    method_handlers_generic_handler,
    unary_unary_rpc_method_handler,
)
from grpc.aio import Server

from monsoonwall.configuration.announcement import read_number
from monsoonwall.configuration.stored import (
    StoredConfiguration,
    encode_stored,
)
from monsoonwall.mesh.peers import Peers

_SERVICE: Final = 'monsoonwall.Configuration'
_METHOD: Final = 'Read'
_NUMBER_BYTES: Final = 8
_MAX_PEERS_TRIED: Final = 3
_CALL_SECONDS: Final = 2.0


class PeerDocuments:
    """Read configurations from peers, and serve that of this host."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._read_held: Callable[[], StoredConfiguration | None] = _read_none

    def serve_from(
        self, read_held: Callable[[], StoredConfiguration | None]
    ) -> None:
        """Set the function that returns this host's configuration."""
        self._read_held = read_held

    def register(self, server: Server) -> None:
        """Add the service to the mesh server."""
        handler = unary_unary_rpc_method_handler(self._serve_read)
        server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
        )

    async def read(self, number: int) -> bytes | None:
        """Return a configuration with ``number`` or a higher one, or None.

        The nearest peers are called one after the other.
        """
        for peer in self._peers.list_peers()[:_MAX_PEERS_TRIED]:
            content = await self._read_from(peer.name, number)
            if content:
                return content
        return None

    async def _read_from(self, peer_name: str, number: int) -> bytes | None:
        channel = self._peers.find_channel(peer_name)
        if channel is None:
            return None
        call = channel.unary_unary(f'/{_SERVICE}/{_METHOD}')
        request = number.to_bytes(_NUMBER_BYTES, 'big')
        try:
            response = await call(request, timeout=_CALL_SECONDS)
        except RpcError:
            return None
        return bytes(response) or None

    async def _serve_read(self, request: bytes, _context: Any) -> bytes:
        held = self._read_held()
        if held is None or held.number < read_number(request):
            return b''
        return encode_stored(held)


def _read_none() -> None:
    """Return None; used until ``serve_from`` is called."""
