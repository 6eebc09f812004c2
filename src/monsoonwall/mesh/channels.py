"""Hold the gRPC channels to the other entry hosts."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from grpc.aio import Channel, insecure_channel

# Reconnect to a restarted host within about a second.
_OPTIONS: Final = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.max_reconnect_backoff_ms', 1000),
    # Detect connections that a network partition left dead while no call is
    # made. gRPC then sends few such probes; calls that time out are quicker.
    ('grpc.keepalive_time_ms', 5000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.enable_retries', 0),
    ('grpc.use_local_subchannel_pool', 1),
)
# Running calls on a channel that is replaced may end within this time.
_REPLACEMENT_GRACE_SECONDS: Final = 5.0

_open_channel = partial(insecure_channel, options=_OPTIONS)


class Channels:
    """Open one channel per address, and close the unused ones."""

    def __init__(
        self, open_channel: Callable[[str], Channel] = _open_channel
    ) -> None:
        self._open_channel = open_channel
        self._channels: dict[str, Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def find(self, address: str) -> Channel:
        """Return the channel to an address; open it if necessary."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
        return channel

    def replace(self, address: str) -> None:
        """Let the next call to an address open a new channel.

        Call it when a call timed out: the connection may have fallen silent
        without a reset, while new connections work.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        task = asyncio.ensure_future(channel.close(_REPLACEMENT_GRACE_SECONDS))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close_all_except(self, addresses: set[str]) -> None:
        """Close the channels to all addresses but the given ones."""
        for address in set(self._channels) - addresses:
            await self._channels.pop(address).close()

    async def close(self) -> None:
        """Close all channels."""
        await self.close_all_except(set())
