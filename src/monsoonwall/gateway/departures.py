"""Share which servers announced in a response that they are shutting down.

Responses announce it sooner than the store's entries, which may lag or never
arrive. A restarted server keeps its name but has another ``born`` number, and
may be used again.
"""

from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.mesh.board import Board, Entry, Fact, find_expiry

DEPARTURE_KIND: Final = 'departure'
# A server that announces its shutdown is gone well within this time.
_FACT_TTL_SECONDS: Final = 300.0
_BORN_BYTES: Final = 8


class Departures:
    """Publish departing servers to the other hosts, and receive theirs."""

    def __init__(
        self, board: Board, record_cache: RecordCache, clock: Clock
    ) -> None:
        self._board = board
        self._record_cache = record_cache
        self._clock = clock
        self._arrivals = board.subscribe(DEPARTURE_KIND)
        record_cache.subscribe_departures(self._publish)

    def publish_departure(self, server: BackendServer) -> None:
        """Mark a server as leaving, and publish this if it is new."""
        if self._record_cache.mark_leaving(server.name, server.born):
            self._publish(server)

    async def run(self) -> None:
        """Apply the departures that other hosts publish, until cancelled."""
        while True:
            self._apply(await self._arrivals.get())

    def _publish(self, server: BackendServer) -> None:
        self._board.publish_fact(
            Fact(
                DEPARTURE_KIND,
                server.name,
                server.born.to_bytes(_BORN_BYTES, 'big'),
                find_expiry(self._clock.read_wall(), _FACT_TTL_SECONDS),
            )
        )

    def _apply(self, received: Entry | Fact) -> None:
        if isinstance(received, Fact):
            born = int.from_bytes(received.payload, 'big')
            self._record_cache.mark_leaving(received.key, born)
