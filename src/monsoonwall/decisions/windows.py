"""Keep the recent results of both versions on one route.

The sequential comparison takes its shares, rates and ranks from them.
"""

import math
from collections import defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.evidence import LATENCY_BUCKETS, Cell, Side
from monsoonwall.decisions.sequential_tests import Regression

# Time constant of the weights of old results. It is short compared with
# changes of load, and long compared with the gaps between the requests of a
# quiet route.
_WINDOW_SECONDS: Final = 90.0
# Time constant for noticing trouble that affects both versions: it shows in
# the old version's results within this time.
SHORT_WINDOW_SECONDS: Final = 15.0
# Trials of the new version are compared with the old version's fault rate once
# the old version has this many more trials, or after this time.
_POSTPONE_TRIALS: Final = 8
_POSTPONE_SECONDS: Final = 8.0
_MIN_FAULT_RATE: Final = 0.008
# Latencies are ranked once the old version has this many recent ones.
_MIN_REFERENCE_TRIALS: Final = 10
# The mean of ranks from 0 to 1 while latencies don't change.
_MEAN_RANK: Final = 0.5
# A new version may be slower by this many latency buckets.
_TOLERATED_BUCKETS: Final = 1
# The latencies of a group of servers are ignored, as an effect of its load, if
# its trials exceed the mean of the old version's groups times this factor plus
# this number.
_MAX_WORK_RATIO: Final = 1.5
_WORK_SLACK_TRIALS: Final = 4.0


@dataclass(frozen=True)
class TrialWeights:
    """Hold the weight of a trial in the usual and in the short window.

    They grow with time, so that later trials count more.
    """

    usual: float
    short: float


def make_weights(seconds: float) -> TrialWeights:
    """Return the weights of a trial this long after the origin of time."""
    return TrialWeights(
        math.exp(seconds / _WINDOW_SECONDS),
        math.exp(seconds / SHORT_WINDOW_SECONDS),
    )


class _ReferenceLatencies:
    """Track the old version's recent latencies, and whether they rise."""

    def __init__(self) -> None:
        self._counts: list[float] = [0 for _ in range(LATENCY_BUCKETS)]
        self._rank_sum: float = 0
        self._rank_weight: float = 0

    def add(self, bucket: int, weights: TrialWeights) -> None:
        """Add one latency of the old version."""
        rank = self._rank(bucket, weights)
        if rank is not None:
            self._rank_sum += rank * weights.short
            self._rank_weight += weights.short
        self._counts[bucket] += weights.usual

    def rank(self, bucket: int, weights: TrialWeights) -> float | None:
        """Return the part of the old latencies that a new one exceeds, or None.

        The tolerated slowness is subtracted first. If the old version's
        latest latencies rank high among its earlier ones, both versions are
        slowed by a common cause, and the rank is lowered by as much.
        """
        rank = self._rank(max(0, bucket - _TOLERATED_BUCKETS), weights)
        if rank is None:
            return None
        mean = self._rank_sum / (self._rank_weight or 1)
        return max(rank - max(0, mean - _MEAN_RANK), 0)

    def scale(self, factors: TrialWeights) -> None:
        """Multiply all weights."""
        self._counts = [count * factors.usual for count in self._counts]
        self._rank_sum *= factors.short
        self._rank_weight *= factors.short

    def _rank(self, bucket: int, weights: TrialWeights) -> float | None:
        total = sum(self._counts)
        if total < _MIN_REFERENCE_TRIALS * weights.usual:
            return None
        below = sum(self._counts[:bucket]) + self._counts[bucket] / 2
        return (below + weights.usual / 2) / (total + weights.usual)


class RouteWindow:
    """Track recent trials on one route, with exponentially decaying weights.

    New trials get larger weights, instead of all earlier counts being scaled
    down as time passes. Only the proportions of weights matter.
    """

    def __init__(self) -> None:
        self._old_trials = 0
        self._old_faults = 0
        self._recent_faults: float = 0
        self._short_trials: float = 0
        self._short_faults: float = 0
        self._zones: dict[tuple[str, Side], float] = defaultdict(float)
        self._sides: dict[Side, float] = defaultdict(float)
        self._groups: dict[int, float] = defaultdict(float)
        self._latencies = {
            Regression.first_token: _ReferenceLatencies(),
            Regression.pace: _ReferenceLatencies(),
        }
        self._postponed: deque[_Postponed] = deque()

    def add(self, cell: Cell, weights: TrialWeights) -> None:
        """Add the trials of a cell."""
        side = cell.key.side
        weighted = cell.trials * weights.usual
        self._sides[side] += weighted
        self._zones[cell.key.zone, side] += weighted
        if side is Side.new:
            self._groups[cell.key.group] += weighted
            return
        faults = sum(cell.faults.values())
        self._old_trials += cell.trials
        self._old_faults += faults
        self._recent_faults += faults * weights.usual
        self._short_trials += cell.trials * weights.short
        self._short_faults += faults * weights.short
        for bucket in repeat_buckets(cell.first_token):
            self._latencies[Regression.first_token].add(bucket, weights)
        for bucket in repeat_buckets(cell.pace):
            self._latencies[Regression.pace].add(bucket, weights)

    def scale(self, factors: TrialWeights) -> None:
        """Multiply all weights."""
        self._recent_faults *= factors.usual
        self._short_trials *= factors.short
        self._short_faults *= factors.short
        for counts in (self._zones, self._sides, self._groups):
            for key in counts:
                counts[key] *= factors.usual
        for latencies in self._latencies.values():
            latencies.scale(factors)

    def postpone(self, cell: Cell, now: float) -> None:
        """Keep a cell of the new version until the old one has more trials.

        A common cause of faults has then shown in the old version's rate.
        """
        self._postponed.append(
            _Postponed(
                cell,
                self._old_trials + _POSTPONE_TRIALS,
                now + _POSTPONE_SECONDS,
            )
        )

    def pop_due(self, now: float) -> Iterator[Cell]:
        """Remove and yield the postponed cells that are now to be tested."""
        while self._postponed:
            first = self._postponed[0]
            if self._old_trials < first.trials and now < first.deadline:
                return
            self._postponed.popleft()
            yield first.cell

    def find_new_share(self, zone: str | None = None) -> float:
        """Return the new version's share of the recent trials."""
        if zone is None:
            new = self._sides[Side.new]
            old = self._sides[Side.old]
        else:
            new = self._zones[zone, Side.new]
            old = self._zones[zone, Side.old]
        return new / (new + old) if new else 0

    def find_fault_rate(self) -> float:
        """Return an upper estimate of the old version's fault rate.

        It is the largest of an upper confidence bound over all trials, the
        rates in both windows, and a minimum.
        """
        faults = self._old_faults + 1
        long_run = (faults + math.sqrt(faults) * 2) / (self._old_trials + 1)
        recent = self._recent_faults / (self._sides[Side.old] or 1)
        short = self._short_faults / (self._short_trials or 1)
        return min(1, max(_MIN_FAULT_RATE, long_run, recent, short))

    def is_overloaded(
        self, group: int, weights: TrialWeights, old_groups: int
    ) -> bool:
        """Return whether a group has far more work than the old groups."""
        allowed = self._sides[Side.old] / old_groups * _MAX_WORK_RATIO
        return (
            self._groups[group] > allowed + _WORK_SLACK_TRIALS * weights.usual
        )

    def rank(
        self, regression: Regression, bucket: int, weights: TrialWeights
    ) -> float | None:
        """Return a new latency's rank among the old ones, from 0 to 1.

        It is None while there are too few old latencies.
        """
        return self._latencies[regression].rank(bucket, weights)


@dataclass(frozen=True)
class _Postponed:
    """Hold a cell until the old version has ``trials`` or until a deadline."""

    cell: Cell
    trials: int
    deadline: float


def repeat_buckets(counts: Mapping[int, int]) -> Iterator[int]:
    """Yield each bucket as many times as it was counted."""
    for bucket, count in counts.items():
        for _ in range(count):
            yield bucket
