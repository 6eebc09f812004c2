"""Keep channels to servers open between requests."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import ResponseInfo
from monsoonwall.gateway.model import BackendServer
from monsoonwall.metrics import GATEWAY_CHANNELS
from monsoonwall.transport.channels import Channel, open_channel

# Idle channels kept for each server.
_MAX_IDLE_CHANNELS: Final = 16
# A server that names no time may close an idle channel soon.
_DEFAULT_KEEP_ALIVE_SECONDS: Final = 3.0
# A channel is given up this part of its time before the server may close it.
_KEEP_ALIVE_FRACTION: Final = 0.8
_SWEEP_SECONDS: Final = 1.0
# Answers of servers are kilobytes long; what is far longer is none.
MAX_RESPONSE_BYTES: Final = 2_000_000


@dataclass(frozen=True)
class _IdleChannel:
    channel: Channel
    close_at: float


class ChannelPool:
    """Own the channels to all servers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[_IdleChannel]] = {}

    async def take(
        self, server: BackendServer, timeout_seconds: float
    ) -> Channel:
        """Return a channel to a server; raises OSError if none opens."""
        idle = self._idle.get(_make_key(server))
        now = self._clock.read_monotonic()
        while idle:
            kept = idle.pop()
            if kept.channel.sound and now < kept.close_at:
                GATEWAY_CHANNELS.labels('reused').inc()
                return kept.channel
            kept.channel.close()
        GATEWAY_CHANNELS.labels('opened').inc()
        return await open_channel(
            server.address, timeout_seconds, MAX_RESPONSE_BYTES
        )

    def put_back(
        self,
        server: BackendServer,
        channel: Channel,
        response_info: ResponseInfo,
    ) -> None:
        """Keep a channel whose exchange ended in order."""
        if (
            response_info.closes_channel
            or response_info.leaving
            or not channel.sound
        ):
            channel.close()
            return
        keep_alive = response_info.keep_alive_seconds
        seconds = (
            _DEFAULT_KEEP_ALIVE_SECONDS
            if keep_alive is None
            else keep_alive * _KEEP_ALIVE_FRACTION
        )
        idle = self._idle.setdefault(_make_key(server), deque())
        if len(idle) >= _MAX_IDLE_CHANNELS:
            channel.close()
            return
        channel.watch_idle()
        idle.append(
            _IdleChannel(channel, self._clock.read_monotonic() + seconds)
        )

    def close_unused(self, servers: Iterable[BackendServer]) -> None:
        """Close the channels to servers that are not used any more."""
        used = {_make_key(server) for server in servers}
        for key in set(self._idle) - used:
            for kept in self._idle.pop(key):
                kept.channel.close()

    async def run(self) -> None:
        """Close channels that idled for long or are not quiet.

        Goes on until cancelled.
        """
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = self._clock.read_monotonic()
            for key, idle in self._idle.items():
                self._idle[key] = _close_unusable(idle, now)


def _close_unusable(
    idle: deque[_IdleChannel], now: float
) -> deque[_IdleChannel]:
    kept: deque[_IdleChannel] = deque()
    for idle_channel in idle:
        if idle_channel.channel.sound and now < idle_channel.close_at:
            kept.append(idle_channel)
        else:
            idle_channel.channel.close()
    return kept


def _make_key(server: BackendServer) -> str:
    return f'{server.name}@{server.address}'
