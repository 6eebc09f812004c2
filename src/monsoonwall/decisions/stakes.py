"""Keep the stakes of tests that may be looked at at any time."""

from dataclasses import dataclass
from enum import StrEnum
from operator import mul
from typing import NamedTuple


class Suspicion(StrEnum):
    """Name what a test looks for."""

    faults = 'wrong answers'
    losses = 'lost answers'
    first_token = 'slow first tokens'
    pace = 'slow tokens'


@dataclass(frozen=True)
class Bet:
    """Hold the likelihood ratio of one observation for each alternative."""

    test: str
    suspicion: Suspicion
    ratios: tuple[float, ...]
    group: int | None
    bucket: int | None = None


class Stake:
    """Hold one test's stakes, whole and without each group and bucket."""

    def __init__(self, alternatives: int, start: float) -> None:
        self._whole = _Part()
        self._stakes: dict[_Part, tuple[float, ...]] = {
            self._whole: tuple(start for _ in range(alternatives))
        }

    def restart(self, amount: float) -> None:
        """Lay a further amount on each alternative."""
        for part, stakes in self._stakes.items():
            self._stakes[part] = tuple(stake + amount for stake in stakes)

    def multiply(self, bet: Bet) -> None:
        """Pay out one observation."""
        spared = []
        if bet.group is not None:
            spared.append(_Part(group=bet.group))
        if bet.bucket is not None:
            spared.append(_Part(bucket=bet.bucket))
        # What leaves out something not seen before is as the whole was.
        for fresh in spared:
            self._stakes.setdefault(fresh, self._stakes[self._whole])
        for part, stakes in self._stakes.items():
            if part not in spared:
                self._stakes[part] = tuple(map(mul, stakes, bet.ratios))

    def measure(self) -> float:
        """Return the stake, or the least without one bucket of contents."""
        return min(
            _average(stakes)
            for part, stakes in self._stakes.items()
            if part.group is None
        )

    def measure_rest(self) -> float:
        """Return the least stake without one group of servers."""
        return min(
            _average(stakes)
            for part, stakes in self._stakes.items()
            if part.bucket is None
        )


class _Part(NamedTuple):
    """Name what a stake leaves out."""

    group: int | None = None
    bucket: int | None = None


def _average(stakes: tuple[float, ...]) -> float:
    return sum(stakes) / len(stakes)
