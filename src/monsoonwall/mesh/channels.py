"""Hold the gRPC channels to the other entry hosts."""

from typing import Final

from grpc.aio import Channel, insecure_channel

# A host that comes back is to be reached again within about a second.
_OPTIONS: Final = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.max_reconnect_backoff_ms', 1000),
    # Finds out connections that a cut has silenced, also after it healed.
    ('grpc.keepalive_time_ms', 5000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.enable_retries', 0),
    ('grpc.use_local_subchannel_pool', 1),
)


class Channels:
    """Make one channel an address and close those not used any more."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    def find(self, address: str) -> Channel:
        """Return the channel to an address."""
        channel = self._channels.get(address)
        if channel is None:
            channel = insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        return channel

    async def close_all_except(self, addresses: set[str]) -> None:
        """Close the channels to all other addresses."""
        for address in set(self._channels) - addresses:
            await self._channels.pop(address).close()

    async def close(self) -> None:
        """Close all channels."""
        await self.close_all_except(set())
