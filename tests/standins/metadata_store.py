"""Fake metadata store that follows the published protocol of the platform.

Runs in the event loop of a test, or as a process: ``python -m
tests.standins.metadata_store PORT``. POST /control takes

- ``refuse``: whether every call gets status 503;
- ``silent``: whether calls get no response, also later;
- ``objects``: objects to write, a list of kind, name and spec;
- ``deleted``: objects to delete, a list of kind and name.
"""

import asyncio
import sys
from copy import deepcopy

from msgspec import json
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler


class Store:
    """Objects with revisions, and the events since the last compaction.

    With ``lose_responses``, writes take effect, but the connection closes
    without a response.
    """

    def __init__(self):
        self.revision = 1
        self.compacted_revision = 0
        self.objects = {}
        self.events = []
        self.refuse = False
        self.lose_responses = False
        self.silent_addresses = set()
        self.calls = 0
        self.era = 0
        # Objects in each page of a list.
        self.page_size = 500
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy of the content, to restore it later."""
        return self.revision, deepcopy(self.objects)

    def restore(self, content):
        """Return with the content of an older copy."""
        self.era += 1
        revision, objects = content
        self.revision = revision
        self.objects = deepcopy(objects)
        self.compacted_revision = self.revision
        self.events.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self, address):
        """Respond to no call at an address, not even to waiting ones."""
        self.silent_addresses.add(address)

    def respond_again(self, address):
        """Respond to later calls; those lost before get no response."""
        self.silent_addresses.discard(address)

    def on_list(self):
        """Do nothing; tests replace this to change objects between pages."""

    def on_watch(self):
        """Do nothing; tests replace this to delay responses."""

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision}
        found = {'metadata': metadata, 'spec': spec, 'status': status}
        self.objects[kind, name] = found
        self._record_event(kind, found, deleted=False)
        return found

    def delete(self, kind, name):
        self.revision += 1
        found = self.objects.pop((kind, name))
        metadata = {'name': name, 'revision': self.revision}
        self._record_event(kind, {**found, 'metadata': metadata}, deleted=True)

    def compact_history(self):
        self.compacted_revision = self.revision
        self.events.clear()

    def list_kind(self, kind):
        return [
            found
            for (object_kind, _), found in self.objects.items()
            if object_kind == kind
        ]

    def list_events(self, kind, after):
        return [
            {'object': found, 'deleted': deleted}
            for object_kind, found, deleted in self.events
            if object_kind == kind and found['metadata']['revision'] > after
        ]

    def _record_event(self, kind, found, deleted):
        self.events.append((kind, found, deleted))
        self.changed.set()
        self.changed = asyncio.Event()


class _Handler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls += 1
        self.set_header('Store-Era', str(self.store.era))
        await self.wait_if_silent()
        if self.store.refuse:
            self.set_status(503)
            self.finish()

    async def wait_if_silent(self):
        """Wait forever if the called address is silent."""
        if self.request.host in self.store.silent_addresses:
            await asyncio.Event().wait()

    def respond(self, body, status=200):
        if self.store.lose_responses and self.request.method != 'GET':
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.encode(body))

    def is_current(self, found, body):
        expected = body.get('metadata', {}).get('revision')
        return expected is None or expected == found['metadata']['revision']


def _read_name(found):
    """Return the name of an object; malformed ones are listed last."""
    try:
        return found['metadata']['name']
    except TypeError:
        return '~'


class KindHandler(_Handler):
    """List, watch or create objects of one kind."""

    async def get(self, kind):
        watched = self.get_query_argument('watch', '')
        if watched:
            await self._watch(kind, int(watched))
            return
        remaining = sorted(
            (
                found
                for found in self.store.list_kind(kind)
                if _read_name(found) > self.get_query_argument('after', '')
            ),
            key=_read_name,
        )
        page = remaining[: self.store.page_size]
        self.respond(
            {
                'items': page,
                'has_more': len(page) < len(remaining),
                'at': self.store.revision,
            }
        )
        self.store.on_list()

    async def _watch(self, kind, after):
        if not self.store.compacted_revision <= after <= self.store.revision:
            self.respond({}, status=410)
            return
        era = self.store.era
        seconds = int(self.get_query_argument('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(seconds):
                while not self._has_news(kind, after, era):
                    await self.store.changed.wait()
        except TimeoutError:
            pass
        await self.wait_if_silent()
        if self.store.era != era:
            self.request.connection.stream.close()
            return
        events = self.store.list_events(kind, after)
        self.store.on_watch()
        self.respond({'events': events, 'at': self.store.revision})

    def _has_news(self, kind, after, era):
        return self.store.era != era or self.store.list_events(kind, after)

    def post(self, kind):
        body = json.decode(self.request.body)
        name = body['metadata']['name']
        existing = self.store.objects.get((kind, name))
        if existing is not None:
            self.respond(existing, status=409)
            return
        self.respond(self.store.put(kind, name, body['spec']))


class ObjectHandler(_Handler):
    """Read one object or replace its spec."""

    def get(self, kind, name):
        found = self.store.objects.get((kind, name))
        self.respond(found or {}, status=200 if found else 404)

    def put(self, kind, name):
        body = json.decode(self.request.body)
        found = self.store.objects.get((kind, name))
        if found is None:
            self.respond({}, status=404)
        elif self.is_current(found, body):
            self.respond(self.store.put(kind, name, body['spec']))
        else:
            self.respond(found, status=409)


class StatusHandler(_Handler):
    """Replace the status of one object."""

    def put(self, kind, name):
        body = json.decode(self.request.body)
        found = self.store.objects.get((kind, name))
        if found is None:
            self.respond({}, status=404)
        elif self.is_current(found, body):
            self.respond(
                self.store.put(kind, name, found['spec'], body['status'])
            )
        else:
            self.respond(found, status=409)


class ControlHandler(RequestHandler):
    """Set faults, and write and delete objects for a test."""

    def initialize(self, store):
        self.store = store

    def post(self):
        body = json.decode(self.request.body)
        self.store.refuse = body.get('refuse', self.store.refuse)
        if body.get('silent'):
            self.store.silence(self.request.host)
        elif 'silent' in body:
            self.store.respond_again(self.request.host)
        for kind, name, spec in body.get('objects', ()):
            self.store.put(kind, name, spec)
        for kind, name in body.get('deleted', ()):
            self.store.delete(kind, name)
        self.finish(json.encode({'calls': self.store.calls}))


def make_application(store):
    """Return the HTTP application of a store."""
    handler_arguments = {'store': store}
    return Application(
        [
            ('/monsoonwall/objects/([^/]+)', KindHandler, handler_arguments),
            (
                '/monsoonwall/objects/([^/]+)/([^/]+)',
                ObjectHandler,
                handler_arguments,
            ),
            (
                '/monsoonwall/objects/([^/]+)/([^/]+)/status',
                StatusHandler,
                handler_arguments,
            ),
            ('/control', ControlHandler, handler_arguments),
        ],
        log_function=lambda _handler: None,
    )


def listen(store, port=0):
    """Serve a store on a loopback port; return the server and its address.

    With port 0, the system chooses a free port.
    """
    server = HTTPServer(make_application(store))
    server.listen(port, '127.0.0.1')
    bound_port = next(iter(server._sockets.values())).getsockname()[1]
    return server, f'127.0.0.1:{bound_port}'


async def run(port):
    """Serve on a loopback port until the process is killed."""
    listen(Store(), int(port))
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(run(sys.argv[1]))
