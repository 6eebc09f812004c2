"""Fake model engine with a prefix cache, streaming and KV export.

Runs as a process. Each token depends only on the seed, the prompt and the
position, so a test can check that a response is complete and in order.
POST /control sets

- ``fail``: status of every completion;
- ``token_seconds``, ``prompt_token_seconds``, ``kv_token_seconds``: time to
  generate a token, to process a prompt token and to export a token's KV cache;
- ``crash_on``: a prompt that contains this text ends the process;
- ``leaving``: the load report says that the server is leaving;
- ``load_lag_seconds``: how old the reported load may be;
- ``event_gap``: every cache event whose number is a multiple of it is left out;
- ``foreign``: request id that responses carry instead of their own;
- ``disturb``: 'twice' sends each chunk twice, 'gaps' omits every fifth;
- ``ignore_cancel``: cancelled streams continue;
- ``ignore_fencing``: orders with an old fencing number are accepted.

GET /control returns the completions and orders received, how many tokens were
computed again for resumed streams, and how many streams are running.
"""

import asyncio
import os
import sys
import time
from hashlib import sha256

from msgspec import json
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

BLOCK_WORDS = 16
MAX_CACHED_BLOCKS = 512
CAPACITY = 16


def make_token(seed, prompt, position):
    """Return the token that every engine generates at a position."""
    hash_input = f'{seed}/{prompt}/{position}'.encode()
    return f'{sha256(hash_input).hexdigest()[:4]} '


def make_block_keys(prompt):
    """Return a key for each prefix of a prompt made of whole blocks."""
    words = prompt.split()
    ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
    return [
        sha256(' '.join(words[:end]).encode()).hexdigest()[:16] for end in ends
    ]


class Engine:
    """State of the engine: cache, running streams, orders and faults."""

    def __init__(self, version):
        self.version = version
        self.versions = {version}
        self.control = {}
        self.running = {}
        self.waiting = 0
        self.cache = {}
        self.events = []
        self.imported_kv = {}
        self.highest_fencing_number = 0
        self.orders = []
        self.executed = []
        self.recomputed = 0
        self.load = None

    def cache_prompt(self, prompt):
        """Cache a prompt; return how many of its tokens were cached before."""
        block_keys = make_block_keys(prompt)
        cached = 0
        for block_key in block_keys:
            if block_key not in self.cache:
                break
            cached += BLOCK_WORDS
        for block_key in block_keys:
            if self.cache.pop(block_key, None) is None:
                self._record_event(True, block_key)
            self.cache[block_key] = True
        while len(self.cache) > MAX_CACHED_BLOCKS:
            oldest = next(iter(self.cache))
            self.cache.pop(oldest)
            self._record_event(False, oldest)
        return cached

    def describe_load(self):
        """Return a report of the current load."""
        return {
            'running': len(self.running),
            'waiting': self.waiting,
            'capacity': CAPACITY,
            'cached_tokens': len(self.cache) * BLOCK_WORDS,
            'versions': sorted(self.versions),
            'leaving': bool(self.control.get('leaving')),
            'measured_wall': time.time(),
        }

    def _record_event(self, stored, block_key):
        self.events.append(
            {
                'number': len(self.events) + 1,
                'stored': stored,
                'prefix_key': block_key,
                'tokens': BLOCK_WORDS,
            }
        )


class _Handler(RequestHandler):
    def initialize(self, engine):
        self.engine = engine

    def read_json(self):
        return json.decode(self.request.body)


class CompletionHandler(_Handler):
    """Generate a completion as a stream of events."""

    async def post(self):
        body = self.read_json()
        engine = self.engine
        if engine.control.get('crash_on', '\0') in body['prompt']:
            os._exit(1)
        if engine.control.get('fail'):
            self.send_error(engine.control['fail'])
            return
        key = (body['request_id'], body['attempt'])
        engine.executed.append(key)
        engine.running[key] = body
        try:
            await self._stream(body, key)
        except StreamClosedError:
            return
        finally:
            engine.running.pop(key, None)

    async def _stream(self, body, key):
        engine = self.engine
        prompt = body['prompt']
        cached = engine.cache_prompt(prompt)
        words = len(prompt.split())
        covered = engine.imported_kv.pop(body.get('kv_handle'), cached)
        recomputed = max(0, words + len(body['resume_tokens']) - covered)
        if body['resume_tokens']:
            engine.recomputed += recomputed
        prefill_seconds_per_token = engine.control.get(
            'prompt_token_seconds', 0
        )
        await asyncio.sleep(recomputed * prefill_seconds_per_token)
        start = len(body['resume_tokens'])
        self.set_header('Content-Type', 'text/event-stream')
        for position in range(start, body['max_tokens']):
            if key not in engine.running:
                break
            if engine.control.get('token_seconds'):
                await asyncio.sleep(engine.control['token_seconds'])
            event = {
                'request_id': engine.control.get('foreign', key[0]),
                'attempt': key[1],
                'offset': position,
                'tokens': [make_token(body['seed'], prompt, position)],
                'finished': position + 1 == body['max_tokens'],
                'prompt_tokens': words,
                'cached_tokens': cached,
            }
            body['position'] = position + 1
            copies = count_copies(engine.control.get('disturb'), position)
            self.write((b'data: ' + json.encode(event) + b'\n\n') * copies)
            await self.flush()
        self.finish(b'data: [DONE]\n\n')


def count_copies(disturbance, position):
    """Return how many times to send the chunk at a position."""
    if disturbance == 'twice':
        return 2
    return 0 if disturbance == 'gaps' and position % 5 == 4 else 1


class LoadHandler(_Handler):
    """Report the load, which may be ``load_lag_seconds`` old."""

    def get(self):
        now = time.time()
        lag = self.engine.control.get('load_lag_seconds', 0)
        load = self.engine.load
        if load is None or now - load['measured_wall'] >= lag:
            self.engine.load = load = self.engine.describe_load()
        self.finish(json.encode(load))


class CacheEventsHandler(_Handler):
    """List the cache events after a number, less those that a fault omits."""

    def get(self):
        after = int(self.get_argument('after', '0'))
        gap = self.engine.control.get('event_gap', 0)
        events = [
            event
            for event in self.engine.events[after:]
            if not gap or event['number'] % gap
        ]
        self.finish(json.encode(events))


class CancelHandler(_Handler):
    """Cancel a stream, unless a fault makes the engine ignore it."""

    def post(self):
        body = self.read_json()
        key = (body['request_id'], body['attempt'])
        if not self.engine.control.get('ignore_cancel'):
            self.engine.running.pop(key, None)
        self.finish(b'{}')


class KvHandler(_Handler):
    """Export the KV cache of a running request, or import one."""

    async def post(self, action):
        body = self.read_json()
        request_id = body['request_id']
        if action == 'import':
            self.engine.imported_kv[body['handle']] = body['tokens']
            self.finish(json.encode({'handle': body['handle']}))
            return
        matching = [
            running
            for (running_id, _), running in self.engine.running.items()
            if running_id == request_id
        ]
        if not matching:
            self.send_error(404)
            return
        words = len(matching[0]['prompt'].split())
        tokens = words + matching[0].get('position', 0)
        export_seconds_per_token = self.engine.control.get(
            'kv_token_seconds', 0
        )
        await asyncio.sleep(tokens * export_seconds_per_token)
        handle = f'kv-{request_id}-{tokens}'
        self.finish(
            json.encode(
                {'request_id': request_id, 'tokens': tokens, 'handle': handle}
            )
        )


class OrderHandler(_Handler):
    """Execute orders; refuse old fencing numbers unless a fault prevents it."""

    def post(self):
        body = self.read_json()
        number = body['fencing_number']
        self.engine.orders.append(body)
        if (
            number < self.engine.highest_fencing_number
            and not self.engine.control.get('ignore_fencing')
        ):
            self.send_error(409)
            return
        self.engine.highest_fencing_number = max(
            self.engine.highest_fencing_number, number
        )
        if body['kind'] == 'load_version':
            self.engine.versions.add(body['subject'])
        elif body['kind'] == 'unload_version':
            self.engine.versions.discard(body['subject'])
        self.finish(
            json.encode({'fencing_number': self.engine.highest_fencing_number})
        )


class ControlHandler(_Handler):
    """Set faults and report the engine's counts, completions and orders."""

    def post(self):
        self.engine.control = self.read_json()
        self.finish(b'{}')

    def get(self):
        engine = self.engine
        self.finish(
            json.encode(
                {
                    'executed': engine.executed,
                    'orders': engine.orders,
                    'recomputed': engine.recomputed,
                    'running': len(engine.running),
                }
            )
        )


async def serve(port, version):
    """Serve on a loopback port until the process is killed."""
    handler_arguments = {'engine': Engine(version)}
    Application(
        [
            ('/v1/completions', CompletionHandler, handler_arguments),
            ('/load', LoadHandler, handler_arguments),
            ('/cache_events', CacheEventsHandler, handler_arguments),
            ('/cancel', CancelHandler, handler_arguments),
            ('/kv/(export|import)', KvHandler, handler_arguments),
            ('/orders', OrderHandler, handler_arguments),
            ('/control', ControlHandler, handler_arguments),
        ]
    ).listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    IOLoop.current().run_sync(lambda: serve(int(sys.argv[1]), sys.argv[2]))
