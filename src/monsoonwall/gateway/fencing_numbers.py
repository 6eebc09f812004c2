"""Share the fencing number of the duty lease, which the store may lose."""

from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.mesh.board import Board, Fact

_KIND: Final = 'duty-number'
_KEY: Final = 'latest'
_FACT_TTL_SECONDS: Final = 3600.0
_NUMBER_BYTES: Final = 8


class FencingNumbers:
    """Publish the numbers that this host uses, and read the latest of all."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self._board = board
        self._clock = clock

    def publish(self, number: int) -> None:
        """Publish the number of a term that begins on this host."""
        self._board.publish_fact(
            Fact(
                _KIND,
                _KEY,
                # The board keeps the greatest payload, that is, number.
                number.to_bytes(_NUMBER_BYTES, 'big'),
                self._clock.read_wall() + _FACT_TTL_SECONDS,
            )
        )

    def read_latest(self) -> int:
        """Return the latest number that is known, or 0."""
        facts = self._board.read_facts(_KIND)
        return max(
            (int.from_bytes(fact.payload, 'big') for fact in facts), default=0
        )
