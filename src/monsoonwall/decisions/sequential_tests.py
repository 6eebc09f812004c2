"""Keep the stakes of tests that may be looked at at any time."""

from dataclasses import dataclass
from enum import StrEnum
from operator import mul
from typing import NamedTuple


class Regression(StrEnum):
    """Name what a test looks for."""

    faults = 'wrong answers'
    losses = 'lost answers'
    first_token = 'slow first tokens'
    pace = 'slow tokens'


@dataclass(frozen=True)
class Observation:
    """Hold the likelihood ratio of one observation for each alternative."""

    test: str
    regression: Regression
    ratios: tuple[float, ...]
    group: int | None
    bucket: int | None = None


class SequentialTest:
    """Hold one test's stakes, whole and without each group and bucket."""

    def __init__(self, alternatives: int, weight: float) -> None:
        self._no_exclusion = _Exclusion()
        self._e_values: dict[_Exclusion, tuple[float, ...]] = {
            self._no_exclusion: tuple(weight for _ in range(alternatives))
        }

    def restart(self, weight: float) -> None:
        """Lay a further amount on each alternative."""
        for exclusion, e_values in self._e_values.items():
            self._e_values[exclusion] = tuple(
                e_value + weight for e_value in e_values
            )

    def update(self, observation: Observation) -> None:
        """Pay out one observation."""
        exclusions = []
        if observation.group is not None:
            exclusions.append(_Exclusion(group=observation.group))
        if observation.bucket is not None:
            exclusions.append(_Exclusion(bucket=observation.bucket))
        # What leaves out something not seen before is as the whole was.
        for added in exclusions:
            self._e_values.setdefault(added, self._e_values[self._no_exclusion])
        for exclusion, e_values in self._e_values.items():
            if exclusion not in exclusions:
                self._e_values[exclusion] = tuple(
                    map(mul, e_values, observation.ratios)
                )

    def compute_e_value(self) -> float:
        """Return the stake, or the least without one bucket of contents."""
        return min(
            _average(e_values)
            for exclusion, e_values in self._e_values.items()
            if exclusion.group is None
        )

    def compute_without_worst_group(self) -> float:
        """Return the least stake without one group of servers."""
        return min(
            _average(e_values)
            for exclusion, e_values in self._e_values.items()
            if exclusion.bucket is None
        )


class _Exclusion(NamedTuple):
    """Name what a stake leaves out."""

    group: int | None = None
    bucket: int | None = None


def _average(e_values: tuple[float, ...]) -> float:
    return sum(e_values) / len(e_values)
