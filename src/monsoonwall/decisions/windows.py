"""Remember what both versions did of late on one route."""

import math
from collections import defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.evidence import LATENCY_BUCKETS, Cell, Side
from monsoonwall.decisions.sequential_tests import Regression

# Comparison with the old version looks back about this long, which is short
# against a change of load and long against the gaps of a quiet route.
_WINDOW_SECONDS: Final = 90.0
# What befalls both versions at once is seen at the old one within this.
SHORT_WINDOW_SECONDS: Final = 15.0
# A new version's trials are held against a fault rate only once the old one
# had this many trials after them, or this much time.
_POSTPONE_TRIALS: Final = 8
_POSTPONE_SECONDS: Final = 8.0
_MIN_FAULT_RATE: Final = 0.008
_MIN_REFERENCE_TRIALS: Final = 10
_MEAN_RANK: Final = 0.5
# A version may be slower by this many latency buckets without a fault.
_TOLERATED_BUCKETS: Final = 1
# Slowness of a group with more work than this, against the mean of the old
# version's groups, is put down to the work.
_MAX_WORK_RATIO: Final = 1.5
_WORK_SLACK_TRIALS: Final = 4.0


@dataclass(frozen=True)
class Weights:
    """Weigh a trial in the usual and in the short window."""

    usual: float
    short: float


def make_weights(seconds: float) -> Weights:
    """Return the weights of a trial this long after the weights' origin."""
    return Weights(
        math.exp(seconds / _WINDOW_SECONDS),
        math.exp(seconds / SHORT_WINDOW_SECONDS),
    )


class _ReferenceLatencies:
    """Remember the old version's latencies and whether they rise."""

    def __init__(self) -> None:
        self._counts: list[float] = [0 for _ in range(LATENCY_BUCKETS)]
        self._rank_sum: float = 0
        self._rank_weight: float = 0

    def add(self, bucket: int, weights: Weights) -> None:
        """Add one latency of the old version."""
        rank = self._rank(bucket, weights)
        if rank is not None:
            self._rank_sum += rank * weights.short
            self._rank_weight += weights.short
        self._counts[bucket] += weights.usual

    def rank(self, bucket: int, weights: Weights) -> float | None:
        """Return the part of the old latencies that a new one exceeds.

        A slight slowness is no fault and is taken off. If the old version's
        own latest latencies lie high among those before, something slows
        both, and the new one's rank is lowered as much.
        """
        rank = self._rank(max(0, bucket - _TOLERATED_BUCKETS), weights)
        if rank is None:
            return None
        mean = self._rank_sum / (self._rank_weight or 1)
        return max(rank - max(0, mean - _MEAN_RANK), 0)

    def scale(self, factors: Weights) -> None:
        """Multiply all weights."""
        self._counts = [count * factors.usual for count in self._counts]
        self._rank_sum *= factors.short
        self._rank_weight *= factors.short

    def _rank(self, bucket: int, weights: Weights) -> float | None:
        total = sum(self._counts)
        if total < _MIN_REFERENCE_TRIALS * weights.usual:
            return None
        below = sum(self._counts[:bucket]) + self._counts[bucket] / 2
        return (below + weights.usual / 2) / (total + weights.usual)


class RouteWindow:
    """Remember one route's recent trials, older ones with less weight.

    Weights grow with time instead of old counts shrinking; only their
    proportions matter, so nothing has to be touched as time passes.
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

    def add(self, cell: Cell, weights: Weights) -> None:
        """Add what a cell grew by."""
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

    def scale(self, factors: Weights) -> None:
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
        """Keep a new version's cell until the old one's next trials."""
        self._postponed.append(
            _Postponed(
                cell,
                self._old_trials + _POSTPONE_TRIALS,
                now + _POSTPONE_SECONDS,
            )
        )

    def list_due(self, now: float) -> Iterator[Cell]:
        """Yield the cells that were kept long enough."""
        while self._postponed:
            first = self._postponed[0]
            if self._old_trials < first.trials and now < first.deadline:
                return
            self._postponed.popleft()
            yield first.cell

    def find_new_share(self, zone: str | None = None) -> float:
        """Return the new version's part of the recent trials."""
        if zone is None:
            new = self._sides[Side.new]
            old = self._sides[Side.old]
        else:
            new = self._zones[zone, Side.new]
            old = self._zones[zone, Side.old]
        return new / (new + old) if new else 0

    def find_fault_rate(self) -> float:
        """Return a rate that the old version's faults hardly exceed."""
        faults = self._old_faults + 1
        long_run = (faults + math.sqrt(faults) * 2) / (self._old_trials + 1)
        recent = self._recent_faults / (self._sides[Side.old] or 1)
        short = self._short_faults / (self._short_trials or 1)
        return min(1, max(_MIN_FAULT_RATE, long_run, recent, short))

    def is_overloaded(
        self, group: int, weights: Weights, old_groups: int
    ) -> bool:
        """Tell whether a group has more work than the old version's."""
        allowed = self._sides[Side.old] / old_groups * _MAX_WORK_RATIO
        return (
            self._groups[group] > allowed + _WORK_SLACK_TRIALS * weights.usual
        )

    def rank(
        self, regression: Regression, bucket: int, weights: Weights
    ) -> float | None:
        """Return where a new latency stands among the old ones, 0 to 1."""
        return self._latencies[regression].rank(bucket, weights)


@dataclass(frozen=True)
class _Postponed:
    """Hold a cell until a count of old trials, or until a time."""

    cell: Cell
    trials: int
    deadline: float


def repeat_buckets(counts: Mapping[int, int]) -> Iterator[int]:
    """Yield each bucket as often as it was counted."""
    for bucket, count in counts.items():
        for _ in range(count):
            yield bucket
