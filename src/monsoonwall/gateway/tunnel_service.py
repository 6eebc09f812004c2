"""Carry connections to servers for hosts that do not reach them."""

import asyncio
import secrets
from random import Random
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.server_connections import (
    DirectConnector,
    ServerConnector,
    TunnelingConnector,
    TunnelOffers,
)
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.transport.tunnels import TunnelOffer, TunnelServer

_TOKEN_BYTES: Final = 12

_log = make_logger('servers')


class TunnelService:
    """Offer tunnels through this host, and use those of the others.

    Does neither if the settings have no address for tunnels.
    """

    def __init__(
        self,
        address: str,
        record_cache: RecordCache,
        board: Board,
        clock: Clock,
        random: Random,
    ) -> None:
        self._record_cache = record_cache
        self.connector: ServerConnector = DirectConnector()
        self._tunneling: TunnelingConnector | None = None
        self._server: TunnelServer | None = None
        self._offering = True
        if address:
            offer = TunnelOffer(address, secrets.token_hex(_TOKEN_BYTES))
            self._server = TunnelServer(offer, self._is_known)
            self._tunneling = TunnelingConnector(
                TunnelOffers(board, offer, random), clock
            )
            self.connector = self._tunneling

    async def start(self) -> None:
        """Accept tunnels of other hosts, if the address is free."""
        if self._server is None:
            return
        try:
            await self._server.start()
        except OSError as error:
            self._offering = False
            _log.error('Cannot accept tunnels.', reason=str(error))

    def exchange(self) -> None:
        """Offer tunnels, or withdraw the offer."""
        if self._tunneling is not None and self._offering:
            self._tunneling.exchange(self._record_cache.list_all_servers())

    def withdraw(self) -> None:
        """Withdraw the offer, as this host stops."""
        self._offering = False
        if self._tunneling is not None:
            self._tunneling.withdraw()

    async def stop(self, seconds: float) -> None:
        """Wait for the open tunnels to end, for a limited time."""
        if self._server is not None:
            loop = asyncio.get_running_loop()
            await self._server.stop(loop.time() + seconds)

    def _is_known(self, address: str) -> bool:
        """Return whether an address is that of a server in use."""
        return any(
            server.address == address and not server.leaving
            for server in self._record_cache.list_all_servers()
        )
