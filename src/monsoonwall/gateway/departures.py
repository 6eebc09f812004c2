"""Share which servers have said in their answers that they leave.

Answers tell sooner than the store's entries, which may lag or not come at
all. A server that starts again under its name is born anew and may be used.
"""

from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.mesh.board import Board, Entry, Fact

DEPARTURE_KIND: Final = 'departure'
# A server that leaves is gone well before.
_FACT_SECONDS: Final = 300.0
_BORN_BYTES: Final = 8


class Departures:
    """Own the exchange of departures with the other hosts."""

    def __init__(
        self, board: Board, record_cache: RecordCache, clock: Clock
    ) -> None:
        self._board = board
        self._record_cache = record_cache
        self._clock = clock
        self._arrivals = board.subscribe(DEPARTURE_KIND)

    def note(self, server: BackendServer) -> None:
        """Take in that an answer of a server says that it leaves."""
        if not self._record_cache.note_leaving(server.name, server.born):
            return
        self._board.publish_fact(
            Fact(
                DEPARTURE_KIND,
                server.name,
                server.born.to_bytes(_BORN_BYTES, 'big'),
                self._clock.read_wall() + _FACT_SECONDS,
            )
        )

    async def run(self) -> None:
        """Take in what the other hosts tell, until cancelled."""
        while True:
            self._apply(await self._arrivals.get())

    def _apply(self, received: Entry | Fact) -> None:
        if isinstance(received, Fact):
            born = int.from_bytes(received.payload, 'big')
            self._record_cache.note_leaving(received.key, born)
