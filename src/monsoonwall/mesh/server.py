"""Serve the other entry hosts over gRPC."""

from collections.abc import Sequence
from typing import Final

from grpc.aio import Server, server

from monsoonwall.mesh.peers import Registrar

MAX_MESSAGE_BYTES: Final = 4_000_000
_STOP_GRACE_SECONDS: Final = 0.5


class MeshServer:
    """Own the gRPC server to which the parts add their services."""

    def __init__(self, address: str, registrars: Sequence[Registrar]) -> None:
        self._address = address
        self._registrars = registrars
        self._server: Server | None = None

    async def start(self) -> None:
        """Listen; raises RuntimeError if the address is taken."""
        grpc_server = server(
            options=(
                ('grpc.so_reuseport', 0),
                ('grpc.http2.min_recv_ping_interval_without_data_ms', 1000),
                ('grpc.http2.max_ping_strikes', 0),
                ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
            )
        )
        for register in self._registrars:
            register(grpc_server)
        grpc_server.add_insecure_port(self._address)
        await grpc_server.start()
        self._server = grpc_server

    async def stop(self) -> None:
        """Stop listening, and give running calls a moment to end."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_SECONDS)
