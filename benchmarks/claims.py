"""Measure the store calls and the latency of claims, by scheme and rate.

All hosts claim requests in one store whose calls take 5 ms. The schemes are:
one object per claim; journals that every host writes itself; and journals
with a single writer, to which all hosts send their write requests.

    PYTHONPATH=src:. python -m benchmarks.claims
"""

import asyncio
import random
import statistics
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Success

from monsoonwall.claims.claiming import JournalClaiming
from monsoonwall.claims.status import UNKNOWN_CLAIM, ClaimStatusClient
from monsoonwall.claims.writer import JournalWriters
from monsoonwall.clocks import SystemClock
from monsoonwall.pipeline.messages import Call, Priority, ServiceReply
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

SEED = 7
CALL_SECONDS = 0.005
RUN_SECONDS = 4
RATES = (10, 50, 200, 800)
HOSTS = (9, 200)
MILLISECONDS_PER_SECOND = 1000
PERCENTILE = 95


class CountingStore(ObjectStore):
    """Hold objects in memory; count reads and writes and delay them."""

    def __init__(self):
        self.objects = {}
        self.reads = 0
        self.writes = 0
        self._version = 0

    async def read(self, key, reason):
        self.reads += 1
        await asyncio.sleep(CALL_SECONDS)
        stored = self.objects.get(key)
        return Success(stored) if stored else Failure(StoreFailure.missing)

    async def list_objects(self, prefix, reason):
        raise NotImplementedError

    async def create(self, key, content, reason):
        return await self._write(key, content, 0)

    async def update(self, key, content, version, reason):
        return await self._write(key, content, version)

    async def delete(self, key, version, reason):
        return Success(self.objects.pop(key))

    async def watch(self, key, after, deadline, reason):
        raise NotImplementedError

    async def _write(self, key, content, version):
        self.writes += 1
        await asyncio.sleep(CALL_SECONDS)
        stored = self.objects.get(key)
        current_version = stored.version if stored else 0
        if current_version != version:
            return Failure(StoreFailure.conflict)
        self._version += 1
        self.objects[key] = StoredObject(key, self._version, content)
        return Success(self.objects[key])


class _UnknownClaimStatus(ClaimStatusClient):
    async def query_status(self, token):
        return UNKNOWN_CLAIM


@dataclass(frozen=True)
class SchemeResult:
    """Hold the results of one scheme at one rate."""

    scheme: str
    rate: int
    claims: int
    refused: int
    writes_per_claim: float
    reads_per_claim: float
    writes_per_second: float
    median_ms: float
    p95_ms: float


def make_call(number):
    return Call(
        request_id=f'request-{number}',
        workspace='depot',
        route='stock-reservation',
        service='ledger',
        priority=Priority.interactive,
        idempotent=False,
        idempotency_key=f'key-{number}',
        deadline=float('inf'),
        content_key='content',
    )


async def claim_by_journal(claiming, number):
    call = make_call(number)
    claimed = await claiming.claim(call)
    if not is_successful(claimed):
        return False
    await claiming.conclude(call, ServiceReply(200, 'text/plain', b'done'))
    return True


async def claim_by_object(store, number):
    key = f'claims/{number}'
    created = await store.create(key, b'claimed', CallReason.claim)
    version = created.unwrap().version
    await store.update(key, b'answered', version, CallReason.claim)
    return True


class LoadGenerator:
    """Send claims at a given rate and record the latency of each."""

    def __init__(self, claim):
        self._claim = claim
        self.latencies = []
        self.refused = 0
        self.elapsed_seconds = 0

    async def send(self, rate):
        """Send claims for ``RUN_SECONDS`` and wait until all have ended."""
        random_source = random.Random(SEED)
        started = asyncio.get_running_loop().time()
        tasks = []
        for number in range(rate * RUN_SECONDS):
            tasks.append(asyncio.create_task(self._send_claim(number)))
            await asyncio.sleep(random_source.expovariate(rate))
        await asyncio.gather(*tasks)
        self.elapsed_seconds = asyncio.get_running_loop().time() - started
        # Wait for the answers, which are written after the claims return.
        await asyncio.sleep(1)

    async def _send_claim(self, number):
        started = asyncio.get_running_loop().time()
        if not await self._claim(number):
            self.refused += 1
        self.latencies.append(asyncio.get_running_loop().time() - started)


async def measure(scheme, rate, claim, store):
    generator = LoadGenerator(claim)
    await generator.send(rate)
    count = len(generator.latencies)
    percentiles = statistics.quantiles(generator.latencies, n=100)
    return SchemeResult(
        scheme,
        rate,
        count,
        generator.refused,
        store.writes / count,
        store.reads / count,
        store.writes / generator.elapsed_seconds,
        statistics.median(generator.latencies) * MILLISECONDS_PER_SECOND,
        percentiles[PERCENTILE - 1] * MILLISECONDS_PER_SECOND,
    )


async def measure_journals(scheme, rate, hosts, shared):
    """Measure journals with a writer on each host, or one shared writer."""
    store = CountingStore()
    clock = SystemClock()
    writers = [JournalWriters(store, clock) for _ in range(hosts)]
    claimings = [
        JournalClaiming(
            f'host-{index}',
            (writers[0] if shared else writers[index]).find_writer,
            _UnknownClaimStatus(),
            clock,
        )
        for index in range(hosts)
    ]
    row = await measure(
        scheme,
        rate,
        lambda number: claim_by_journal(claimings[number % hosts], number),
        store,
    )
    for writer in writers:
        writer.close()
    return row


async def measure_objects(rate):
    """Measure one object per claim."""
    store = CountingStore()
    return await measure(
        'one object per claim',
        rate,
        lambda number: claim_by_object(store, number),
        store,
    )


def print_row(row):
    print(
        f'{row.scheme:28} {row.rate:5} {row.claims:6} {row.refused:7} '
        f'{row.writes_per_claim:9.2f} {row.reads_per_claim:8.2f} '
        f'{row.writes_per_second:9.0f} '
        f'{row.median_ms:8.1f} {row.p95_ms:8.1f}'
    )


def run():
    print(
        f'{"scheme":28} {"per s":>5} {"claims":>6} {"refused":>7} '
        f'{"writes/cl":>9} {"reads/cl":>8} {"writes/s":>9} '
        f'{"p50 ms":>8} {"p95 ms":>8}'
    )
    for rate in RATES:
        print_row(asyncio.run(measure_objects(rate)))
        for hosts in HOSTS:
            fleet_size = f'{hosts} hosts'
            print_row(
                asyncio.run(
                    measure_journals(
                        f'each host writes, {fleet_size}', rate, hosts, False
                    )
                )
            )
            print_row(
                asyncio.run(
                    measure_journals(
                        f'one writer, {fleet_size}', rate, hosts, True
                    )
                )
            )


if __name__ == '__main__':
    run()
