"""Open TCP streams that notice a peer which fell silent."""

import asyncio
import socket
from typing import Final

from tornado.iostream import IOStream, StreamClosedError

# A peer that answers no probe for this long is taken for unreachable; well
# below the contact time after which a host has to work again.
_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500


class ChannelStream(IOStream):
    """Tell whether bytes arrived that nobody asked for."""

    def has_unread(self) -> bool:
        """Return whether bytes wait to be read."""
        return self._read_buffer_size > 0


def make_socket() -> socket.socket:
    """Return a socket with keep-alive probes."""
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
    """Connect to ``host:port``; raises OSError when that fails in time."""
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
