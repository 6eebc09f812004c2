"""A late copy of a rejection is taken as the answer to the next sending.

The server of a service rejects a part of the requests, as busy ones do: 503
with ``X-Monsoonwall-Not-Executed`` and the request's id. Some answers are
followed by a second copy of themselves, which arrives where the next answer on
that channel is expected. The rules are checked at the server and the clients: a
request that isn't idempotent runs once at most, and not at all if it is
answered 503.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'harness'))

from world import ATTEMPT, LIMITS, Server, make_message, run_case

HOSTS = ('edge-1', 'edge-2')
ZONE = 'hsinchu-a'
REQUESTS_PER_SECOND = 40
# Doses of the site file: srv_grey x = 0.45; garble, extra late, share = 0.6,
# x = 0.03, for 5 s. They come ten times.
REJECTED = 0.45
REPEATED = 0.03
WINDOWS = 10
WINDOW_SECONDS = 5.0
PAUSE_SECONDS = 1.0
NOT_RUN = (408, 421, 429, 503)

CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'stock-reserve',
            'host': 'desk.example',
            'path_prefix': '/reserve/',
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 400,
            'priority': 0,
            'service': 'refill-ledger',
            'max_attempts': 2,
            'auth_exempt': False,
        }
    ],
    'services': [
        {
            'name': 'refill-ledger',
            'health_path': '/health',
            'max_connections': 100,
        }
    ],
    'limits': LIMITS,
    'tenants': [
        {
            'name': 'depot',
            'api_keys': ['key'],
            'priority': 1,
            'unit': 'token_count',
            'plain_tokens': 1,
            'rate_per_s': 100000,
            'burst': 100000,
        }
    ],
}


class GreyServer(Server):
    """A server that rejects some requests and may answer twice."""

    def __init__(self, world, name, repeating):
        super().__init__(
            world, name, 'refill-ledger', ZONE, work_ms=90, slots=6
        )
        self.random = Random()
        self.repeating = repeating
        self.grey = False
        self.held = {}

    async def answer(self, message, reader, writer):
        """Answer one request, after the late copy of an earlier answer."""
        first, headers, _ = message
        attempt = headers[ATTEMPT.lower()]
        late = self.held.pop(writer, None)
        if late is not None:
            writer.write(late)
            self.world.record.write('late copy before', attempt, self.name)
        if headers.get('x-monsoonwall-target-instance') != self.name:
            writer.write(make_message(421))
            return
        if self.grey and self.random.random() < REJECTED:
            self.world.record.write('rejected', attempt, 'at', self.name)
            sent = make_message(
                503,
                b'',
                [(ATTEMPT, attempt), ('X-Monsoonwall-Not-Executed', '1')],
            )
        else:
            self.record_run(attempt, first, headers, b'')
            await asyncio.sleep(self.work_ms / 1000)
            sent = self.make_answer(attempt)
        writer.write(sent)
        repeated = self.grey and self.random.random() < REPEATED
        if self.repeating and repeated:
            self.held[writer] = sent


async def send_requests(world, seconds):
    """Send requests at a steady rate; return their answers."""
    sent = []
    until = world.record.read_time() + seconds
    while world.record.read_time() < until:
        host = HOSTS[len(sent) % len(HOSTS)]
        attempt = world.make_id()
        request = world.request(host, '/reserve/1', attempt, deadline_ms=1500)
        sent.append((attempt, asyncio.create_task(request)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    return [(attempt, await answer) for attempt, answer in sent]


async def case(world, trouble):
    """Play the case."""
    for name in HOSTS:
        await world.add_host(name, ZONE, [ZONE])
    world.store.put('config', 'main', CONFIGURATION)
    server = GreyServer(world, 'i-1', trouble)
    await server.start()
    for name in HOSTS:
        world.start_host(name, first=True)
    await world.wait_ready(HOSTS)
    await asyncio.sleep(5)
    answers = []
    for _ in range(WINDOWS):
        server.grey = True
        answers += await send_requests(world, WINDOW_SECONDS)
        server.grey = False
        answers += await send_requests(world, PAUSE_SECONDS)
    world.record.write(Counter(answer.status for _, answer in answers))
    runs = Counter(attempt for _, attempt in server.runs)
    twice = [
        f'TWICE: {attempt} ran {count} times'
        for attempt, count in runs.items()
        if count > 1
    ]
    refused = [
        f'REFUSED: {attempt} was answered {answer.status} and has run'
        for attempt, answer in answers
        if answer.status in NOT_RUN and attempt in runs
    ]
    return twice + refused


run_case(case, Path(__file__).resolve().parent)
