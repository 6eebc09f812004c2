"""Measure how costs grow with size, for the documentation's capacity page.

Each result lists the cost at several sizes and the slope between the smallest
and the largest. ``benchmarks.mesh`` measures the traffic of the mesh.

    PYTHONPATH=src:. python -m benchmarks.capacity
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
from monsoonwall.mesh.rounds import RoundPlanner
from monsoonwall.mesh.server import MeshServer
from monsoonwall.mesh.wire.gossip_pb2 import LogRecord
from monsoonwall.mesh.wire.gossip_pb2_grpc import MeshStub
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.messages import Call, Priority
from tests.standins.deployment import Deployment
from tests.standins.ports import find_free_port

LEASE_SIMULATION_SECONDS = 1200


@dataclass(frozen=True)
class Measurement:
    """Hold the cost measured at one size."""

    size: int
    cost: float


def print_slope(name: str, unit: str, points: list[Measurement]) -> None:
    """Print the cost at each size and the slope."""
    first, last = points[0], points[-1]
    slope = (last.cost - first.cost) / (last.size - first.size)
    costs = ', '.join(f'{point.size}: {point.cost:,.1f}' for point in points)
    print(f'{name}\n    {costs} {unit}; slope {slope:,.4f} {unit} each')


class MemoryMeter:
    """Measure growth in resident memory, which includes native libraries.

    Every built object is retained. Otherwise, a later one could reuse freed
    memory, and its size would be underestimated.
    """

    def __init__(self) -> None:
        self._process = Process()
        self._retained: list[object] = []

    def measure(self, build: Callable[[int], object], size: int) -> Measurement:
        """Return the kilobytes that ``build(size)`` allocates."""
        before = self._process.memory_info().rss
        self._retained.append(build(size))
        after = self._process.memory_info().rss
        return Measurement(size, (after - before) / 1000)


def make_host() -> FleetHost:
    """Return a host without peers."""
    return FleetHost('host', 'zone', 1, 0, ())


def build_logs(size: int) -> FleetHost:
    """Return a host with ``size`` logs of other hosts, 20 entries each."""
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
    """Return a host that holds ``size`` facts."""
    host = make_host()
    for number in range(size):
        host.merge_fact(Fact('crash', f'{number:064}', bytes(64), 9e9), 0)
    return host


def build_answers(size: int) -> list[Answer]:
    """Return ``size`` running requests, each halfway through its answer."""
    return [build_answer(number) for number in range(size)]


def build_answer(number: int) -> Answer:
    """Return a request with a 4 kB prompt and 200 tokens of its answer."""
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


class LeaseCallCounter:
    """Count the store calls of hosts that compete for one lease."""

    def __init__(self, hosts: int) -> None:
        timing = LeaseTiming()
        self._states = [
            LeaseState(f'{number}', timing) for number in range(hosts)
        ]
        self._version = 0
        self._record: LeaseRecord | None = None
        self._tokens = count()
        self.calls = 0

    def step(self, now: float) -> None:
        """Run each host's next read or write, if it has one."""
        for state in self._states:
            action = state.decide(now, 0, str(next(self._tokens)))
            if isinstance(action, Read):
                self.calls += 1
                state.record_read(self._version, self._record, now)
            elif isinstance(action, Write):
                self.calls += 1
                self._write(state, action, now)

    def _write(self, state: LeaseState, write: Write, now: float) -> None:
        state.record_sent_write(write, now)
        if write.version == self._version:
            self._version += 1
            self._record = write.record
            state.record_successful_write(self._version, now)
        else:
            state.record_uncertain_write(now)


def count_lease_calls(hosts: int) -> Measurement:
    """Return the platform calls per second for one shard's lease."""
    counter = LeaseCallCounter(hosts)
    for tick in range(LEASE_SIMULATION_SECONDS * 2):
        counter.step(tick / 2)
    return Measurement(hosts, counter.calls / LEASE_SIMULATION_SECONDS)


def make_configuration(servers: int) -> Configuration:
    """Return a configuration with ``servers`` engines in one zone."""
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


def measure_order_planning(servers: int) -> Measurement:
    """Return the processor milliseconds to plan one zone's orders."""
    configuration = make_configuration(servers)
    report = LoadReport(0, 0, 1, 0, ('v0',), False, 0)
    reports = dict.fromkeys(configuration.backend_servers, report)
    started = time.process_time()
    for _ in range(10):
        for shard in list_shards(configuration, 'zone'):
            plan_orders(configuration, shard, reports, 1)
    # Converts the seconds of ten plans to the milliseconds of one.
    return Measurement(servers, (time.process_time() - started) * 100)


async def measure_exchange(logs: int) -> Measurement:
    """Return the processor milliseconds of a gRPC exchange, both sides."""
    host = build_logs(logs)
    address = f'127.0.0.1:{find_free_port()}'
    planner = RoundPlanner(host.store, (), 0)
    channels = Channels()
    task = GossipTask(
        Exchanger(host.store), planner, channels, SystemClock(), host.record
    )
    server = MeshServer(address, (task.register,))
    await server.start()
    stub = MeshStub(channels.find(address))
    request = host.exchanger.make_request(())
    await stub.Exchange(request)
    started = time.process_time()
    for _ in range(300):
        await stub.Exchange(host.exchanger.make_request(()))
    spent = time.process_time() - started
    await channels.close()
    await server.stop()
    return Measurement(logs, spent / 300 * 1000)


async def measure_polls(polls: int) -> Measurement:
    """Return this process's processor milliseconds for the load polls."""
    clock = SystemClock()
    client = AsyncHTTPClient(force_instance=True)
    with Deployment() as deployment:
        deployment.start_engine('engine')
        address = f'127.0.0.1:{deployment.ports["engine"]}'
        engine = HttpEngine(address, client, clock)
        await engine.read_load()
        started = time.process_time()
        for _ in range(polls):
            await engine.read_load()
        spent = time.process_time() - started
    client.close()
    return Measurement(polls, spent * 1000)


def run() -> None:
    """Run all measurements and print their results."""
    meter = MemoryMeter()
    for name, build, sizes in (
        (
            'memory by number of logs with 20 entries',
            build_logs,
            (62, 124, 496),
        ),
        ('memory by number of facts', build_facts, (500, 2000, 8000)),
        (
            'memory by number of running requests',
            build_answers,
            (100, 400, 1600),
        ),
    ):
        points = [meter.measure(build, size) for size in sizes]
        print_slope(name, 'kB', points)
    print_slope(
        'one exchange, both sides, by number of logs',
        'ms',
        [asyncio.run(measure_exchange(size)) for size in (9, 40, 124)],
    )
    print_slope(
        'polling the load of a model engine, by number of polls',
        'ms',
        [asyncio.run(measure_polls(polls)) for polls in (100, 300, 900)],
    )
    print_slope(
        'platform calls for one lease, by number of candidates',
        'calls/s',
        [count_lease_calls(hosts) for hosts in (1, 2, 3)],
    )
    print_slope(
        'planning the orders of a zone, by number of engines',
        'ms',
        [measure_order_planning(servers) for servers in (50, 200, 800)],
    )


if __name__ == '__main__':
    run()
