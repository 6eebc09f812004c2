"""Compose what one host needs to claim calls."""

from monsoonwall.claims.claiming import JournalClaiming
from monsoonwall.claims.forwarding import WriterLocator
from monsoonwall.claims.status import ClaimsService, PeerClaimStatusClient
from monsoonwall.claims.writer import JournalWriters
from monsoonwall.clocks import Clock
from monsoonwall.mesh.peers import Peers, Registrar
from monsoonwall.platform.objects import ObjectStore


class ClaimStack:
    """Own the journal writers of one host and its word on its claims."""

    def __init__(
        self, host_name: str, store: ObjectStore, peers: Peers, clock: Clock
    ) -> None:
        self._writers = JournalWriters(store, clock)
        self.claiming = JournalClaiming(
            host_name,
            WriterLocator(host_name, peers, self._writers).find_writer,
            PeerClaimStatusClient(peers),
            clock,
        )
        status_service = ClaimsService(self.claiming, self._writers)
        self.registrar: Registrar = status_service.register

    async def stop(self, deadline: float) -> None:
        """Write the endings still unwritten, then stop the writers."""
        await self.claiming.drain(deadline)
        self._writers.close()
