"""Compare a new version with the old one by sequential tests.

The null hypothesis of each test is that the versions are alike. Under it the
test's e-value, a product of likelihood ratios, does not grow on average, so
the verdict may be read after every observation: by Ville's inequality the
e-value ever exceeds ``1 / FALSE_ALARM_PROBABILITY`` with at most that
probability. The mean of several e-values is an e-value too, and the verdict
uses the mean over all tests.

Each test also keeps e-values that leave out one group of servers or one
bucket of request contents, and the least of them counts. So neither one bad
host nor one request that crashes every server it runs on can withdraw a
version alone.
"""

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from operator import mul
from typing import Final

from monsoonwall.decisions.evidence import Cell, Increment, Side
from monsoonwall.decisions.sequential_tests import (
    Observation,
    Regression,
    SequentialTest,
)
from monsoonwall.decisions.windows import (
    SHORT_WINDOW_SECONDS,
    RouteWindow,
    TrialWeights,
    make_weights,
    repeat_buckets,
)

FALSE_ALARM_PROBABILITY: Final = 0.004
_WORSE_E_VALUE: Final = 1 / FALSE_ALARM_PROBABILITY
# Too little to withdraw a version, but enough to wait for more evidence.
_SUSPECTED_E_VALUE: Final = 20
# The least e-value without the worst group of servers that withdraws a version.
_WORSE_REMAINING_E_VALUE: Final = 150

# Weights are scaled down after this many short windows.
_MAX_WEIGHT_AGES: Final = 300
# Each test is started anew this often during a move, so that good results
# before a late fault don't hide it. The restarts share the weight that the
# first start leaves.
_RESTARTS: Final = 32
_INITIAL_WEIGHT: Final = 0.5

# The alternatives of the tests: odds ratios of bad endings, multiples of the
# old fault rate and a high rate, and shapes of the beta distribution of ranks.
_ODDS_RATIOS: Final = (3.0, 10.0, 30.0)
_RATE_FACTORS: Final = (3.0, 8.0)
_HIGH_RATE: Final = 0.5
_MAX_RATE: Final = 0.9
_BETA_SHAPES: Final = (2.0, 4.0, 10.0)
# If only one group of servers has trials, this many of them are enough to
# decide without evidence from another group.
_SINGLE_GROUP_TRIALS: Final = 12


@dataclass(frozen=True)
class Finding:
    """Name the test with the strongest evidence against the new version.

    An empty ``route`` means all routes together.
    """

    regression: Regression
    route: str
    e_value: float


@dataclass(frozen=True)
class ComparisonVerdict:
    """State whether the new version is worse, and the evidence for that.

    ``suspected`` means that there is evidence, though not enough to decide.
    ``e_value`` is the mean over all tests.
    """

    worse: bool
    suspected: bool
    e_value: float
    finding: Finding | None


class SequentialComparison:
    """Compare the two versions of one move as evidence arrives.

    ``old_groups`` and ``new_groups`` are the configured numbers of server
    groups. ``begin`` and ``deadline`` bound the move, in seconds of the clock
    that ``now`` is read from.
    """

    def __init__(
        self, old_groups: int, new_groups: int, begin: float, deadline: float
    ) -> None:
        self.set_server_counts(old_groups, new_groups)
        self._begin = begin
        self._weights_origin = begin
        self._interval = max(1.0, deadline - begin) / _RESTARTS
        self._restarts = 0
        self._routes: dict[str, RouteWindow] = {}
        self._tests: dict[tuple[str, Regression, str], SequentialTest] = {}
        self._trials: dict[int, int] = defaultdict(int)

    @property
    def trials(self) -> int:
        """Return the number of the new version's attempts that are evidence."""
        return sum(self._trials.values())

    def set_server_counts(self, old_groups: int, new_groups: int) -> None:
        """Set the number of server groups of each version."""
        self._old_groups = max(1, old_groups)
        self._single_group = new_groups <= 1

    def add(self, increment: Increment, now: float) -> bool:
        """Add new evidence; return whether the verdict may have changed."""
        self._restart_tests(now)
        weights = self._make_current_weights(now)
        cells_by_route = defaultdict(list)
        for cell in increment.cells:
            cells_by_route[cell.key.route].append(cell)
        update_counts = [
            self._add_route(route, cells, weights, now)
            for route, cells in cells_by_route.items()
        ]
        return any(update_counts)

    def decide(self) -> ComparisonVerdict:
        """Return the verdict from all evidence so far."""
        if not self._tests:
            return ComparisonVerdict(False, False, 0, None)
        e_values = {
            key: test.compute_e_value() for key, test in self._tests.items()
        }
        strongest = max(e_values, key=e_values.__getitem__)
        e_value = sum(e_values.values()) / len(e_values)
        finding = Finding(strongest[1], strongest[2], e_values[strongest])
        remaining = (
            self._average_without_worst_group()
            if e_value >= _SUSPECTED_E_VALUE
            else 0
        )
        return ComparisonVerdict(
            e_value >= _WORSE_E_VALUE and remaining >= _WORSE_REMAINING_E_VALUE,
            remaining >= _SUSPECTED_E_VALUE,
            e_value,
            finding,
        )

    def _average_without_worst_group(self) -> float:
        """Return the mean e-value without the worst group of servers.

        It is infinite if there is only one group, which can't be excluded.
        """
        if self._single_group or self._is_single_group_tested():
            return math.inf
        remaining = sum(
            test.compute_without_worst_group() for test in self._tests.values()
        )
        return remaining / len(self._tests)

    def _make_current_weights(self, now: float) -> TrialWeights:
        elapsed = now - self._weights_origin
        if abs(elapsed) > _MAX_WEIGHT_AGES * SHORT_WINDOW_SECONDS:
            # Move the origin before the growing weights overflow a float.
            decay = make_weights(-elapsed)
            for window in self._routes.values():
                window.scale(decay)
            self._weights_origin = now
            elapsed = 0
        return make_weights(elapsed)

    def _is_single_group_tested(self) -> bool:
        return len(self._trials) == 1 and self.trials >= _SINGLE_GROUP_TRIALS

    def _restart_tests(self, now: float) -> None:
        elapsed_intervals = int((now - self._begin) / self._interval)
        due_restarts = min(elapsed_intervals, _RESTARTS) - self._restarts
        if due_restarts > 0:
            self._restarts += due_restarts
            weight = due_restarts * (1 - _INITIAL_WEIGHT) / _RESTARTS
            for test in self._tests.values():
                test.restart(weight)

    def _add_route(
        self,
        route: str,
        cells: Sequence[Cell],
        weights: TrialWeights,
        now: float,
    ) -> int:
        window = self._routes.get(route)
        if window is None:
            window = RouteWindow()
            self._routes[route] = window
        for cell in cells:
            window.add(cell, weights)
        observations: list[Observation] = []
        for cell in cells:
            observations.extend(self._observe(window, cell, weights))
            if cell.key.side is Side.new:
                self._trials[cell.key.group] += cell.trials
                window.postpone(cell, now)
        for due_cell in window.pop_due(now):
            observations.extend(
                _observe_fault_rate(due_cell, window.find_fault_rate())
            )
        for observation in observations:
            self._update_tests(route, observation)
        return len(observations)

    def _observe(
        self, window: RouteWindow, cell: Cell, weights: TrialWeights
    ) -> Iterator[Observation]:
        yield from _observe_bad_endings(
            Regression.faults, cell, cell.faults, window.find_new_share()
        )
        yield from _observe_bad_endings(
            Regression.losses,
            cell,
            cell.losses,
            window.find_new_share(cell.key.zone),
        )
        if cell.key.side is Side.old:
            return
        if window.is_overloaded(cell.key.group, weights, self._old_groups):
            return
        yield from _observe_latencies(
            Regression.first_token, cell, cell.first_token, window, weights
        )
        yield from _observe_latencies(
            Regression.pace, cell, cell.pace, window, weights
        )

    def _update_tests(self, route: str, observation: Observation) -> None:
        # The tests under the empty route cover all routes. They reveal a
        # slight regression that has too little evidence on any single route.
        for name in (route, ''):
            key = (observation.test, observation.regression, name)
            test = self._tests.get(key)
            if test is None:
                restarted = self._restarts * (1 - _INITIAL_WEIGHT) / _RESTARTS
                test = SequentialTest(
                    len(observation.ratios), _INITIAL_WEIGHT + restarted
                )
                self._tests[key] = test
            test.update(observation)


def _observe_bad_endings(
    regression: Regression,
    cell: Cell,
    counts: Mapping[int, int],
    new_share: float,
) -> Iterator[Observation]:
    """Yield an observation for each bad ending of either version.

    They test whether the new version has more than its share of bad endings.
    If the versions are alike, the part of the bad endings that occurs on the
    new version equals its share of the trials, also when a common cause makes
    endings bad on both versions.
    """
    if not new_share:
        return
    new = cell.key.side is Side.new
    old_ratios = tuple(
        1 / (odds * new_share + 1 - new_share) for odds in _ODDS_RATIOS
    )
    ratios = tuple(map(mul, old_ratios, _ODDS_RATIOS)) if new else old_ratios
    group = cell.key.group if new else None
    for bucket in repeat_buckets(counts):
        yield Observation('odds', regression, ratios, group, bucket)


def _observe_fault_rate(cell: Cell, rate: float) -> Iterator[Observation]:
    """Yield an observation for each answer of the new version, good or wrong.

    They test whether the new version's fault rate exceeds the old rate.
    """
    alternatives = tuple(
        min(_MAX_RATE, max(rate, alternative))
        for alternative in (
            *(rate * factor for factor in _RATE_FACTORS),
            _HIGH_RATE,
        )
    )
    if rate >= _MAX_RATE:
        return
    good_ratios = tuple(
        (1 - alternative) / (1 - rate) for alternative in alternatives
    )
    bad_ratios = tuple(alternative / rate for alternative in alternatives)
    faults = list(repeat_buckets(cell.faults))
    losses = sum(cell.losses.values())
    for _ in range(cell.trials - len(faults) - losses):
        yield Observation(
            'rate', Regression.faults, good_ratios, cell.key.group
        )
    for bucket in faults:
        yield Observation(
            'rate', Regression.faults, bad_ratios, cell.key.group, bucket
        )


def _observe_latencies(
    regression: Regression,
    cell: Cell,
    counts: Mapping[int, int],
    window: RouteWindow,
    weights: TrialWeights,
) -> Iterator[Observation]:
    """Yield an observation for each latency of the new version.

    They test whether the latencies rank high among those of the old version.
    Ranks are uniform if the versions are alike; the alternatives are beta
    distributions with more weight on high ranks.
    """
    # The old latencies are a sample too, and all ranks share its error. The
    # larger the new version's share, the more often that error counts, so the
    # likelihood ratios are weakened by this exponent.
    exponent = 1 - window.find_new_share()
    for bucket in repeat_buckets(counts):
        rank = window.rank(regression, bucket, weights)
        if rank is None:
            return
        ratios = tuple(
            (shape * rank ** (shape - 1)) ** exponent for shape in _BETA_SHAPES
        )
        yield Observation('rank', regression, ratios, cell.key.group)
