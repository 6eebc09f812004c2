"""Test hypotheses sequentially, with results that are valid at any time.

A test multiplies an e-value by the likelihood ratio of each observation. If
the null hypothesis holds, the expected e-value stays at most 1 no matter how
often it is read, and a large e-value is evidence against the hypothesis.
"""

from dataclasses import dataclass
from enum import StrEnum
from operator import mul
from typing import NamedTuple


class Regression(StrEnum):
    """List the ways in which a new version can be worse than the old one."""

    faults = 'wrong answers'
    losses = 'lost answers'
    first_token = 'slow first tokens'
    pace = 'slow tokens'


@dataclass(frozen=True)
class Observation:
    """Hold one observation's likelihood ratio for each alternative.

    ``test`` names the kind of test that it belongs to. ``group`` and ``bucket``
    are its group of servers and its bucket of request contents; where one is
    None, the observation is never excluded because of it.
    """

    test: str
    regression: Regression
    ratios: tuple[float, ...]
    group: int | None
    bucket: int | None = None


class SequentialTest:
    """Keep one test's e-values, with and without some of its observations.

    Besides the e-values from all observations, it keeps those that exclude
    each single group of servers and each single bucket of request contents.
    Each holds one e-value per alternative; the test's e-value is their mean.
    """

    def __init__(self, alternatives: int, weight: float) -> None:
        self._no_exclusion = _Exclusion()
        self._e_values: dict[_Exclusion, tuple[float, ...]] = {
            self._no_exclusion: tuple(weight for _ in range(alternatives))
        }

    def restart(self, weight: float) -> None:
        """Start the test anew with this weight, beside the earlier starts.

        The e-value of the new start is added to those of the earlier ones.
        The caller keeps the sum of all weights at 1 or below.
        """
        for exclusion, e_values in self._e_values.items():
            self._e_values[exclusion] = tuple(
                e_value + weight for e_value in e_values
            )

    def update(self, observation: Observation) -> None:
        """Multiply the e-values by an observation's likelihood ratios."""
        exclusions = []
        if observation.group is not None:
            exclusions.append(_Exclusion(group=observation.group))
        if observation.bucket is not None:
            exclusions.append(_Exclusion(bucket=observation.bucket))
        # Until now, excluding this group or bucket excluded nothing.
        for added in exclusions:
            self._e_values.setdefault(added, self._e_values[self._no_exclusion])
        for exclusion, e_values in self._e_values.items():
            if exclusion not in exclusions:
                self._e_values[exclusion] = tuple(
                    map(mul, e_values, observation.ratios)
                )

    def compute_e_value(self) -> float:
        """Return the least e-value, excluding at most one content bucket."""
        return min(
            _average(e_values)
            for exclusion, e_values in self._e_values.items()
            if exclusion.group is None
        )

    def compute_without_worst_group(self) -> float:
        """Return the least e-value, excluding at most one server group."""
        return min(
            _average(e_values)
            for exclusion, e_values in self._e_values.items()
            if exclusion.bucket is None
        )


class _Exclusion(NamedTuple):
    """Name the group or content bucket whose observations are excluded."""

    group: int | None = None
    bucket: int | None = None


def _average(e_values: tuple[float, ...]) -> float:
    return sum(e_values) / len(e_values)
