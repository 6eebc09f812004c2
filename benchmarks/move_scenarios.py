"""Play seeded version moves against the decision logic in virtual time.

A move is played in ticks of one second. Requests arrive at random, are put on
a side by the share that hosts knew a second ago, and run on a server that
gets slower with its work. Their evidence reaches the course a second or two
after they end, as it would over the mesh.
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
from monsoonwall.decisions.moves import MoveCourse, Phase, Plan

BEFORE_SECONDS = 120
_SHARE_LAG = 1
_EVIDENCE_LAG = (1, 2)
_ZONES = ('zone-a', 'zone-b', 'zone-c')
_SERVER_CAPACITY = 16
_SLOWDOWN = 0.06
_BASE_FAULTS = 0.005
_PEAK_LOAD = 1.8
_BASE_LOSSES = 0.001


@dataclass(frozen=True)
class RouteLoad:
    """Describe a route's requests; times in seconds, rate a second."""

    name: str
    rate: float
    first_token: float
    tokens: int
    pace: float


@dataclass(frozen=True)
class Fleet:
    """Describe a user's traffic and servers."""

    name: str
    routes: tuple
    old_servers: int
    new_servers: int
    window: int


ASSOCIATION = Fleet(
    'association',
    (
        RouteLoad('hotline', 2, 0.2, 40, 0.03),
        RouteLoad('summary', 0.3, 0.9, 500, 0.04),
    ),
    6,
    3,
    1800,
)
HIVATAL = Fleet(
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
    """Hold one simulated request as a scenario may change it."""

    now: float
    route: str
    side: Side
    zone: str
    server: int
    load: float
    bucket: int


@dataclass
class Outcome:
    """Hold how a simulated request ends; a scenario changes it."""

    ending: str = 'completed'
    slowness: float = 1


def flip(random, part):
    """Return true in a part of the cases."""
    return random.random() < part


class Scenario(ABC):
    """Decide what befalls the requests of one move."""

    good = False
    hard = True
    peaks = False

    def prepare(self, random, fleet):
        """Choose where and when things go wrong."""
        self.fleet = fleet
        self.onset = 0

    def raise_load(self, now):
        """Return the factor on the arrivals at a time."""
        return 1

    @abstractmethod
    def strike(self, attempt, outcome, random):
        """Change the outcome of one request."""

    def affects(self, attempt):
        """Tell whether the version is at fault for such a request."""
        return attempt.side is Side.new and attempt.now >= self.onset


@dataclass
class Failing(Scenario):
    """Fail a part of the new version's requests."""

    part: float
    ending: str = 'fault'
    late: bool = False
    only_route: int | None = None
    hard: bool = True
    under_load: bool = False

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        if self.late:
            self.onset = random.uniform(0.1, 0.7) * fleet.window
        self.peaks = self.under_load
        self.route = None
        if self.only_route is not None:
            self.route = fleet.routes[self.only_route].name

    def affects(self, attempt):
        if self.route is not None and attempt.route != self.route:
            return False
        if self.under_load and attempt.load < _PEAK_LOAD:
            return False
        return super().affects(attempt)

    def strike(self, attempt, outcome, random):
        if self.affects(attempt) and flip(random, self.part):
            outcome.ending = self.ending


@dataclass
class Slow(Scenario):
    """Make the new version slower."""

    factor: float = 2
    late: bool = False
    hard = False

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        if self.late:
            self.onset = random.uniform(0.1, 0.6) * fleet.window

    def strike(self, attempt, outcome, random):
        if self.affects(attempt):
            outcome.slowness *= self.factor


class Healthy(Scenario):
    """Let nothing special happen; the base of the good moves."""

    good = True
    peaks = True

    def affects(self, attempt):
        return False

    def strike(self, attempt, outcome, random):
        """Change nothing."""

    def _choose_span(self, random, shortest, longest):
        begin = random.uniform(0.05, 0.75) * self.fleet.window
        self.span = (begin, begin + random.uniform(shortest, longest))

    def _is_struck(self, attempt):
        return self.span[0] <= attempt.now < self.span[1]


class ReclaimWave(Healthy):
    """Take one zone's hosts of the new version, some without notice."""

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        self.zone = random.choice(_ZONES[: min(3, fleet.new_servers)])
        self._choose_span(random, 5, 20)
        self.both = flip(random, 0.5)

    def strike(self, attempt, outcome, random):
        if attempt.zone != self.zone or not self._is_struck(attempt):
            return
        if attempt.side is Side.new or self.both:
            outcome.ending = random.choice(('ignored', 'loss'))


class ZoneCut(Healthy):
    """Cut one zone off from most of the hosts."""

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        self.zone = random.choice(_ZONES)
        self._choose_span(random, 30, 240)

    def strike(self, attempt, outcome, random):
        struck = attempt.zone == self.zone and self._is_struck(attempt)
        if struck and flip(random, 0.67):
            outcome.ending = random.choice(('ignored', 'loss'))


class Overload(Healthy):
    """Bring three times the requests, with refusals and timeouts."""

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        self._choose_span(random, 60, 240)

    def raise_load(self, now):
        return 3 if self.span[0] <= now < self.span[1] else 1

    def strike(self, attempt, outcome, random):
        if self._is_struck(attempt):
            if flip(random, 0.2):
                outcome.ending = 'ignored'
            elif flip(random, 0.12):
                outcome.ending = 'loss'


class BadHost(Healthy):
    """Let one server of the new version fail and be slow."""

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        self.server = random.randrange(fleet.new_servers)
        self._choose_span(random, 200, 1500)

    def strike(self, attempt, outcome, random):
        mine = attempt.side is Side.new and attempt.server == self.server
        if mine and self._is_struck(attempt):
            outcome.slowness *= 3
            if flip(random, 0.6):
                outcome.ending = random.choice(('fault', 'loss'))


class CrashingRequest(Healthy):
    """Let one content crash whatever runs it, sent again and again."""

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        self._choose_span(random, 60, 600)

    def strike(self, attempt, outcome, random):
        if attempt.bucket == 0 and self._is_struck(attempt):
            outcome.ending = 'loss'


class OneContent(CrashingRequest):
    """Let one content crash the new version alone."""

    def strike(self, attempt, outcome, random):
        if attempt.side is Side.new:
            super().strike(attempt, outcome, random)


class SharedFault(Healthy):
    """Let both versions fail for a while, as with a broken dependency."""

    def prepare(self, random, fleet):
        super().prepare(random, fleet)
        self._choose_span(random, 20, 200)
        self.part = random.uniform(0.1, 0.6)

    def strike(self, attempt, outcome, random):
        if self._is_struck(attempt) and flip(random, self.part):
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
        'good, zone cut': ZoneCut,
        'good, overload': Overload,
        'good, bad host': BadHost,
        'good, bad request': CrashingRequest,
        'good, one content': OneContent,
        'good, shared fault': SharedFault,
    }
)


@dataclass
class Played:
    """Hold what one played move showed."""

    phase: Phase
    on_time: bool
    bad_requests: int
    limit: float
    after_decision: int
    decided_after: float | None


@dataclass
class _Tick:
    cells: list = field(default_factory=list)
    begun_old: int = 0
    begun_new: int = 0
    ended_new: int = 0


class MovePlay:
    """Play one move from some time before its begin to its end."""

    def __init__(self, fleet, scenario, seed, make_course=MoveCourse):
        self._random = Random(seed)
        self._fleet = fleet
        self._scenario = scenario
        scenario.prepare(self._random, fleet)
        move = Move('assistant', 'v1', 'v2', 0, fleet.window)
        plan = Plan('move', move, fleet.old_servers, fleet.new_servers)
        self._course = make_course(plan)
        self._ticks = defaultdict(_Tick)
        self._releases = defaultdict(list)
        self._running = defaultdict(int)
        self._shares = [0 for _ in range(_SHARE_LAG + 1)]
        self._next = {
            route.name: -BEFORE_SECONDS + self._random.expovariate(route.rate)
            for route in fleet.routes
        }
        self._peak = -BEFORE_SECONDS
        self._peak_end = self._peak
        self._bad = 0
        self._affected = 0
        self._after = 0

    def play(self):
        """Return what the move showed."""
        decided = None
        for now in range(-BEFORE_SECONDS, self._fleet.window + 1):
            self._arrive(now)
            if decided is None:
                self._advance(now)
                decided = self._find_decision(now)
            elif now > decided + 5:
                break
            self._shares = [*self._shares[1:], self._course.share]
        return self._sum_up(decided)

    def _find_decision(self, now):
        return None if self._course.conclusion is None else now

    def _sum_up(self, decided):
        conclusion = self._course.conclusion
        phase = conclusion.phase if conclusion else Phase.under_way
        rate = sum(
            route.rate
            for route in self._fleet.routes
            if getattr(self._scenario, 'route', None) in {None, route.name}
        )
        limit = max(20, rate * self._fleet.window / 100)
        return Played(
            phase,
            phase is Phase.done,
            self._bad,
            limit,
            self._after,
            None if decided is None else decided - self._scenario.onset,
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

    def _arrive(self, now):
        for side, server in self._releases.pop(now, ()):
            self._running[side, server] -= 1
        load = self._find_load(now)
        for route in self._fleet.routes:
            while self._next[route.name] < now + 1:
                self._begin(now, route, load)
                gap = self._random.expovariate(route.rate * load)
                self._next[route.name] += gap

    def _find_load(self, now):
        if self._scenario.peaks and now >= self._peak_end:
            self._peak = now + self._random.uniform(60, 300)
            self._peak_end = self._peak + self._random.uniform(60, 180)
        load = self._scenario.raise_load(now)
        if self._scenario.peaks and self._peak <= now < self._peak_end:
            load *= _PEAK_LOAD
        return load

    def _begin(self, now, route, load):
        random = self._random
        # One host in eight decides; the others hear of it a second later.
        share = self._shares[-1 if flip(random, 0.125) else 0]
        side = Side.new if flip(random, share) else Side.old
        fleet = self._fleet
        servers = fleet.new_servers if side else fleet.old_servers
        server = random.randrange(servers)
        bucket = random.randrange(16)
        zone = _ZONES[server % 3]
        attempt = Attempt(now, route.name, side, zone, server, load, bucket)
        outcome = Outcome()
        chance = random.random()
        if chance < _BASE_LOSSES:
            outcome.ending = 'loss'
        elif chance < _BASE_LOSSES + _BASE_FAULTS:
            outcome.ending = 'fault'
        self._scenario.strike(attempt, outcome, random)
        self._count(attempt)
        self._run(attempt, outcome, route)

    def _count(self, attempt):
        tick = self._ticks[attempt.now + self._random.choice(_EVIDENCE_LAG)]
        if attempt.side is Side.old:
            tick.begun_old += 1
            return
        tick.begun_new += 1
        conclusion = self._course.conclusion
        if conclusion and conclusion.phase is Phase.withdrawn:
            self._after += 1
        elif self._scenario.affects(attempt):
            self._bad += 1

    def _run(self, attempt, outcome, route):
        random = self._random
        place = (attempt.side, attempt.server)
        slowness = outcome.slowness * (1 + _SLOWDOWN * self._running[place])
        first = route.first_token * random.lognormvariate(0, 0.4) * slowness
        pace = route.pace * random.lognormvariate(0, 0.2) * slowness
        tokens = max(2, int(route.tokens * random.lognormvariate(0, 0.6)))
        whole = first + pace * tokens
        spent = whole if outcome.ending == 'completed' else first
        ended = attempt.now + int(spent) + 1
        self._running[place] += 1
        self._releases[ended].append(place)
        tick = self._ticks[ended + random.choice(_EVIDENCE_LAG)]
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
