"""Keep channels to servers open between requests."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import AnswerFacts
from monsoonwall.gateway.model import BackendServer
from monsoonwall.metrics import GATEWAY_CHANNELS
from monsoonwall.transport.channels import Channel, open_channel

# Idle channels kept for each server.
_MOST_IDLE: Final = 16
# A server that names no time may close an idle channel soon.
_UNTOLD_SECONDS: Final = 3.0
# A channel is given up this part of its time before the server may close it.
_KEPT_PART: Final = 0.8
_SWEEP_SECONDS: Final = 1.0
# Answers of servers are kilobytes long; what is far longer is none.
MAX_ANSWER_BYTES: Final = 2_000_000


@dataclass(frozen=True)
class _Idle:
    channel: Channel
    close_at: float


class ChannelPool:
    """Own the channels to all servers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[_Idle]] = {}

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
            server.address, timeout_seconds, MAX_ANSWER_BYTES
        )

    def give_back(
        self, server: BackendServer, channel: Channel, facts: AnswerFacts
    ) -> None:
        """Keep a channel whose exchange ended in order."""
        if facts.closes or facts.leaving or not channel.sound:
            channel.close()
            return
        told = facts.keep_seconds
        seconds = _UNTOLD_SECONDS if told is None else told * _KEPT_PART
        idle = self._idle.setdefault(_make_key(server), deque())
        if len(idle) >= _MOST_IDLE:
            channel.close()
            return
        channel.watch_idle()
        idle.append(_Idle(channel, self._clock.read_monotonic() + seconds))

    def close_all_but(self, servers: Iterable[BackendServer]) -> None:
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
                self._idle[key] = _drop_useless(idle, now)


def _drop_useless(idle: deque[_Idle], now: float) -> deque[_Idle]:
    kept: deque[_Idle] = deque()
    for one in idle:
        if one.channel.sound and now < one.close_at:
            kept.append(one)
        else:
            one.channel.close()
    return kept


def _make_key(server: BackendServer) -> str:
    return f'{server.name}@{server.address}'
