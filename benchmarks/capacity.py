"""Measure the slopes that the capacity page is worked out from.

Each table gives a cost at several sizes and the slope between the smallest
and the largest. The mesh's own traffic is in `benchmarks.mesh`.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from psutil import Process
from tornado.httpclient import AsyncHTTPClient

from benchmarks.fleet import FleetHost
from monsoonwall.backends.engine import LoadReport
from monsoonwall.backends.http_engine import HttpEngine
from monsoonwall.clocks import SystemClock
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    Service,
    ServiceKind,
    Version,
)
from monsoonwall.decisions.leases import (
    LeaseRecord,
    LeaseState,
    LeaseTiming,
    Read,
    Write,
)
from monsoonwall.decisions.orders import list_shards, plan_orders
from monsoonwall.mesh.board import Fact
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.gossip import GossipTask
from monsoonwall.mesh.logs import OriginLog
from monsoonwall.mesh.rounds import Planner
from monsoonwall.mesh.server import MeshServer
from monsoonwall.mesh.wire.gossip_pb2 import LogRecord
from monsoonwall.mesh.wire.gossip_pb2_grpc import MeshStub
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.messages import Call, Priority
from tests.standins.deployment import Deployment, find_free_port

LEASE_SECONDS_MEASURED = 1200


@dataclass(frozen=True)
class Point:
    """Hold one measured size and its cost."""

    size: int
    cost: float


def print_slope(name: str, unit: str, points: list[Point]) -> None:
    """Print the costs and the slope over the sizes."""
    first, last = points[0], points[-1]
    slope = (last.cost - first.cost) / (last.size - first.size)
    costs = ', '.join(f'{one.size}: {one.cost:,.1f}' for one in points)
    print(f'{name}\n    {costs} {unit}; slope {slope:,.4f} {unit} each')


class MemoryMeter:
    """Measure resident memory, which counts what libraries hold too.

    Everything built stays held, so that nothing new takes a freed place.
    """

    def __init__(self) -> None:
        self._process = Process()
        self._held: list[object] = []

    def measure(self, build: Callable[[int], object], size: int) -> Point:
        """Return the kilobytes that a structure of a size takes."""
        before = self._process.memory_info().rss
        self._held.append(build(size))
        after = self._process.memory_info().rss
        return Point(size, (after - before) / 1000)


def make_host() -> FleetHost:
    """Return a host of a fleet of its own."""
    return FleetHost('host', 'zone', 1, 0, ())


def build_logs(size: int) -> FleetHost:
    """Take in the logs of so many hosts, 20 entries each."""
    host = make_host()
    for number in range(size):
        log = OriginLog(f'zone-{number % 23}-host-{number}', 'zone', 1)
        log.heartbeat = 1
        for key in range(20):
            log.append(
                LogRecord(
                    kind='evidence',
                    key=f'service-{key}/v2',
                    payload=bytes(64),
                    sequence=key + 1,
                )
            )
        host.store.apply_deltas([log.make_delta(0, 1_000_000)], 0)
    return host


def build_facts(size: int) -> FleetHost:
    """Take in so many facts."""
    host = make_host()
    for number in range(size):
        host.merge_fact(Fact('crash', f'{number:064}', bytes(64), 9e9), 0)
    return host


def build_answers(size: int) -> list[Answer]:
    """Hold so many running requests, halfway through their answers."""
    return [build_answer(number) for number in range(size)]


def build_answer(number: int) -> Answer:
    """Return one request of 4 kB with 200 tokens of its answer."""
    answer = Answer(
        Call(
            request_id=f'request-{number}',
            workspace='depot',
            route='hotline',
            service='assistant',
            priority=Priority.interactive,
            idempotent=True,
            idempotency_key=None,
            deadline=60,
            content_key=f'{number:032}',
            prompt=f'{number:04096}',
            max_tokens=400,
        )
    )
    for position in range(200):
        answer.tokens.append(f'{number}-{position} ')
    return answer


class LeaseCalls:
    """Let some candidates want one lease, and count their calls."""

    def __init__(self, hosts: int) -> None:
        timing = LeaseTiming()
        self._states = [LeaseState(f'{one}', timing) for one in range(hosts)]
        self._version = 0
        self._record: LeaseRecord | None = None
        self._tokens = count()
        self.calls = 0

    def step(self, now: float) -> None:
        """Let every candidate do what it wants now."""
        for state in self._states:
            wanted = state.decide(now, 0, str(next(self._tokens)))
            if isinstance(wanted, Read):
                self.calls += 1
                state.note_read(self._version, self._record, now)
            elif isinstance(wanted, Write):
                self.calls += 1
                self._write(state, wanted, now)

    def _write(self, state: LeaseState, write: Write, now: float) -> None:
        state.note_sent(write, now)
        if write.version == self._version:
            self._version += 1
            self._record = write.record
            state.note_written(self._version, now)
        else:
            state.note_uncertain(now)


def count_lease_calls(hosts: int) -> Point:
    """Return the platform calls a second for one shard's lease."""
    counted = LeaseCalls(hosts)
    for tick in range(LEASE_SECONDS_MEASURED * 2):
        counted.step(tick / 2)
    return Point(hosts, counted.calls / LEASE_SECONDS_MEASURED)


def make_configuration(servers: int) -> Configuration:
    """Return one zone with so many engines."""
    return Configuration(
        1,
        {'assistant': Service(ServiceKind.model, {'v1': Version()}, 'v1')},
        {},
        {},
        {
            f'engine-{number}': BackendServer('assistant', 'v1', 'zone', '')
            for number in range(servers)
        },
    )


def measure_orders(servers: int) -> Point:
    """Return the milliseconds that planning one zone's orders takes."""
    configuration = make_configuration(servers)
    report = LoadReport(0, 0, 1, 0, ('v0',), False, 0)
    reports = dict.fromkeys(configuration.backend_servers, report)
    begun = time.process_time()
    for _ in range(10):
        for shard in list_shards(configuration, 'zone'):
            plan_orders(configuration, shard, reports, 1)
    return Point(servers, (time.process_time() - begun) * 100)


async def measure_exchange(logs: int) -> Point:
    """Return the milliseconds of one exchange over gRPC, both sides."""
    host = build_logs(logs)
    address = f'127.0.0.1:{find_free_port()}'
    planner = Planner(host.store, (), 0)
    channels = Channels()
    task = GossipTask(
        Exchanger(host.store), planner, channels, SystemClock(), host.record
    )
    server = MeshServer(address, (task.register,))
    await server.start()
    stub = MeshStub(channels.find(address))
    request = host.exchanger.make_request(())
    await stub.Exchange(request)
    begun = time.process_time()
    for _ in range(300):
        await stub.Exchange(host.exchanger.make_request(()))
    spent = time.process_time() - begun
    await channels.close()
    await server.stop()
    return Point(logs, spent / 300 * 1000)


async def measure_polls(polls: int) -> Point:
    """Return this process's milliseconds for so many load polls."""
    clock = SystemClock()
    client = AsyncHTTPClient(force_instance=True)
    with Deployment() as deployment:
        deployment.start_engine('engine')
        address = f'127.0.0.1:{deployment.ports["engine"]}'
        engine = HttpEngine(address, client, clock)
        await engine.read_load()
        begun = time.process_time()
        for _ in range(polls):
            await engine.read_load()
        spent = time.process_time() - begun
    client.close()
    return Point(polls, spent * 1000)


def run() -> None:
    """Print the slopes."""
    meter = MemoryMeter()
    for name, build, sizes in (
        ('memory by logs of 20 entries', build_logs, (62, 124, 496)),
        ('memory by facts', build_facts, (500, 2000, 8000)),
        ('memory by running requests', build_answers, (100, 400, 1600)),
    ):
        points = [meter.measure(build, size) for size in sizes]
        print_slope(name, 'kB', points)
    print_slope(
        'one exchange, both sides, by logs',
        'ms',
        [asyncio.run(measure_exchange(size)) for size in (9, 40, 124)],
    )
    print_slope(
        'load polls of model engines',
        'ms',
        [asyncio.run(measure_polls(polls)) for polls in (100, 300, 900)],
    )
    print_slope(
        'platform calls of one lease by candidates',
        'calls/s',
        [count_lease_calls(hosts) for hosts in (1, 2, 3)],
    )
    print_slope(
        'planning the orders of a zone by engines',
        'ms',
        [measure_orders(servers) for servers in (50, 200, 800)],
    )


if __name__ == '__main__':
    run()
