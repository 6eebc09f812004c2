"""Hand the configuration in force to other entry hosts, and ask them for it.

Announcements of large configurations carry the last patches alone. A host
that they do not help reads the whole from a peer, which spares the platform
and works while it is out.
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
_MAX_PEERS_ASKED: Final = 3
_CALL_SECONDS: Final = 2.0


class PeerDocuments:
    """Read configurations from peers, and let them read this host's."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._read_held: Callable[[], StoredConfiguration | None] = _read_none

    def serve_from(
        self, read_held: Callable[[], StoredConfiguration | None]
    ) -> None:
        """Take what returns this host's configuration."""
        self._read_held = read_held

    def register(self, server: Server) -> None:
        """Add the service to the server of the mesh."""
        handler = unary_unary_rpc_method_handler(self._answer)
        server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
        )

    async def read(self, number: int) -> bytes | None:
        """Return a peer's configuration of at least a number, or None."""
        for peer in self._peers.list_peers()[:_MAX_PEERS_ASKED]:
            content = await self._ask(peer.name, number)
            if content:
                return content
        return None

    async def _ask(self, peer_name: str, number: int) -> bytes | None:
        channel = self._peers.find_channel(peer_name)
        if channel is None:
            return None
        call = channel.unary_unary(f'/{_SERVICE}/{_METHOD}')
        request = number.to_bytes(_NUMBER_BYTES, 'big')
        try:
            answer = await call(request, timeout=_CALL_SECONDS)
        except RpcError:
            return None
        return bytes(answer) or None

    async def _answer(self, request: bytes, _context: Any) -> bytes:
        held = self._read_held()
        if held is None or held.number < read_number(request):
            return b''
        return encode_stored(held)


def _read_none() -> None:
    """Stand in until the host has a keeper."""
