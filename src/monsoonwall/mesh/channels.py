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
        # When each channel was opened or last responded (loop time).
        self._responded_at: dict[str, float] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def find(self, address: str) -> Channel:
        """Return the channel to an address; open it if necessary."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
            self.record_response(address)
        return channel

    def record_response(self, address: str) -> None:
        """Record that a call on the channel to an address got a response."""
        if address in self._channels:
            now = asyncio.get_running_loop().time()
            self._responded_at[address] = now

    def replace_silent(self, called_at: float) -> int:
        """Replace the channels that may be silent; return their number.

        Call it when a call that began at ``called_at`` (loop time) timed out.
        Many connections may fall silent at once without a reset, while new
        ones work. So the next calls open new channels where none has responded
        since.
        """
        silent = [
            other
            for other, responded_at in self._responded_at.items()
            if responded_at <= called_at
        ]
        for other in silent:
            self._close_later(self._forget(other))
        return len(silent)

    async def close_all_except(self, addresses: set[str]) -> None:
        """Close the channels to all addresses but the given ones."""
        for address in set(self._channels) - addresses:
            await self._forget(address).close()

    async def close(self) -> None:
        """Close all channels."""
        await self.close_all_except(set())

    def _forget(self, address: str) -> Channel:
        self._responded_at.pop(address)
        return self._channels.pop(address)

    def _close_later(self, channel: Channel) -> None:
        task = asyncio.ensure_future(channel.close(_REPLACEMENT_GRACE_SECONDS))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
