"""Carry connections to servers through another host (HTTP CONNECT, RFC 9110).

The host that opens a tunnel decides on the request and speaks with the server;
the other host only passes bytes on. It does so for holders of its token alone,
which it shares over the mesh, and never through a further host.
"""

import asyncio
import socket
import struct
from asyncio import Protocol, Task, Transport
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from monsoonwall.transport.streams import (
    ChannelStream,
    make_socket,
    open_stream,
)

_HEAD_END: Final = b'\r\n\r\n'
_MAX_HEAD_BYTES: Final = 1024
_ESTABLISHED: Final = b'HTTP/1.1 200'
# A live server accepts a connection within milliseconds.
_CONNECT_SECONDS: Final = 0.3
_HEAD_SECONDS: Final = 1.0
_MAX_TUNNELS: Final = 400
# Makes a socket send a reset when it is closed.
_RESET_LINGER: Final = struct.pack('ii', 1, 0)


@dataclass(frozen=True)
class TunnelOffer:
    """Hold where a host accepts tunnels, and the token that it asks for."""

    address: str
    token: str


async def open_tunnel(
    offer: TunnelOffer, address: str, timeout_seconds: float, max_bytes: int
) -> ChannelStream:
    """Connect to ``host:port`` through a host; raises OSError on failure."""
    stream = await open_stream(offer.address, timeout_seconds, max_bytes)
    stream.tunneled = True
    head = (
        f'CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n'
        f'Proxy-Authorization: Bearer {offer.token}\r\n\r\n'
    )
    try:
        async with asyncio.timeout(timeout_seconds):
            await stream.write(head.encode())
            reply = await stream.read_until(_HEAD_END, _MAX_HEAD_BYTES)
    except (StreamClosedError, UnsatisfiableReadError, TimeoutError) as error:
        stream.close()
        raise ConnectionError(
            f'{address} not reached through {offer.address}: {error!r}'
        ) from error
    except BaseException:
        stream.close()
        raise
    if not reply.startswith(_ESTABLISHED):
        stream.close()
        status = reply.partition(b'\r\n')[0].decode(errors='replace')
        raise ConnectionError(
            f'{address} not reached through {offer.address}: {status}'
        )
    return stream


class TunnelServer:
    """Accept tunnels of other hosts to servers that this host knows."""

    def __init__(
        self, offer: TunnelOffer, is_known: Callable[[str], bool]
    ) -> None:
        self.offer = offer
        self.tunnels = 0
        self._is_known = is_known
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self) -> None:
        """Start listening; raises OSError if the address is in use."""
        host, _, port = self.offer.address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Entrance(self), host, int(port)
        )

    async def stop(self, deadline: float) -> None:
        """Accept no more tunnels, and wait for the open ones.

        The deadline is in seconds of the running loop.
        """
        if self._server is None:
            return
        self._server.close()
        try:
            async with asyncio.timeout_at(deadline):
                await self._idle.wait()
        except TimeoutError:
            return

    def count(self, change: int) -> None:
        """Count a tunnel that opens (1) or has ended (-1)."""
        self.tunnels += change
        if self.tunnels:
            self._idle.clear()
        else:
            self._idle.set()

    def check(self, head: bytes) -> tuple[str, str]:
        """Return the status for the head of a tunnel, and its target."""
        lines = head.decode('latin-1').split('\r\n')
        target = lines[0].partition(' ')[2].partition(' ')[0]
        token = self.offer.token
        authorization = f'proxy-authorization: bearer {token}'
        if lines[0] != f'CONNECT {target} HTTP/1.1' or authorization not in {
            line.lower() for line in lines[1:]
        }:
            return '403 Forbidden', ''
        if not self._is_known(target):
            return '403 Forbidden', ''
        if self.tunnels >= _MAX_TUNNELS:
            return '503 Service Unavailable', ''
        return '200 Connection Established', target


class _Side(Protocol):
    """One of the two connections of a tunnel."""

    def __init__(self) -> None:
        self.transport: Transport | None = None
        self.other: _Side | None = None

    def connection_made(self, transport: Transport) -> None:  # type: ignore[override]
        """Keep the transport."""
        self.transport = transport

    def data_received(self, content: bytes) -> None:
        """Pass bytes on to the other side."""
        if self.other is not None:
            self.other.transport.write(content)

    def pause_writing(self) -> None:
        """Read no more from the other side while this one is slow."""
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on from the other side."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """End the other side in the same way."""
        other = self.other
        if other is None:
            return
        if error is not None or self.transport.get_write_buffer_size():
            _reset(other.transport)
        other.transport.close()


class _Entrance(_Side):
    """The side of the host that opened the tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._head = b''
        self._opening: Task[None] | None = None
        self._counted = False

    def connection_made(self, transport: Transport) -> None:  # type: ignore[override]
        """Wait for the head, for a limited time."""
        super().connection_made(transport)
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        asyncio.get_running_loop().call_later(_HEAD_SECONDS, self._check_head)

    def data_received(self, content: bytes) -> None:
        """Read the head, then pass bytes on."""
        if self._opening is not None:
            super().data_received(content)
            return
        self._head += content
        if self._head.endswith(_HEAD_END):
            self._opening = asyncio.get_running_loop().create_task(self._open())
        elif len(self._head) > _MAX_HEAD_BYTES:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Close the connection to the server."""
        super().connection_lost(error)
        if self._opening is not None:
            self._opening.cancel()
        if self._counted:
            self._counted = False
            self._server.count(-1)

    def _check_head(self) -> None:
        if self._opening is None:
            self.transport.abort()

    async def _open(self) -> None:
        status, target = self._server.check(self._head)
        if target:
            self._counted = True
            self._server.count(1)
            try:
                self.other = await _connect(target)
            except TimeoutError:
                status = '504 Gateway Timeout'
            except (OSError, ValueError):
                status = '502 Bad Gateway'
        if self.transport.is_closing():
            if self.other is not None:
                self.other.transport.abort()
            return
        self.transport.write(f'HTTP/1.1 {status}\r\n\r\n'.encode())
        if self.other is None:
            self.transport.close()
            return
        self.other.other = self
        self.other.transport.resume_reading()


async def _connect(address: str) -> _Side:
    """Connect to a server; reading from it is paused."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    server_socket = make_socket()
    try:
        async with asyncio.timeout(_CONNECT_SECONDS):
            await loop.sock_connect(server_socket, (host, int(port)))
        transport, side = await loop.create_connection(
            _Side, sock=server_socket
        )
    except BaseException:
        server_socket.close()
        raise
    transport.pause_reading()
    return side


def _reset(transport: Transport) -> None:
    """Let a transport end with a reset, so that no response seems complete."""
    closing_socket = transport.get_extra_info('socket')
    if closing_socket is not None and not transport.is_closing():
        closing_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
        )
        transport.abort()
