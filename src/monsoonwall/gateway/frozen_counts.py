"""Share the usage counts that lease holders have frozen.

A window may have been reported to the platform with its frozen counts. The
store keeps them for the next lease holder, but may return from an older copy
without them; the other hosts still know them then.
"""

from typing import Final

from msgspec import json

from monsoonwall.clocks import Clock
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Fact

_KIND: Final = 'usage-frozen'
# Longer than a window may be reported after its end.
_FACT_TTL_SECONDS: Final = 120.0
# A share of the time between two steps of the duties, which it delays.
_ACKNOWLEDGEMENT_SECONDS: Final = 0.25

_log = make_logger('usage')

Counts = dict[str, int]


class FrozenCounts:
    """Publish the frozen counts of windows, and read those of all hosts."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self._board = board
        self._clock = clock

    async def replicate(self, number: int, counts: Counts) -> bool:
        """Publish the counts of a window; return whether another host has them.

        Both this host and what the store has confirmed may be lost.
        """
        fact = Fact(
            _KIND,
            str(number),
            json.encode(counts, order='sorted'),
            self._clock.read_wall() + _FACT_TTL_SECONDS,
        )
        return await self._board.replicate_fact(
            fact, self._clock.read_monotonic() + _ACKNOWLEDGEMENT_SECONDS
        )

    def read(self) -> dict[int, Counts]:
        """Return the counts of each window that some host has frozen."""
        frozen: dict[int, Counts] = {}
        for fact in self._board.read_facts(_KIND):
            try:
                frozen[int(fact.key)] = json.decode(fact.payload, type=Counts)
            except (ValueError, RecursionError) as error:
                _log.warning(
                    'Cannot decode frozen counts of another host.',
                    reason=str(error),
                )
        return frozen
