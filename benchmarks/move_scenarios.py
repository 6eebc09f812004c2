"""Simulate seeded version moves, with the real decision logic.

The simulation runs in virtual time, in ticks of one second. Requests arrive at
random and are split between the versions by the share that was decided a
second earlier. A server gets slower with each request that it runs. Evidence
from a request reaches the move's course one or two seconds after the request
ends, as it would over the mesh.
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from types import MappingProxyType

from monsoonwall.configuration.model import Move
from monsoonwall.decisions.evidence import (
    Cell,
    CellKey,
    Increment,
    Side,
    find_latency_bucket,
)
from monsoonwall.decisions.moves import MoveCourse, MovePlan, Phase

BASELINE_SECONDS = 120
_SHARE_LAG_SECONDS = 1
_EVIDENCE_LAG_SECONDS = (1, 2)
_ZONES = ('zone-a', 'zone-b', 'zone-c')
_SERVER_CAPACITY = 16
_SLOWDOWN_PER_ATTEMPT = 0.06
_BASE_FAULT_RATE = 0.005
_PEAK_LOAD_FACTOR = 1.8
_BASE_LOSS_RATE = 0.001


@dataclass(frozen=True)
class RouteLoad:
    """Describe a route's requests.

    ``rate`` is in requests per second. ``first_token`` is the time to the
    first token and ``pace`` the time per later token, in seconds.
    """

    name: str
    rate: float
    first_token: float
    tokens: int
    pace: float


@dataclass(frozen=True)
class Workload:
    """Describe a user's traffic and servers, and the time for the move."""

    name: str
    routes: tuple
    old_servers: int
    new_servers: int
    window_seconds: int


ASSOCIATION = Workload(
    'association',
    (
        RouteLoad('hotline', 2, 0.2, 40, 0.03),
        RouteLoad('summary', 0.3, 0.9, 500, 0.04),
    ),
    6,
    3,
    1800,
)
HIVATAL = Workload(
    'hivatal',
    (
        RouteLoad('foreman', 1.2, 0.25, 60, 0.03),
        RouteLoad('audit', 0.25, 1.2, 700, 0.04),
    ),
    9,
    4,
    2700,
)


@dataclass(frozen=True)
class Attempt:
    """Describe one simulated request to the scenario."""

    now: float
    route: str
    side: Side
    zone: str
    server: int
    load: float
    bucket: int


@dataclass
class Outcome:
    """Hold how a simulated request ends, for the scenario to alter.

    ``ending`` is one of completed, fault, loss and ignored. Ignored requests
    do not count as evidence.
    """

    ending: str = 'completed'
    slowness: float = 1


def draw_event(random, probability):
    """Return true with the given probability."""
    return random.random() < probability


class Scenario(ABC):
    """Alter the outcomes and the load of the requests in one move.

    ``good`` states that the new version should be accepted.
    """

    good = False
    hard = True
    has_load_peaks = False

    def prepare(self, random, workload):
        """Choose at random where and when faults occur."""
        self.workload = workload
        self.onset = 0

    def find_load_factor(self, now):
        """Return the factor on the arrival rate at a time."""
        return 1

    @abstractmethod
    def alter_outcome(self, attempt, outcome, random):
        """Alter the outcome of one request."""

    def affects(self, attempt):
        """Return whether the new version is faulty for this request."""
        return attempt.side is Side.new and attempt.now >= self.onset


@dataclass
class Failing(Scenario):
    """Fail the new version's requests with a given probability."""

    probability: float
    ending: str = 'fault'
    late: bool = False
    only_route: int | None = None
    hard: bool = True
    under_load: bool = False

    def prepare(self, random, workload):
        super().prepare(random, workload)
        if self.late:
            self.onset = random.uniform(0.1, 0.7) * workload.window_seconds
        self.has_load_peaks = self.under_load
        self.route = None
        if self.only_route is not None:
            self.route = workload.routes[self.only_route].name

    def affects(self, attempt):
        if self.route is not None and attempt.route != self.route:
            return False
        if self.under_load and attempt.load < _PEAK_LOAD_FACTOR:
            return False
        return super().affects(attempt)

    def alter_outcome(self, attempt, outcome, random):
        if self.affects(attempt) and draw_event(random, self.probability):
            outcome.ending = self.ending


@dataclass
class Slow(Scenario):
    """Slow the new version down by a factor."""

    factor: float = 2
    late: bool = False
    hard = False

    def prepare(self, random, workload):
        super().prepare(random, workload)
        if self.late:
            self.onset = random.uniform(0.1, 0.6) * workload.window_seconds

    def alter_outcome(self, attempt, outcome, random):
        if self.affects(attempt):
            outcome.slowness *= self.factor


class Healthy(Scenario):
    """Cause no faults; base class for moves to a good version."""

    good = True
    has_load_peaks = True

    def affects(self, attempt):
        return False

    def alter_outcome(self, attempt, outcome, random):
        """Leave the outcome unchanged."""

    def _choose_span(self, random, shortest, longest):
        begin = random.uniform(0.05, 0.75) * self.workload.window_seconds
        self.span = (begin, begin + random.uniform(shortest, longest))

    def _is_in_span(self, attempt):
        return self.span[0] <= attempt.now < self.span[1]


class ReclaimWave(Healthy):
    """Reclaim the new version's servers in one zone, some without notice.

    In half of the moves, the old version's servers there are reclaimed too.
    """

    def prepare(self, random, workload):
        super().prepare(random, workload)
        self.zone = random.choice(_ZONES[: min(3, workload.new_servers)])
        self._choose_span(random, 5, 20)
        self.both_versions = draw_event(random, 0.5)

    def alter_outcome(self, attempt, outcome, random):
        if attempt.zone != self.zone or not self._is_in_span(attempt):
            return
        if attempt.side is Side.new or self.both_versions:
            outcome.ending = random.choice(('ignored', 'loss'))


class ZonePartition(Healthy):
    """Partition one zone from two thirds of the hosts."""

    def prepare(self, random, workload):
        super().prepare(random, workload)
        self.zone = random.choice(_ZONES)
        self._choose_span(random, 30, 240)

    def alter_outcome(self, attempt, outcome, random):
        affected = attempt.zone == self.zone and self._is_in_span(attempt)
        if affected and draw_event(random, 0.67):
            outcome.ending = random.choice(('ignored', 'loss'))


class Overload(Healthy):
    """Triple the arrival rate, which causes refusals and timeouts."""

    def prepare(self, random, workload):
        super().prepare(random, workload)
        self._choose_span(random, 60, 240)

    def find_load_factor(self, now):
        return 3 if self.span[0] <= now < self.span[1] else 1

    def alter_outcome(self, attempt, outcome, random):
        if self._is_in_span(attempt):
            if draw_event(random, 0.2):
                outcome.ending = 'ignored'
            elif draw_event(random, 0.12):
                outcome.ending = 'loss'


class BadHost(Healthy):
    """Make one server of the new version slow and prone to failures."""

    def prepare(self, random, workload):
        super().prepare(random, workload)
        self.server = random.randrange(workload.new_servers)
        self._choose_span(random, 200, 1500)

    def alter_outcome(self, attempt, outcome, random):
        on_bad_server = (
            attempt.side is Side.new and attempt.server == self.server
        )
        if on_bad_server and self._is_in_span(attempt):
            outcome.slowness *= 3
            if draw_event(random, 0.6):
                outcome.ending = random.choice(('fault', 'loss'))


class CrashingRequest(Healthy):
    """Repeat a request that crashes every server that runs it."""

    def prepare(self, random, workload):
        super().prepare(random, workload)
        self._choose_span(random, 60, 600)

    def alter_outcome(self, attempt, outcome, random):
        if attempt.bucket == 0 and self._is_in_span(attempt):
            outcome.ending = 'loss'


class NewVersionCrashingRequest(CrashingRequest):
    """Repeat a request that crashes only the new version."""

    def alter_outcome(self, attempt, outcome, random):
        if attempt.side is Side.new:
            super().alter_outcome(attempt, outcome, random)


class SharedFault(Healthy):
    """Fail requests on both versions, as with a broken dependency."""

    def prepare(self, random, workload):
        super().prepare(random, workload)
        self._choose_span(random, 20, 200)
        self.probability = random.uniform(0.1, 0.6)

    def alter_outcome(self, attempt, outcome, random):
        if self._is_in_span(attempt) and draw_event(random, self.probability):
            outcome.ending = 'fault'


SCENARIOS = MappingProxyType(
    {
        'fails at once': lambda: Failing(1),
        'half fails': lambda: Failing(0.5),
        'crashes at once': lambda: Failing(1, 'loss'),
        'fails later': lambda: Failing(0.6, late=True),
        'fails under load': lambda: Failing(0.5, under_load=True),
        'fails on one route': lambda: Failing(0.6, only_route=1),
        'slow at once': Slow,
        'slow later': lambda: Slow(late=True),
        '5 % failures': lambda: Failing(0.05, hard=False),
        'good, load peaks': Healthy,
        'good, reclaims': ReclaimWave,
        'good, zone cut': ZonePartition,
        'good, overload': Overload,
        'good, bad host': BadHost,
        'good, bad request': CrashingRequest,
        'good, one content': NewVersionCrashingRequest,
        'good, shared fault': SharedFault,
    }
)


@dataclass
class MoveResult:
    """Hold the result of one simulated move.

    ``bad_requests`` counts requests sent to the new version while it was
    faulty, before it was withdrawn; up to ``request_limit`` are acceptable.
    ``decision_seconds`` is the time from the fault to the decision.
    """

    phase: Phase
    on_time: bool
    bad_requests: int
    request_limit: float
    after_withdrawal: int
    decision_seconds: float | None


@dataclass
class _Tick:
    cells: list = field(default_factory=list)
    begun_old: int = 0
    begun_new: int = 0
    ended_new: int = 0


class MoveSimulation:
    """Simulate one move, starting ``BASELINE_SECONDS`` before it begins."""

    def __init__(self, workload, scenario, seed, make_course=MoveCourse):
        self._random = Random(seed)
        self._workload = workload
        self._scenario = scenario
        scenario.prepare(self._random, workload)
        move = Move('assistant', 'v1', 'v2', 0, workload.window_seconds)
        plan = MovePlan(
            'move', move, workload.old_servers, workload.new_servers
        )
        self._course = make_course(plan)
        self._ticks = defaultdict(_Tick)
        self._ending_attempts = defaultdict(list)
        self._running_counts = defaultdict(int)
        self._shares = [0 for _ in range(_SHARE_LAG_SECONDS + 1)]
        self._next_arrivals = {
            route.name: -BASELINE_SECONDS + self._random.expovariate(route.rate)
            for route in workload.routes
        }
        self._peak_start = -BASELINE_SECONDS
        self._peak_end = self._peak_start
        self._bad_requests = 0
        self._affected = 0
        self._after_withdrawal = 0

    def run(self):
        """Run the simulation and return its result."""
        decided_at = None
        for now in range(-BASELINE_SECONDS, self._workload.window_seconds + 1):
            self._run_arrivals(now)
            if decided_at is None:
                self._advance(now)
                decided_at = self._find_decision(now)
            elif now > decided_at + 5:
                break
            self._shares = [*self._shares[1:], self._course.share]
        return self._summarize(decided_at)

    def _find_decision(self, now):
        """Return the time of the decision if there is one by now."""
        return None if self._course.conclusion is None else now

    def _summarize(self, decided_at):
        conclusion = self._course.conclusion
        phase = conclusion.phase if conclusion else Phase.under_way
        rate = sum(
            route.rate
            for route in self._workload.routes
            if getattr(self._scenario, 'route', None) in {None, route.name}
        )
        request_limit = max(20, rate * self._workload.window_seconds / 100)
        return MoveResult(
            phase,
            phase is Phase.done,
            self._bad_requests,
            request_limit,
            self._after_withdrawal,
            None if decided_at is None else decided_at - self._scenario.onset,
        )

    def _advance(self, now):
        tick = self._ticks.pop(now, _Tick())
        self._course.advance(
            Increment(
                tick.begun_old,
                tick.begun_new,
                tick.ended_new,
                tuple(tick.cells),
            ),
            now,
        )

    def _run_arrivals(self, now):
        for side, server in self._ending_attempts.pop(now, ()):
            self._running_counts[side, server] -= 1
        load = self._find_load(now)
        for route in self._workload.routes:
            while self._next_arrivals[route.name] < now + 1:
                self._start_attempt(now, route, load)
                gap = self._random.expovariate(route.rate * load)
                self._next_arrivals[route.name] += gap

    def _find_load(self, now):
        if self._scenario.has_load_peaks and now >= self._peak_end:
            self._peak_start = now + self._random.uniform(60, 300)
            self._peak_end = self._peak_start + self._random.uniform(60, 180)
        load = self._scenario.find_load_factor(now)
        if (
            self._scenario.has_load_peaks
            and self._peak_start <= now < self._peak_end
        ):
            load *= _PEAK_LOAD_FACTOR
        return load

    def _start_attempt(self, now, route, load):
        random = self._random
        # One host in eight decides; the others learn the share a second later.
        share = self._shares[-1 if draw_event(random, 0.125) else 0]
        side = Side.new if draw_event(random, share) else Side.old
        workload = self._workload
        servers = workload.new_servers if side else workload.old_servers
        server = random.randrange(servers)
        bucket = random.randrange(16)
        zone = _ZONES[server % 3]
        attempt = Attempt(now, route.name, side, zone, server, load, bucket)
        outcome = Outcome()
        chance = random.random()
        if chance < _BASE_LOSS_RATE:
            outcome.ending = 'loss'
        elif chance < _BASE_LOSS_RATE + _BASE_FAULT_RATE:
            outcome.ending = 'fault'
        self._scenario.alter_outcome(attempt, outcome, random)
        self._count_start(attempt)
        self._run_attempt(attempt, outcome, route)

    def _count_start(self, attempt):
        tick = self._ticks[
            attempt.now + self._random.choice(_EVIDENCE_LAG_SECONDS)
        ]
        if attempt.side is Side.old:
            tick.begun_old += 1
            return
        tick.begun_new += 1
        conclusion = self._course.conclusion
        if conclusion and conclusion.phase is Phase.withdrawn:
            self._after_withdrawal += 1
        elif self._scenario.affects(attempt):
            self._bad_requests += 1

    def _run_attempt(self, attempt, outcome, route):
        random = self._random
        server_key = (attempt.side, attempt.server)
        slowness = outcome.slowness * (
            1 + _SLOWDOWN_PER_ATTEMPT * self._running_counts[server_key]
        )
        first = route.first_token * random.lognormvariate(0, 0.4) * slowness
        pace = route.pace * random.lognormvariate(0, 0.2) * slowness
        tokens = max(2, int(route.tokens * random.lognormvariate(0, 0.6)))
        total_seconds = first + pace * tokens
        spent = total_seconds if outcome.ending == 'completed' else first
        ended = attempt.now + int(spent) + 1
        self._running_counts[server_key] += 1
        self._ending_attempts[ended].append(server_key)
        tick = self._ticks[ended + random.choice(_EVIDENCE_LAG_SECONDS)]
        if attempt.side is Side.new:
            tick.ended_new += 1
        if outcome.ending != 'ignored':
            tick.cells.append(_make_cell(attempt, outcome, first, pace))


def _make_cell(attempt, outcome, first, pace):
    key = CellKey(attempt.route, attempt.side, attempt.zone, attempt.server)
    if outcome.ending == 'fault':
        return Cell(key, 1, faults={attempt.bucket: 1})
    if outcome.ending == 'loss':
        return Cell(key, 1, losses={attempt.bucket: 1})
    return Cell(
        key,
        1,
        first_token={find_latency_bucket(first): 1},
        pace={find_latency_bucket(pace): 1},
    )
