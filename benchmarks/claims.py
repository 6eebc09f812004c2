"""Measure what claims cost the platform, by scheme and rate.

Hosts claim through one store whose calls take some milliseconds. Compared
are one object a claim, journals that each host writes, and journals whose
wishes all hosts hand to one writer.

    python -m benchmarks.claims
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
MILLISECONDS = 1000
PERCENTILE = 95


class CountingStore(ObjectStore):
    """Hold objects in memory; count calls, each taking a while."""

    def __init__(self):
        self.objects = {}
        self.reads = 0
        self.writes = 0
        self._version = 0

    async def read(self, key, reason):
        self.reads += 1
        await asyncio.sleep(CALL_SECONDS)
        found = self.objects.get(key)
        return Success(found) if found else Failure(StoreFailure.missing)

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
        found = self.objects.get(key)
        known = found.version if found else 0
        if known != version:
            return Failure(StoreFailure.conflict)
        self._version += 1
        self.objects[key] = StoredObject(key, self._version, content)
        return Success(self.objects[key])


class _NoInquiry(ClaimStatusClient):
    async def query_status(self, token):
        return UNKNOWN_CLAIM


@dataclass(frozen=True)
class Row:
    """Hold the measurement of one scheme at one rate."""

    scheme: str
    rate: int
    claims: int
    refused: int
    writes_a_claim: float
    reads_a_claim: float
    writes_a_second: float
    median_ms: float
    late_ms: float


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


class Load:
    """Send claims at a rate and keep how long each took."""

    def __init__(self, claim):
        self._claim = claim
        self.latencies = []
        self.refused = 0
        self.lasted = 0

    async def send(self, rate):
        """Send claims for some seconds and wait for their verdicts."""
        draw = random.Random(SEED)
        started = asyncio.get_running_loop().time()
        tasks = []
        for number in range(rate * RUN_SECONDS):
            tasks.append(asyncio.create_task(self._send_one(number)))
            await asyncio.sleep(draw.expovariate(rate))
        await asyncio.gather(*tasks)
        self.lasted = asyncio.get_running_loop().time() - started
        # The answers are written after the verdicts.
        await asyncio.sleep(1)

    async def _send_one(self, number):
        started = asyncio.get_running_loop().time()
        if not await self._claim(number):
            self.refused += 1
        self.latencies.append(asyncio.get_running_loop().time() - started)


async def measure(scheme, rate, claim, store):
    load = Load(claim)
    await load.send(rate)
    count = len(load.latencies)
    ranks = statistics.quantiles(load.latencies, n=100)
    return Row(
        scheme,
        rate,
        count,
        load.refused,
        store.writes / count,
        store.reads / count,
        store.writes / load.lasted,
        statistics.median(load.latencies) * MILLISECONDS,
        ranks[PERCENTILE - 1] * MILLISECONDS,
    )


async def measure_journals(scheme, rate, hosts, shared):
    """Measure hosts that write themselves, or that share the writers."""
    store = CountingStore()
    clock = SystemClock()
    writers = [JournalWriters(store, clock) for _ in range(hosts)]
    claimings = [
        JournalClaiming(
            f'host-{at}',
            (writers[0] if shared else writers[at]).find_writer,
            _NoInquiry(),
            clock,
        )
        for at in range(hosts)
    ]
    row = await measure(
        scheme,
        rate,
        lambda number: claim_by_journal(claimings[number % hosts], number),
        store,
    )
    for one in writers:
        one.close()
    return row


async def measure_objects(rate):
    """Measure one object a claim."""
    store = CountingStore()
    return await measure(
        'one object a claim',
        rate,
        lambda number: claim_by_object(store, number),
        store,
    )


def show(row):
    print(
        f'{row.scheme:28} {row.rate:5} {row.claims:6} {row.refused:7} '
        f'{row.writes_a_claim:9.2f} {row.reads_a_claim:8.2f} '
        f'{row.writes_a_second:9.0f} '
        f'{row.median_ms:8.1f} {row.late_ms:8.1f}'
    )


def run():
    print(
        f'{"scheme":28} {"a sec":>5} {"claims":>6} {"refused":>7} '
        f'{"writes/cl":>9} {"reads/cl":>8} {"writes/s":>9} '
        f'{"p50 ms":>8} {"p95 ms":>8}'
    )
    for rate in RATES:
        show(asyncio.run(measure_objects(rate)))
        for hosts in HOSTS:
            named = f'{hosts} hosts'
            show(
                asyncio.run(
                    measure_journals(
                        f'each writes, {named}', rate, hosts, False
                    )
                )
            )
            show(
                asyncio.run(
                    measure_journals(f'one writes, {named}', rate, hosts, True)
                )
            )


if __name__ == '__main__':
    run()
