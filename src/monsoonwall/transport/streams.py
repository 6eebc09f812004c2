"""TCP streams that detect an unreachable peer by keep-alive probes."""

import asyncio
import socket
import sys
import termios
from fcntl import ioctl
from types import TracebackType
from typing import Any, Final

from tornado.iostream import IOStream, StreamClosedError

# A peer that does not respond to probes for this long is considered
# unreachable. That is well below the required contact time: the time within
# which a host must work again once it can reach its peers.
_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500
_INTEGER_BYTES: Final = 4


class ChannelStream(IOStream):
    """TCP stream that reports bytes that were not read, or not received.

    ``closed_while_sending`` tells whether the stream was closed, by either
    side, before the peer had received all that was written to it, and
    ``tunneled`` whether another host passes the bytes on.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        self.closed_while_sending = False
        self.tunneled = False
        super().__init__(*args, **options)

    def close(
        self,
        exc_info: bool
        | tuple[
            type[BaseException] | None,
            BaseException | None,
            TracebackType | None,
        ] = False,
    ) -> None:
        """Close the stream, at the end of what the peer sends as well."""
        if not self.closed():
            self.closed_while_sending = (
                self.writing() or _count_unacknowledged(self.socket) > 0
            )
        super().close(exc_info)

    def has_unread(self) -> bool:
        """Return whether the read buffer holds bytes."""
        return self._read_buffer_size > 0


def _count_unacknowledged(stream_socket: socket.socket) -> int:
    """Return how many written bytes the peer's system has not received."""
    try:
        unacknowledged = ioctl(
            stream_socket, termios.TIOCOUTQ, bytes(_INTEGER_BYTES)
        )
    except OSError:
        return 0
    return int.from_bytes(unacknowledged, sys.byteorder)


def make_socket() -> socket.socket:
    """Return a non-blocking TCP socket with keep-alive probes."""
    new_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    new_socket.setblocking(False)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPINTVL,
            _KEEPALIVE_INTERVAL_SECONDS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_MILLISECONDS,
        ),
    )
    for level, option, option_value in options:
        new_socket.setsockopt(level, option, option_value)
    return new_socket


async def open_stream(
    address: str, timeout_seconds: float, max_bytes: int
) -> ChannelStream:
    """Connect to ``host:port``; raises OSError on failure or timeout."""
    host, _, port = address.rpartition(':')
    stream = ChannelStream(make_socket(), max_buffer_size=max_bytes)
    try:
        await asyncio.wait_for(
            stream.connect((host, int(port))), timeout_seconds
        )
    except (StreamClosedError, TimeoutError) as error:
        stream.close()
        raise ConnectionError(f'{address} not reached: {error!r}') from error
    except BaseException:
        stream.close()
        raise
    return stream
