"""Fake platform: a store of versioned objects, run as a process.

Writes are conditional on the version in If-Match; a GET with ``watch_after``
waits for a newer version. POST /control sets faults:

- ``outage``: every call gets status 503;
- ``lose_responses``: writes take effect, but the connection closes without a
  response;
- ``slow_seconds``: delay of each call;
- ``stale_reads``: reads, but not watches, return each object as it was that
  many writes ago.

GET /control returns the number of calls by method. A watch is counted under
both GET and WATCH.
"""

import asyncio
import sys
from collections import Counter

from msgspec import json
from tornado.ioloop import IOLoop
from tornado.web import Application, RequestHandler

MAX_OBJECT_BYTES = 1_000_000


class Store:
    """The objects, their earlier versions and the faults that are set."""

    def __init__(self):
        self.objects = {}
        self.history = {}
        self.last_version = 0
        self.calls = Counter()
        self.control = {}
        self.changed = asyncio.Event()

    def write(self, key, content):
        """Store a new version of an object and wake the watches."""
        self.last_version += 1
        self.objects[key] = (self.last_version, content)
        self.history.setdefault(key, []).append(self.objects[key])
        self.changed.set()
        self.changed = asyncio.Event()
        return self.last_version


class _Handler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls[self.request.method] += 1
        await asyncio.sleep(self.store.control.get('slow_seconds', 0))
        if self.store.control.get('outage'):
            self.send_error(503)

    def respond(self, version, content):
        if self.request.method != 'GET' and self.store.control.get(
            'lose_responses'
        ):
            self.request.connection.stream.close()
            return
        self.set_header('X-Object-Version', str(version))
        self.finish(content)


class ObjectHandler(_Handler):
    """Read, watch, write or delete one object."""

    async def get(self, key):
        after = int(self.get_argument('watch_after', '-1'))
        stale = self.store.control.get('stale_reads', 0)
        if after >= 0:
            self.store.calls['WATCH'] += 1
        elif stale and key in self.store.objects:
            self.respond(*self.store.history[key][-1 - stale :][0])
            return
        wait = float(self.get_argument('wait_seconds', '0'))
        deadline = asyncio.get_running_loop().time() + wait
        while self.store.objects.get(key, (0, b''))[0] <= after:
            remaining = deadline - asyncio.get_running_loop().time()
            try:
                await asyncio.wait_for(self.store.changed.wait(), remaining)
            except TimeoutError:
                break
        found = self.store.objects.get(key)
        if found is None or found[0] <= after:
            self.send_error(404)
        else:
            self.respond(*found)

    def put(self, key):
        found = self.store.objects.get(key)
        condition = self.request.headers.get('If-Match')
        if len(self.request.body) > MAX_OBJECT_BYTES:
            self.send_error(413)
        elif condition != (str(found[0]) if found else None):
            self.send_error(412)
        else:
            version = self.store.write(key, self.request.body)
            self.respond(version, b'')

    def delete(self, key):
        found = self.store.objects.get(key)
        if found is None:
            self.send_error(404)
        elif self.request.headers.get('If-Match') != str(found[0]):
            self.send_error(412)
        else:
            self.store.objects.pop(key)
            self.respond(*found)


class ListHandler(_Handler):
    """List the objects whose keys have a prefix."""

    def get(self):
        prefix = self.get_argument('prefix')
        self.finish(
            json.encode(
                [
                    {
                        'key': key,
                        'version': version,
                        'content': content.decode(),
                    }
                    for key, (version, content) in sorted(
                        self.store.objects.items()
                    )
                    if key.startswith(prefix)
                ]
            )
        )


class ControlHandler(RequestHandler):
    """Set faults and return the number of calls."""

    def initialize(self, store):
        self.store = store

    def post(self):
        self.store.control = json.decode(self.request.body)

    def get(self):
        self.finish(json.encode(dict(self.store.calls)))


async def serve(port):
    """Serve on a loopback port until the process is killed."""
    store = Store()
    Application(
        [
            ('/objects/(.+)', ObjectHandler, {'store': store}),
            ('/objects', ListHandler, {'store': store}),
            ('/control', ControlHandler, {'store': store}),
        ]
    ).listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    IOLoop.current().run_sync(lambda: serve(int(sys.argv[1])))
