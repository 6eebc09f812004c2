"""TCP streams that detect an unreachable peer by keep-alive probes."""

import asyncio
import socket
from typing import Final

from tornado.iostream import IOStream, StreamClosedError

# A peer that does not respond to probes for this long is considered
# unreachable. That is well below the required contact time: the time within
# which a host must work again once it can reach its peers.
_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500


class ChannelStream(IOStream):
    """TCP stream that reports bytes that arrived but were not read."""

    def has_unread(self) -> bool:
        """Return whether the read buffer holds bytes."""
        return self._read_buffer_size > 0


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
