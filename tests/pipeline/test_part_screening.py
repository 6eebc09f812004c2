"""Check that parts of prompts that crash servers are found, and only these.

Simulates hosts that share their records with delays, and servers that crash
under some parts. All requests share their first part.
"""

import heapq
import unittest
from asyncio import Queue
from dataclasses import dataclass, field, replace
from random import Random

from monsoonwall.clocks import ManualClock
from monsoonwall.mesh.board import Board
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Effect,
    Priority,
    ServerChoice,
)
from monsoonwall.pipeline.screening import SuspectScreening

CONTACT_SECONDS = 3.0
# After this many crashes under one part it must be known.
KNOWN_CRASHES = 5
ALLOWED_LATE_REQUESTS = 3
RESTART_SECONDS = 3.0
DAY_SECONDS = 40.0
POISON_START = 6.0
POISON_SECONDS = 24.0


class DelayedBoard(Board):
    """Deliver facts to the other hosts after a random delay, or never."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._queues = {}
        self._facts = {}

    def publish_fact(self, fact):
        key = fact.kind, fact.key
        known = self._facts.get(key)
        order = fact.payload, fact.expires_wall
        if known is None or order > (known.payload, known.expires_wall):
            self._facts[key] = fact
            self._simulation.spread(self, fact)

    async def replicate_fact(self, fact, deadline):
        """Fail, since screening does not replicate facts."""
        raise NotImplementedError

    def deliver(self, fact):
        for queue in self._queues.get(fact.kind, ()):
            queue.put_nowait(fact)

    def subscribe(self, kind):
        queue = Queue()
        self._queues.setdefault(kind, []).append(queue)
        return queue

    def read_facts(self, _kind):
        return ()

    def read_entries(self, _kind):
        return ()

    def publish_entry(self, kind, key, payload):
        """Do nothing, since screening publishes facts only."""


@dataclass
class Host:
    """Hold one entry host."""

    board: DelayedBoard
    screening: SuspectScreening


@dataclass
class Server:
    """Hold a server, its incarnation and the attempts that it runs."""

    name: str
    incarnation: int = 0
    up_at: float = 0
    running: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Load:
    """Describe the requests and faults of a simulated day.

    ``poison`` maps bad parts to the requests a second that hold them.
    ``lost`` is the fraction of crash inspections without a result, and
    ``first`` is whether bad parts stand first in their prompts.
    """

    hosts: int
    servers: int
    rate: float
    poison: dict
    things: int = 120
    lost: float = 0
    delay: float = 0.6
    first: bool = False
    outages: tuple = ()


@dataclass
class Outcome:
    """Hold the arrivals of bad parts and the verdicts on sound requests."""

    crashes: dict
    late: dict
    sound: int = 0
    refused: int = 0
    ended: int = 0


class Simulation:
    """Play one day in virtual time."""

    def __init__(self, load, seed):
        self.load = load
        self.random = Random(seed)
        self.clock = ManualClock(0)
        self.events = []
        self.count = 0
        self.hosts = []
        for _ in range(load.hosts):
            board = DelayedBoard(self)
            self.hosts.append(Host(board, SuspectScreening(board, self.clock)))
        self.servers = [Server(f's{number}') for number in range(load.servers)]
        self.outcome = Outcome(
            {part: [] for part in load.poison}, dict.fromkeys(load.poison, 0)
        )

    def schedule(self, delay, action, *details):
        self.count += 1
        moment = self.clock.read_monotonic() + delay
        heapq.heappush(self.events, (moment, self.count, action, details))

    def spread(self, source, fact):
        for host in self.hosts:
            if host.board is not source:
                delay = self.random.uniform(0.02, self.load.delay)
                self.schedule(delay, host.board.deliver, fact)

    def run(self):
        self.schedule(0, self.arrive_sound)
        for part, rate in self.load.poison.items():
            self.schedule(POISON_START, self.arrive_poison, part, rate)
        for outage_at in self.load.outages:
            self.schedule(outage_at, self.end_half_of_the_servers)
        while self.events and self.events[0][0] < DAY_SECONDS:
            due_at, _, action, details = heapq.heappop(self.events)
            self.clock.advance(due_at - self.clock.read_monotonic())
            action(*details)
        return self.outcome

    def arrive_sound(self):
        self.schedule(
            self.random.expovariate(self.load.rate), self.arrive_sound
        )
        thing = int(self.load.things * self.random.random() ** 1.5)
        refused = self.send(('system', f'thing-{thing}'))
        now = self.clock.read_monotonic()
        if now > POISON_START + 3 * CONTACT_SECONDS:
            self.outcome.sound += 1
            self.outcome.refused += refused

    def arrive_poison(self, part, rate):
        now = self.clock.read_monotonic()
        if now > POISON_START + POISON_SECONDS:
            return
        self.schedule(
            self.random.expovariate(rate), self.arrive_poison, part, rate
        )
        thing = f'thing-{self.random.randrange(self.load.things)}'
        shared = ('system', thing)
        parts = (part, *shared) if self.load.first else (*shared, part)
        if self.send(parts, part):
            return
        crashes = self.outcome.crashes[part]
        if len(crashes) >= KNOWN_CRASHES:
            known_at = crashes[KNOWN_CRASHES - 1] + CONTACT_SECONDS
            self.outcome.late[part] += now > known_at

    def send(self, parts, poison=None):
        """Send a request; return whether it was refused."""
        self.count += 1
        call = Call(
            request_id=str(self.count),
            workspace='w',
            route='r',
            service='engine',
            priority=Priority.interactive,
            idempotent=False,
            idempotency_key=None,
            deadline=0,
            content_key=f'content-{self.count}',
            part_keys=tuple(f'engine/m/{part}' for part in parts),
        )
        host = self.random.choice(self.hosts)
        if host.screening.parts.screen(call, Effect.not_run):
            return True
        now = self.clock.read_monotonic()
        up = [server for server in self.servers if server.up_at <= now]
        if not up:
            return False
        server = self.random.choice(up)
        server.running[call.request_id] = host, call, now
        if poison is None:
            seconds = self.random.uniform(0.3, 4)
            self.schedule(seconds, self.complete, server, call.request_id)
        else:
            prefill_seconds = self.random.uniform(0.1, 0.4)
            self.schedule(
                prefill_seconds, self.poison, server, call.request_id, poison
            )
        return False

    def complete(self, server, request_id):
        attempt = server.running.pop(request_id, None)
        if attempt is not None:
            host, call, began = attempt
            host.screening.observe(
                self.make_record(server, call, began, AttemptEnding.completed)
            )

    def poison(self, server, request_id, part):
        if request_id in server.running:
            self.outcome.crashes[part].append(self.clock.read_monotonic())
            self.crash(server)

    def crash(self, server):
        self.outcome.ended += 1
        for host, call, began in server.running.values():
            record = self.make_record(
                server, call, began, AttemptEnding.crashed
            )
            self.schedule(
                self.random.uniform(0.01, 0.3), self.inspect, host, record
            )
        server.running = {}
        server.incarnation += 1
        server.up_at = self.clock.read_monotonic() + RESTART_SECONDS

    def inspect(self, host, record):
        crash_check = host.screening.start_check(record)
        if crash_check and self.random.random() >= self.load.lost:
            host.screening.finish_check(crash_check, crashed=True)

    def end_half_of_the_servers(self):
        for server in self.servers[::2]:
            self.crash(server)

    def make_record(self, server, call, began, ending):
        now = self.clock.read_monotonic()
        choice = ServerChoice(
            f'{server.name}@{server.incarnation}', 'z', 'v', False
        )
        return AttemptRecord(call, 1, choice, began, None, now, 0, 0, 0, ending)


SMALL = Load(hosts=7, servers=6, rate=20, poison={'bad': 0.4})
WIDE = Load(hosts=74, servers=70, rate=60, poison={'bad': 3.0}, things=800)


class PartScreeningTest(unittest.TestCase):
    """Play days with parts that crash each server."""

    def check(self, load, refused=0.02):
        for seed in range(3):
            outcome = Simulation(load, seed).run()
            with self.subTest(load=load, seed=seed):
                for part, late in outcome.late.items():
                    self.assertLessEqual(late, ALLOWED_LATE_REQUESTS, part)
                self.assertLessEqual(outcome.refused, refused * outcome.sound)

    def test_part_that_crashes_servers_is_refused(self):
        self.check(SMALL)
        self.check(WIDE)

    def test_part_in_many_requests_is_refused(self):
        self.check(replace(SMALL, poison={'bad': 4.0}))
        self.check(replace(WIDE, poison={'bad': 14.0}))

    def test_rare_part_is_refused(self):
        self.check(replace(SMALL, poison={'bad': 0.25}))

    def test_part_that_stands_first_is_refused(self):
        self.check(replace(SMALL, poison={'bad': 2.0}, first=True))

    def test_two_parts_that_crash_servers_are_refused(self):
        self.check(replace(SMALL, poison={'bad': 1.0, 'worse': 2.0}))
        self.check(replace(WIDE, poison={'bad': 1.0, 'worse': 8.0}))

    def test_part_is_refused_although_inspections_are_lost(self):
        self.check(replace(SMALL, poison={'bad': 2.0}, lost=0.3))

    def test_part_is_refused_although_records_are_late(self):
        self.check(replace(SMALL, poison={'bad': 2.0}, delay=1.5))

    def test_outages_convict_nothing(self):
        for load in (SMALL, WIDE):
            load = replace(load, poison={}, outages=(8, 10, 12.5, 15, 17))
            self.check(load, refused=0)

    def test_part_is_refused_beside_outages(self):
        load = replace(SMALL, poison={'bad': 2.0}, outages=(8, 15))
        self.check(load)


if __name__ == '__main__':
    unittest.main()
