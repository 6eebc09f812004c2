"""A stream without a length is stopped for a move and reaches the caller whole.

Engines stream answers. One answer in twenty has neither a length nor chunks
and ends with its channel. One engine drains and leaves. The hosts move its runs
to other engines: each run stops, its stream is closed without its end, and the
hosts go on at another engine. The rule is checked at the clients: a stream that
ends as complete has all its events.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'harness'))

from world import (
    ATTEMPT,
    LIMITS,
    LOOPBACK,
    SEAL,
    CannotRunError,
    Server,
    make_message,
    run_case,
)

HOSTS = ('edge-1', 'edge-2')
ZONE = 'hsinchu-a'
ENGINES = 3
EVENTS = 50
EVENT_SECONDS = 0.1
STREAMS = 150
# One answer in twenty, the share (x = 0.05) of the site file.
UNFRAMED_EVERY = 20
DRAIN_SECONDS = 2.0
LINGER_SECONDS = 1.5

CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'distribution-summary',
            'host': 'desk.example',
            'path_prefix': '/summary/',
            'kind': 'streaming',
            'timeout_ms': 15000,
            'target_latency_ms': 1500,
            'priority': 1,
            'service': 'assistant-llm',
            'max_attempts': 1,
            'auth_exempt': False,
            'sticky': True,
            'resumable': False,
            'target_gap_ms': 1000,
        }
    ],
    'services': [
        {
            'name': 'assistant-llm',
            'health_path': '/health',
            'max_connections': 360,
            'protocol': 'h1',
            'tls': False,
            'engine': {
                'slots': 64,
                'kv_capacity': 550512,
                'kv_token_bytes': 18432,
                'link_mbps': 740000.0,
                'moves': True,
                'backups': True,
                'stride': 6,
                'most': 12,
                'pin_ms': 4000.0,
                'hold_ms': 2000.0,
                'handle_s': 5.0,
                'models': [{'name': 'm'}],
            },
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
            'rate_per_s': 1000000,
            'burst': 1000000,
        }
    ],
}


class Engine(Server):
    """A model engine that streams events and moves its runs on request."""

    def __init__(self, world, name):
        super().__init__(world, name, 'assistant-llm', ZONE, slots=64)
        self.leaving = False
        self.active = {}
        self.copies = {}
        self.answers = 0
        self.engines = {}

    async def answer(self, message, reader, writer):
        """Answer a request or the call that moves a run."""
        first, headers, body = message
        if first.startswith('POST /monsoonwall/kv-move '):
            await self._move(json.loads(body), writer)
            return
        if headers.get('x-monsoonwall-target-instance') != self.name:
            writer.write(make_message(421))
            return
        attempt = headers[ATTEMPT.lower()]
        begun = 0
        if 'kv-from' in headers:
            handle = headers['kv-from'].partition('/')[2]
            if self.copies.pop(handle, None) != attempt:
                writer.write(
                    make_message(
                        503, b'', [('X-Monsoonwall-Not-Executed', '1')]
                    )
                )
                return
            begun = int(headers['last-event-id'])
        self.record_run(attempt, f'from event {begun + 1}', headers, body)
        self.answers += 1
        unframed = self.answers % UNFRAMED_EVERY == 0
        stop = asyncio.Event()
        self.active[attempt] = stop
        await self._stream(attempt, begun, unframed, stop, writer)
        self.active.pop(attempt, None)

    async def _stream(self, attempt, begun, unframed, stop, writer):
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            f'{ATTEMPT}: {attempt}',
            f'{SEAL}: s.{self.name}',
        ]
        if not unframed:
            lines.append('Transfer-Encoding: chunked')
        if self.leaving:
            lines.append('Server-Leaving: 1')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(begun + 1, EVENTS + 1):
            event = f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
            size = f'{len(event):x}\r\n'.encode()
            writer.write(event if unframed else size + event + b'\r\n')
            await writer.drain()
            try:
                await asyncio.wait_for(stop.wait(), EVENT_SECONDS)
            except TimeoutError:
                continue
            self.world.record.write(
                'stopped', attempt, 'after event', number, 'unframed', unframed
            )
            writer.close()
            return
        if unframed:
            writer.close()
        else:
            writer.write(b'0\r\n\r\n')

    async def _move(self, order, writer):
        attempt = order['id']
        stop = self.active.pop(attempt, None)
        if stop is None:
            writer.write(make_message(404))
            return
        stop.set()
        target = self.engines[order['target']]
        handle = f'h-{attempt}'
        target.copies[handle] = attempt
        await asyncio.sleep(0.02)
        answer = json.dumps({'handle': handle, 'created': 0}).encode()
        self.world.record.write('moved', attempt, 'to', target.name)
        writer.write(make_message(200, answer))

    async def leave(self):
        """Drain, and end after drain_ms and a little longer."""
        self.leaving = True
        self.announce('draining')
        self.world.record.write('draining', self.name)
        await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
        self.world.store.delete('servers', self.name)
        self.end()
        self.world.record.write('left', self.name)


async def stream(world, number):
    """Read one stream; return its id, events and whether it is complete."""
    name = HOSTS[number % len(HOSTS)]
    attempt = world.make_id()
    world.record.write('send', attempt, 'to', name)
    reader, writer = await asyncio.open_connection(
        LOOPBACK, world.hosts[name]['front']
    )
    writer.write(
        '\r\n'.join(
            (
                'POST /summary/1 HTTP/1.1',
                'Host: desk.example',
                f'{ATTEMPT}: {attempt}',
                'X-Monsoonwall-Model: m',
                'X-Monsoonwall-Token-Usage: 100,300',
                f'X-Monsoonwall-Prompt-Prefix: aa:40,{number:x}:60',
                'X-Monsoonwall-Deadline-Ms: 15000',
                'Api-Key: key',
                'Content-Length: 2',
                '\r\n{}',
            )
        ).encode()
    )
    content, complete = b'', False
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split(b' ')[1])
        while status == 200:
            size = int(await reader.readuntil(b'\r\n'), 16)
            content += (await reader.readexactly(size + 2))[:-2]
            if not size:
                complete = True
                break
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    writer.close()
    events = [
        int(line.rpartition(b' ')[2])
        for line in content.splitlines()
        if line.startswith(b'data: ')
    ]
    last = events[-1] if events else 0
    world.record.write(
        'answer', attempt, 'events', len(events), 'last', last, complete
    )
    return attempt, events, complete


async def case(world, trouble):
    """Play the case."""
    for name in HOSTS:
        await world.add_host(name, ZONE, [ZONE])
    world.store.put('config', 'main', CONFIGURATION)
    engines = [Engine(world, f'i-{number}') for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    by_address = {f'{LOOPBACK}:{engine.port}': engine for engine in engines}
    for engine in engines:
        engine.engines = by_address
    for name in HOSTS:
        world.start_host(name, first=True)
    await world.wait_ready(HOSTS)
    await asyncio.sleep(6)
    streams = []
    for number in range(STREAMS):
        streams.append(asyncio.create_task(stream(world, number)))
        await asyncio.sleep(0.01)
    leaving = None
    if trouble:
        leaving = asyncio.create_task(
            max(engines, key=lambda engine: len(engine.active)).leave()
        )
    answers = await asyncio.gather(*streams)
    if leaving is not None:
        await leaving
    expected = list(range(1, EVENTS + 1))
    complete = [answer for answer in answers if answer[2]]
    world.record.write('complete', len(complete), 'of', len(answers))
    if len(complete) < len(answers) / 2:
        raise CannotRunError('most streams did not end')
    return [
        f'{attempt} ended as complete with {len(events)} of {EVENTS} events'
        for attempt, events, _ in complete
        if events != expected
    ]


run_case(case, Path(__file__).resolve().parent)
