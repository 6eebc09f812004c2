"""Open connections to servers, directly or by a tunnel through another host."""

import asyncio
from abc import ABC, abstractmethod
from asyncio import Task
from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

from msgspec import msgpack

from monsoonwall.clocks import Clock
from monsoonwall.decisions.server_paths import PathPlan, ServerPaths
from monsoonwall.decoding import DECODE_ERRORS, is_port
from monsoonwall.gateway.model import BackendServer
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.transport.channels import Channel, open_channel
from monsoonwall.transport.tunnels import TunnelOffer, open_tunnel

# Responses of servers are kilobytes long; a far longer one is not genuine.
MAX_RESPONSE_BYTES: Final = 2_000_000
TUNNEL_KIND: Final = 'tunnel-offer'
# A live server accepts a connection within milliseconds.
_DIRECT_SECONDS: Final = 0.12
_NEXT_TUNNEL_SECONDS: Final = 0.1
_MAX_TRIED_OFFERS: Final = 3
# A host through which no tunnel could be opened is not asked for this long.
_FAILED_OFFER_SECONDS: Final = 2.0
# Offers of a zone that hosts of other zones learn of.
_MAX_MERGED_OFFERS: Final = 8
# Timeout for asking whether other hosts reach a server.
_CHECK_SECONDS: Final = 0.5
_TUNNELS_ONLY: Final = PathPlan(direct=False, tunnel=True, tunnel_first=True)

_log = make_logger('servers')


class ServerConnector(ABC):
    """Open channels to servers."""

    @abstractmethod
    async def open(
        self, server: BackendServer, timeout_seconds: float
    ) -> Channel:
        """Return a new channel; raises OSError if none opens."""

    @abstractmethod
    async def is_reached_by_tunnel(self, server: BackendServer) -> bool:
        """Return whether another host connects to a server just now."""


class DirectConnector(ServerConnector):
    """Connect to servers without a tunnel."""

    async def open(
        self, server: BackendServer, timeout_seconds: float
    ) -> Channel:
        """Return a new channel; raises OSError if none opens."""
        return await open_channel(
            server.address, timeout_seconds, MAX_RESPONSE_BYTES
        )

    async def is_reached_by_tunnel(self, server: BackendServer) -> bool:
        """Return False, as there are no tunnels."""
        return False


class TunnelOffers:
    """Exchange offers of tunnels with the other hosts."""

    def __init__(self, board: Board, own: TunnelOffer, random: Random) -> None:
        self._board = board
        self._own = own
        self._random = random
        self._published: bytes | None = None
        board.declare_merge(TUNNEL_KIND, merge_offers)

    def publish(self, *, available: bool) -> None:
        """Offer tunnels through this host, or withdraw the offer."""
        offers = [(self._own.address, self._own.token)] if available else []
        payload = msgpack.encode(offers)
        if payload != self._published:
            self._published = payload
            self._board.publish_entry(TUNNEL_KIND, '', payload)

    def list_others(self) -> list[TunnelOffer]:
        """Return the offers of other hosts in random order."""
        offers = {
            offer
            for entry in self._board.read_entries(TUNNEL_KIND)
            for offer in _decode_offers(entry.payload)
        }
        offers.discard(self._own)
        ranked = sorted(offers, key=lambda offer: offer.address)
        self._random.shuffle(ranked)
        return ranked


class TunnelingConnector(ServerConnector):
    """Connect by a tunnel where this host does not reach a server itself.

    Both paths are raced, the direct one with a head start while it is not
    known to fail.
    """

    def __init__(self, offers: TunnelOffers, clock: Clock) -> None:
        self.paths = ServerPaths()
        self._offers = offers
        self._clock = clock
        self._failed_offers: dict[TunnelOffer, float] = {}

    async def open(
        self, server: BackendServer, timeout_seconds: float
    ) -> Channel:
        """Return a new channel; raises OSError if none opens."""
        plan = self.paths.plan(server.address, self._clock.read_monotonic())
        if not plan.tunnel:
            return await DirectConnector().open(server, timeout_seconds)
        race = _Race(server, timeout_seconds, self._iterate_offers())
        try:
            async with asyncio.timeout(timeout_seconds):
                channel = await race.run(plan)
        except (TimeoutError, OSError) as error:
            self.paths.record_unreachable(
                server.address, self._clock.read_monotonic()
            )
            raise ConnectionError(
                f'{server.address} not reached: {error!r}'
            ) from error
        finally:
            race.stop()
            self._avoid(race.failed_offers)
        self._record(server, channel)
        return channel

    async def is_reached_by_tunnel(self, server: BackendServer) -> bool:
        """Return whether another host connects to a server just now."""
        race = _Race(server, _CHECK_SECONDS, self._iterate_offers())
        try:
            async with asyncio.timeout(_CHECK_SECONDS):
                channel = await race.run(_TUNNELS_ONLY)
        except (TimeoutError, OSError):
            return False
        finally:
            race.stop()
        channel.close()
        return True

    def exchange(self, servers: Sequence[BackendServer]) -> None:
        """Offer tunnels while this host reaches the servers itself."""
        now = self._clock.read_monotonic()
        self.paths.retain((server.address for server in servers), now)
        self._failed_offers = {
            offer: until
            for offer, until in self._failed_offers.items()
            if until > now
        }
        self._offers.publish(available=not self.paths.is_partitioned())

    def withdraw(self) -> None:
        """Offer no more tunnels, since this host stops."""
        self._offers.publish(available=False)

    def _avoid(self, offers: Sequence[TunnelOffer]) -> None:
        """Use other offers for a while."""
        until = self._clock.read_monotonic() + _FAILED_OFFER_SECONDS
        self._failed_offers.update(dict.fromkeys(offers, until))

    def _iterate_offers(self) -> Iterator[TunnelOffer]:
        """Yield the offers to try; they are listed when the first is needed."""
        now = self._clock.read_monotonic()
        offers = self._offers.list_others()
        usable = [
            offer
            for offer in offers
            if self._failed_offers.get(offer, now) <= now
        ]
        yield from (usable or offers)[:_MAX_TRIED_OFFERS]

    def _record(self, server: BackendServer, channel: Channel) -> None:
        if not channel.tunneled:
            if self.paths.record_direct(server.address):
                _log.info('Server is reached directly.', server=server.name)
            return
        now = self._clock.read_monotonic()
        if self.paths.record_tunnel(server.address, now):
            _log.info(
                'Server is reached through another host.',
                server=server.name,
                helper=channel.peer_address,
            )


class _Race:
    """Open channels to one server by several paths; the first one wins."""

    def __init__(
        self,
        server: BackendServer,
        timeout_seconds: float,
        offers: Iterator[TunnelOffer],
    ) -> None:
        self.failed_offers: list[TunnelOffer] = []
        self._server = server
        self._timeout_seconds = timeout_seconds
        self._offers = offers
        self._running: dict[Task[Channel], TunnelOffer | None] = {}
        self._error: BaseException = ConnectionError('no path')

    async def run(self, plan: PathPlan) -> Channel:
        """Return the first channel; raises OSError if no path is left."""
        if plan.direct:
            self._start_direct()
        if not plan.tunnel_first:
            channel = await self._wait(_DIRECT_SECONDS)
            if channel is not None:
                return channel
        channel = None
        while channel is None:
            has_more = self._start_tunnel()
            if not self._running:
                raise self._error
            channel = await self._wait(
                _NEXT_TUNNEL_SECONDS if has_more else None
            )
        return channel

    def stop(self) -> None:
        """Give up the other paths."""
        for opening in self._running:
            opening.add_done_callback(_close_opened)
            opening.cancel()

    def _start_direct(self) -> None:
        connector = DirectConnector()
        opening = asyncio.ensure_future(
            connector.open(self._server, self._timeout_seconds)
        )
        self._running[opening] = None

    def _start_tunnel(self) -> bool:
        offer = next(self._offers, None)
        if offer is None:
            return False
        opening = asyncio.ensure_future(
            _open_tunneled_channel(offer, self._server, self._timeout_seconds)
        )
        self._running[opening] = offer
        return True

    async def _wait(self, seconds: float | None) -> Channel | None:
        """Return a channel that has opened; None after a failure or delay."""
        ended, _ = await asyncio.wait(
            self._running,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        opened: list[Channel] = []
        for opening in ended:
            offer = self._running.pop(opening)
            self._error = opening.exception() or self._error
            if opening.exception() is None:
                opened.append(opening.result())
            elif offer is not None:
                self.failed_offers.append(offer)
        for other in opened[1:]:
            other.close()
        return opened[0] if opened else None


async def _open_tunneled_channel(
    offer: TunnelOffer, server: BackendServer, timeout_seconds: float
) -> Channel:
    stream = await open_tunnel(
        offer, server.address, timeout_seconds, MAX_RESPONSE_BYTES
    )
    return Channel(server.address, stream, MAX_RESPONSE_BYTES, offer.address)


def _close_opened(opening: Task[Channel]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()


def merge_offers(payloads: Sequence[bytes]) -> bytes:
    """Return some of the offers of several hosts."""
    offers = sorted(
        {offer for payload in payloads for offer in _decode_offers(payload)},
        key=lambda offer: offer.token,
    )
    return msgpack.encode(
        [(offer.address, offer.token) for offer in offers[:_MAX_MERGED_OFFERS]]
    )


def _decode_offers(payload: bytes) -> tuple[TunnelOffer, ...]:
    try:
        pairs = msgpack.decode(payload, type=list[tuple[str, str]])
    except DECODE_ERRORS:
        return ()
    return tuple(
        TunnelOffer(address, token)
        for address, token in pairs
        if is_port(address.rpartition(':')[2]) and token.isalnum()
    )
