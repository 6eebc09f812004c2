"""Hold the gRPC channels to the other entry hosts."""

from typing import Final

from grpc.aio import Channel, insecure_channel

# Reconnect to a restarted host within about a second.
_OPTIONS: Final = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.max_reconnect_backoff_ms', 1000),
    # Detect connections that a network partition left dead, also after the
    # partition has healed.
    ('grpc.keepalive_time_ms', 5000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.enable_retries', 0),
    ('grpc.use_local_subchannel_pool', 1),
)


class Channels:
    """Open one channel per address, and close the unused ones."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    def find(self, address: str) -> Channel:
        """Return the channel to an address; open it if necessary."""
        channel = self._channels.get(address)
        if channel is None:
            channel = insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        return channel

    async def close_all_except(self, addresses: set[str]) -> None:
        """Close the channels to all addresses but the given ones."""
        for address in set(self._channels) - addresses:
            await self._channels.pop(address).close()

    async def close(self) -> None:
        """Close all channels."""
        await self.close_all_except(set())
