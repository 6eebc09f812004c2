"""Compare the answers of two versions when there are few of them.

Answers short roll-outs at a low rate, whose few dozen answers are too few for
a sequential test. Bad answers of the new version are set against how many the
old one would have given on the same routes.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from monsoonwall.decisions.evidence import Cell, Increment, Side

# Standard deviations above the old version's bad answers, and bad answers,
# that show a version to be worse, and that keep it from taking all requests.
# Simulated figures for both are in docs/design/gateway.md.
_WORSE_DEVIATIONS: Final = 3.5
_WORSE_ANSWERS: Final = 6
_SUSPECT_DEVIATIONS: Final = 2.0
_SUSPECT_ANSWERS: Final = 3
# An answer is slow if it takes at least this many buckets, each a quarter
# longer than the one before, above this part of the old version's answers.
_SLOW_BUCKETS: Final = 3
_USUAL_QUANTILE: Final = 0.9


@dataclass(frozen=True)
class Excess:
    """Tell by how much the bad answers exceed the expected ones.

    ``deviations`` are standard deviations; ``remaining_deviations`` are those without the
    group of servers that stands out most.
    """

    answers: int
    deviations: float
    remaining_deviations: float

    @property
    def worse(self) -> bool:
        """Tell whether the new version is worse."""
        return (
            self.answers >= _WORSE_ANSWERS
            and self.deviations >= _WORSE_DEVIATIONS
            and self.remaining_deviations >= _SUSPECT_DEVIATIONS
        )

    @property
    def suspected(self) -> bool:
        """Tell whether the new version may be worse."""
        return (
            self.answers >= _SUSPECT_ANSWERS
            and self.deviations >= _SUSPECT_DEVIATIONS
        )


@dataclass
class _AnswerCounts:
    trials: int = 0
    faults: int = 0
    latencies: Counter[int] = field(default_factory=Counter)

    def add(self, cell: Cell) -> None:
        # Lost answers tell of servers and links rather than of a version.
        self.trials += cell.trials - sum(cell.losses.values())
        self.faults += sum(cell.faults.values())
        self.latencies.update(cell.first_token)

    def count_bad(self, slow_bucket: float) -> int:
        slow = sum(
            count
            for bucket, count in self.latencies.items()
            if bucket >= slow_bucket
        )
        return self.faults + slow


class SmallSampleComparison:
    """Sum up the evidence on both versions."""

    def __init__(self) -> None:
        self._old: defaultdict[str, _AnswerCounts] = defaultdict(_AnswerCounts)
        self._new: defaultdict[tuple[str, int], _AnswerCounts] = defaultdict(
            _AnswerCounts
        )

    def add(self, increment: Increment) -> None:
        """Add what hosts have counted."""
        for cell in increment.cells:
            if cell.key.side == Side.old:
                self._old[cell.key.route].add(cell)
            else:
                self._new[cell.key.route, cell.key.group].add(cell)

    def measure(self) -> Excess:
        """Return the excess of the new version's bad answers."""
        group_answers = list(self._list_group_answers())
        groups = {answers.group for answers in group_answers}
        remaining = [
            self._measure_deviations(
                answers for answers in group_answers if answers.group != group
            )
            for group in groups
        ]
        deviations = self._measure_deviations(group_answers)
        return Excess(
            sum(answers.bad for answers in group_answers),
            deviations,
            min(remaining) if len(groups) > 1 else deviations,
        )

    def _list_group_answers(self) -> Iterator['_GroupAnswers']:
        for (route, group), counts in self._new.items():
            slow_bucket = self._find_slow_bucket(route)
            yield _GroupAnswers(
                route, group, counts.trials, counts.count_bad(slow_bucket)
            )

    def _measure_deviations(
        self, group_answers: Iterable['_GroupAnswers']
    ) -> float:
        """Return the Mantel-Haenszel statistic over the routes."""
        trials: Counter[str] = Counter()
        bad: Counter[str] = Counter()
        for answers in group_answers:
            trials[answers.route] += answers.trials
            bad[answers.route] += answers.bad
        tables = [
            _ContingencyTable(
                trials[route],
                bad[route],
                self._old[route].trials,
                self._old[route].count_bad(self._find_slow_bucket(route)),
            )
            for route in trials
        ]
        variance = sum(table.variance for table in tables)
        excess = sum(table.excess for table in tables)
        return excess / math.sqrt(variance) if variance > 0 else 0

    def _find_slow_bucket(self, route: str) -> float:
        """Return the latency bucket from which answers count as slow."""
        latencies = self._old[route].latencies
        usual_count = sum(latencies.values()) * _USUAL_QUANTILE
        cumulative = 0
        for bucket in sorted(latencies):
            cumulative += latencies[bucket]
            if cumulative >= usual_count:
                return bucket + _SLOW_BUCKETS
        return math.inf


@dataclass(frozen=True)
class _GroupAnswers:
    route: str
    group: int
    trials: int
    bad: int


@dataclass(frozen=True)
class _ContingencyTable:
    """Hold the answers of one route, of the new and of the old version."""

    new: int
    new_bad: int
    old: int
    old_bad: int

    @property
    def excess(self) -> float:
        """Return the bad answers beyond the expected ones."""
        total = self.new + self.old
        expected = self.new * (self.new_bad + self.old_bad) / max(1, total)
        return self.new_bad - expected

    @property
    def variance(self) -> float:
        """Return the variance of the bad answers, if versions are alike."""
        total = self.new + self.old
        bad = self.new_bad + self.old_bad
        spread = self.new * self.old * bad * (total - bad)
        return spread / max(1, total**2 * (total - 1))
