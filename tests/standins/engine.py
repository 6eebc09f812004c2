"""Imitate a model engine that batches, caches prefixes and streams.

Tokens depend on the seed, the prompt and the position alone, so a test can
tell a whole answer from a damaged one. POST /control sets ``fail`` (status of
every completion), ``token_seconds``, ``crash_on`` (a prompt holding this text
ends the process), ``leaving``, ``foreign`` (answer with another id),
``disturb`` (send each chunk twice, or leave out every fifth),
``ignore_cancel`` and
``kv_token_seconds`` (time of a KV export). GET tells what ran and how many
tokens were computed again.
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
    """Return the token that every engine gives at a position."""
    material = f'{seed}/{prompt}/{position}'.encode()
    return f'{sha256(material).hexdigest()[:4]} '


def make_block_keys(prompt):
    """Return the keys of a prompt's prefixes, whole blocks of words."""
    words = prompt.split()
    ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
    return [
        sha256(' '.join(words[:end]).encode()).hexdigest()[:16] for end in ends
    ]


class Engine:
    """Hold the cache, the running streams and the faults."""

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
        """Return the cached tokens of a prompt and cache all of it."""
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
        """Return the present load."""
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
    """Stream one completion."""

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
    """Return how often a disturbed engine sends a chunk."""
    if disturbance == 'twice':
        return 2
    return 0 if disturbance == 'gaps' and position % 5 == 4 else 1


class LoadHandler(_Handler):
    """Report load as it was a while ago."""

    def get(self):
        now = time.time()
        lag = self.engine.control.get('load_lag_seconds', 0)
        load = self.engine.load
        if load is None or now - load['measured_wall'] >= lag:
            self.engine.load = load = self.engine.describe_load()
        self.finish(json.encode(load))


class CacheEventsHandler(_Handler):
    """Publish cache events, with gaps when told."""

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
    """Cancel a stream."""

    def post(self):
        body = self.read_json()
        key = (body['request_id'], body['attempt'])
        if not self.engine.control.get('ignore_cancel'):
            self.engine.running.pop(key, None)
        self.finish(b'{}')


class KvHandler(_Handler):
    """Export and import KV caches."""

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
    """Take orders; refuse an old fencing number if this engine checks."""

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
    """Switch faults on, and tell what ran."""

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
    """Serve until killed."""
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
