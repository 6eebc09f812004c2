"""Simulate engines and entry hosts as queues in virtual time.

Policies decide against this simulation instead of a cluster. An engine has a
priority queue, a number of slots and a prefix cache, and computes prompts one
chunk at a time. Hosts receive the engines' reports and their peers' messages
with a delay. All times are virtual seconds.
"""

import heapq
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from monsoonwall.decisions.cache import (
    BLOCK_WORDS,
    ChangeBatch,
    PrefixChange,
    is_sampled,
)
from monsoonwall.decisions.load import ServerReport
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Priority,
    ServerChoice,
)

POLL_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.5
PEER_LAG_SECONDS = 0.2
EVENT_LOSS_RATE = 0.03
TOKEN_SECONDS = 0.02
TOKEN_SECONDS_PER_REQUEST = 0.0008
PREFILL_CHUNK_WORDS = 1024


@dataclass(frozen=True)
class EngineSpec:
    """Describe one engine.

    ``capacity`` is in requests, ``prefill_rate`` in words per second, and
    ``cache_blocks`` in prefix keys.
    """

    name: str
    zone: str
    price_per_hour: float
    capacity: int = 16
    prefill_rate: float = 6000
    cache_blocks: int = 3000


@dataclass
class Job:
    """Hold one call and its progress through the queues.

    ``keys`` and ``words`` are the prefix keys and the length of its prompt,
    and ``cached`` is the number of words that the engine had cached.
    """

    call: Call
    keys: tuple
    words: int
    arrived: float
    host: int
    server: str = ''
    cached: int = 0
    first_token: float = 0
    ended: float = 0


class Timeline:
    """Run callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now: float = 0
        self._events: list = []
        self._numbers = count()

    def add(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            due, _, action = heapq.heappop(self._events)
            self.now = due
            action()


class SimulatedEngine:
    """Queue calls, compute their prompts in chunks, decode in parallel."""

    def __init__(
        self,
        spec: EngineSpec,
        timeline: Timeline,
        finish: Callable[[Job], None],
    ) -> None:
        self.spec = spec
        self.running = 0
        self.busy_seconds: float = 0
        self.uncached_words = 0
        self._timeline = timeline
        self._finish = finish
        self._waiting: list = []
        self._numbers = count()
        self._prefill_queue: list = []
        self._prefilling = False
        self._cache: OrderedDict = OrderedDict()
        self.changes: list[PrefixChange] = []
        self._published_count = 0

    def submit(self, job: Job) -> None:
        queue_entry = (int(job.call.priority), next(self._numbers), job)
        heapq.heappush(self._waiting, queue_entry)
        self._start_next()

    def make_report(self) -> ServerReport:
        in_flight = self.running + len(self._waiting)
        return ServerReport(in_flight, self.spec.capacity, self._timeline.now)

    def drain_changes(self) -> ChangeBatch:
        after = self._published_count
        self._published_count = len(self.changes)
        return ChangeBatch(
            after,
            self._published_count,
            0,
            tuple(
                change
                for change in self.changes[after:]
                if is_sampled(change.prefix_key)
            ),
        )

    def _start_next(self) -> None:
        if not self._waiting or self.running >= self.spec.capacity:
            return
        job = heapq.heappop(self._waiting)[2]
        self.running += 1
        job.cached = self._update_cache(job.keys)
        uncached = job.words - job.cached
        self.uncached_words += uncached
        self.busy_seconds += uncached / self.spec.prefill_rate
        order = (int(job.call.priority), next(self._numbers))
        heapq.heappush(self._prefill_queue, (*order, uncached, job))
        if not self._prefilling:
            self._prefill_chunk()

    def _prefill_chunk(self) -> None:
        self._prefilling = bool(self._prefill_queue)
        if not self._prefilling:
            return
        priority, number, remaining, job = heapq.heappop(self._prefill_queue)
        chunk_words = min(remaining, PREFILL_CHUNK_WORDS)
        chunk_state = (priority, number, remaining - chunk_words, job)
        self._timeline.add(
            self._timeline.now + chunk_words / self.spec.prefill_rate,
            partial(self._end_chunk, chunk_state),
        )

    def _end_chunk(self, chunk_state: tuple) -> None:
        if chunk_state[2] > 0:
            heapq.heappush(self._prefill_queue, chunk_state)
        else:
            self._decode(chunk_state[3])
        self._prefill_chunk()

    def _decode(self, job: Job) -> None:
        job.first_token = self._timeline.now
        token_seconds = TOKEN_SECONDS + TOKEN_SECONDS_PER_REQUEST * self.running
        decoding_seconds = job.call.max_tokens * token_seconds
        self.busy_seconds += decoding_seconds / self.spec.capacity
        job.ended = job.first_token + decoding_seconds
        self._timeline.add(job.ended, partial(self._end, job))

    def _end(self, job: Job) -> None:
        self.running -= 1
        self._finish(job)
        self._start_next()

    def _update_cache(self, keys: tuple) -> int:
        cached = 0
        for key in keys:
            if key not in self._cache:
                break
            cached += BLOCK_WORDS
        # Engines evict the ends of prompts before their beginnings, so the
        # first keys are marked last as recently used.
        for key in reversed(keys):
            if key not in self._cache:
                self._record_change(key, stored=True)
            self._cache[key] = None
            self._cache.move_to_end(key)
        while len(self._cache) > self.spec.cache_blocks:
            oldest, _ = self._cache.popitem(last=False)
            self._record_change(oldest, stored=False)
        return cached

    def _record_change(self, key: str, *, stored: bool) -> None:
        self.changes.append(PrefixChange(stored, key))


class HostPolicy(ABC):
    """Choose servers for one entry host from the messages it receives."""

    @abstractmethod
    def choose(self, job: Job, now: float) -> str | None:
        """Return a server, or None to refuse the call."""

    def record_end(self, record: AttemptRecord) -> None:
        """Record an attempt that ended."""
        self._ignore(record)

    def receive_report(self, server: str, report: ServerReport) -> None:
        """Receive a load report that a server made a while ago."""
        self._ignore(server, report)

    def receive_batch(self, server: str, batch: ChangeBatch) -> None:
        """Receive cache events from a server."""
        self._ignore(server, batch)

    def publish(self, now: float) -> object:
        """Return the message to publish to peers."""
        return self._ignore(now)

    def receive_peer_message(
        self, origin: str, message: object, published: float
    ) -> None:
        """Receive a message that a peer published at the given time."""
        self._ignore(origin, message, published)

    def _ignore(self, *messages: object) -> object:
        return messages


@dataclass
class Outcome:
    """Hold the results of one run."""

    jobs: list = field(default_factory=list)
    refused: int = 0
    uncached_words: int = 0
    prompt_words: int = 0
    cost: float = 0
    busy_seconds: float = 0


class Cluster:
    """Connect engines and hosts, and run calls through them."""

    def __init__(self, specs, policies, seed: int) -> None:
        self.timeline = Timeline()
        self.outcome = Outcome()
        self._policies = policies
        self._unfinished = 0
        self._random = Random(seed)
        self._engines = {
            spec.name: SimulatedEngine(spec, self.timeline, self._finish)
            for spec in specs
        }

    def run(self, jobs, until: float) -> Outcome:
        self._unfinished = len(jobs)
        for job in jobs:
            self.timeline.add(job.arrived, partial(self._arrive, job))
        self._schedule_round(POLL_SECONDS)
        self.timeline.run(until)
        for engine in self._engines.values():
            self.outcome.uncached_words += engine.uncached_words
            price = engine.spec.price_per_hour / 3600
            self.outcome.cost += engine.busy_seconds * price
            self.outcome.busy_seconds += engine.busy_seconds
        return self.outcome

    def _arrive(self, job: Job) -> None:
        policy = self._policies[job.host]
        server = policy.choose(job, self.timeline.now)
        if server is None:
            self.outcome.refused += 1
            self._unfinished -= 1
            return
        job.server = server
        self._engines[server].submit(job)

    def _finish(self, job: Job) -> None:
        self._unfinished -= 1
        self.outcome.jobs.append(job)
        self.outcome.prompt_words += job.words
        spec = self._engines[job.server].spec
        self._policies[job.host].record_end(
            AttemptRecord(
                job.call,
                1,
                ServerChoice(job.server, spec.zone, 'v1'),
                job.arrived,
                job.first_token,
                job.ended,
                job.call.max_tokens,
                job.words,
                job.cached,
                AttemptEnding.completed,
            )
        )

    def _schedule_round(self, due: float) -> None:
        self.timeline.add(due, self._run_round)

    def _run_round(self) -> None:
        now = self.timeline.now
        for name, engine in self._engines.items():
            self._send_report(name, engine, now)
        for origin, policy in enumerate(self._policies):
            message = policy.publish(now)
            self.timeline.add(
                now + PEER_LAG_SECONDS,
                partial(self._deliver_message, origin, message, now),
            )
        if self._unfinished:
            self._schedule_round(now + POLL_SECONDS)

    def _send_report(
        self, name: str, engine: SimulatedEngine, now: float
    ) -> None:
        report = engine.make_report()
        batch = engine.drain_changes()
        lost = self._random.random() < EVENT_LOSS_RATE
        self.timeline.add(
            now + REPORT_LAG_SECONDS,
            partial(
                self._deliver_report, name, report, None if lost else batch
            ),
        )

    def _deliver_report(
        self, name: str, report: ServerReport, batch: ChangeBatch | None
    ) -> None:
        for policy in self._policies:
            policy.receive_report(name, report)
            if batch is not None:
                policy.receive_batch(name, batch)

    def _deliver_message(
        self, origin: int, message: object, published: float
    ) -> None:
        for number, policy in enumerate(self._policies):
            if number != origin:
                policy.receive_peer_message(
                    f'host-{origin}', message, published
                )


def measure_quantile(values, quantile: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def is_short(job: Job) -> bool:
    return job.call.priority is Priority.interactive
