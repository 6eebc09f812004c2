"""Pool the keep-alive channels to backend servers."""

import asyncio
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import ResponseInfo
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.server_connections import ServerConnector
from monsoonwall.metrics import GATEWAY_CHANNELS
from monsoonwall.transport.channels import Channel

# The most idle channels to one server.
_MAX_IDLE_CHANNELS: Final = 16
# A server that announces no keep-alive time may close an idle channel soon.
_DEFAULT_KEEP_ALIVE_SECONDS: Final = 3.0
# Idle channels are closed after this fraction of the announced keep-alive time,
# before the server closes them.
_KEEP_ALIVE_FRACTION: Final = 0.8
_SWEEP_SECONDS: Final = 1.0
# Tunnels are kept for a short time, since the host in between may stop.
_TUNNEL_KEEP_ALIVE_SECONDS: Final = 1.0


@dataclass(frozen=True)
class _IdleChannel:
    channel: Channel
    close_at: float


class ChannelPool:
    """Hold idle channels by server, and open new ones on demand."""

    def __init__(self, clock: Clock, connector: ServerConnector) -> None:
        self._clock = clock
        self._connector = connector
        self._idle: dict[str, deque[_IdleChannel]] = {}

    async def acquire(
        self,
        server: BackendServer,
        timeout_seconds: float,
        excluded: Collection[int] = (),
    ) -> Channel:
        """Return an idle or new channel; raises OSError if none opens.

        ``excluded`` holds the serials of channels that must not be used.
        """
        channel = self._take_idle(server, excluded)
        if channel is not None:
            GATEWAY_CHANNELS.labels('reused').inc()
            return channel
        GATEWAY_CHANNELS.labels('opened').inc()
        opened = await self._connector.open(server, timeout_seconds)
        if opened.tunneled:
            GATEWAY_CHANNELS.labels('tunneled').inc()
            self._close_direct(server)
        return opened

    def release(
        self,
        server: BackendServer,
        channel: Channel,
        response_info: ResponseInfo,
    ) -> None:
        """Pool a channel, or close it if it cannot carry another request.

        Its last response must have been read to the end.
        """
        if (
            response_info.closes_channel
            or response_info.leaving
            or not channel.is_usable
        ):
            channel.close()
            return
        keep_alive = response_info.keep_alive_seconds
        seconds = (
            _DEFAULT_KEEP_ALIVE_SECONDS
            if keep_alive is None
            else keep_alive * _KEEP_ALIVE_FRACTION
        )
        if channel.tunneled:
            seconds = min(seconds, _TUNNEL_KEEP_ALIVE_SECONDS)
        idle = self._idle.setdefault(_make_key(server), deque())
        if len(idle) >= _MAX_IDLE_CHANNELS:
            channel.close()
            return
        channel.close_with_peer()
        idle.append(
            _IdleChannel(channel, self._clock.read_monotonic() + seconds)
        )

    def close_unused(self, servers: Iterable[BackendServer]) -> None:
        """Close the idle channels to all servers but these."""
        used = {_make_key(server) for server in servers}
        for key in set(self._idle) - used:
            for idle_channel in self._idle.pop(key):
                idle_channel.channel.close()

    def _close_direct(self, server: BackendServer) -> None:
        """Close direct idle channels, which hang if the links are down."""
        kept: deque[_IdleChannel] = deque()
        for idle_channel in self._idle.get(_make_key(server), deque()):
            if idle_channel.channel.tunneled:
                kept.append(idle_channel)
            else:
                idle_channel.channel.close()
        self._idle[_make_key(server)] = kept

    def _take_idle(
        self, server: BackendServer, excluded: Collection[int]
    ) -> Channel | None:
        """Remove and return the newest usable channel, if there is one."""
        idle = self._idle.get(_make_key(server), deque())
        now = self._clock.read_monotonic()
        for idle_channel in tuple(reversed(idle)):
            channel = idle_channel.channel
            if channel.serial in excluded:
                continue
            idle.remove(idle_channel)
            if channel.is_usable and now < idle_channel.close_at:
                return channel
            channel.close()
        return None

    async def run(self) -> None:
        """Close channels that have expired or received unsolicited bytes.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = self._clock.read_monotonic()
            for key, idle in self._idle.items():
                self._idle[key] = _close_unusable(idle, now)


def _close_unusable(
    idle: deque[_IdleChannel], now: float
) -> deque[_IdleChannel]:
    usable: deque[_IdleChannel] = deque()
    for idle_channel in idle:
        if idle_channel.channel.is_usable and now < idle_channel.close_at:
            usable.append(idle_channel)
        else:
            idle_channel.channel.close()
    return usable


def _make_key(server: BackendServer) -> str:
    return f'{server.name}@{server.address}'
