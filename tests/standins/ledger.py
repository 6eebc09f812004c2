"""Fake backend server of a plain HTTP service, run as a process.

It executes any call and records it. POST /control sets faults:

- ``lose_responses``: calls are executed, but the connection closes without a
  response;
- ``busy``: calls get status 503 and are not executed; with the value
  'with_retry_after' the response has a Retry-After header;
- ``slow_seconds``: time that each call takes.

GET /control returns the executed calls.
"""

import asyncio
import sys

from msgspec import json
from tornado.ioloop import IOLoop
from tornado.web import Application, RequestHandler


class Ledger:
    """Executed calls, and the faults that are set."""

    def __init__(self):
        self.executed = []
        self.control = {}


class CallHandler(RequestHandler):
    """Execute a call, unless a fault prevents it."""

    def initialize(self, ledger):
        self.ledger = ledger

    async def run(self, path):
        control = self.ledger.control
        if control.get('busy'):
            self.set_status(503)
            if control['busy'] == 'with_retry_after':
                self.set_header('Retry-After', '1')
            self.finish()
            return
        key = self.request.headers.get('Idempotency-Key', '')
        method = self.request.method
        self.ledger.executed.append(
            {
                'method': method,
                'path': path,
                'key': key,
            }
        )
        await asyncio.sleep(control.get('slow_seconds', 0))
        if control.get('lose_responses'):
            self.request.connection.stream.close()
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(
            json.encode(
                {
                    'path': path,
                    'key': key,
                    'number': len(self.ledger.executed),
                }
            )
        )

    get = post = put = delete = run


class ControlHandler(RequestHandler):
    """Set faults and list the executed calls."""

    def initialize(self, ledger):
        self.ledger = ledger

    def post(self):
        self.ledger.control = json.decode(self.request.body)
        self.finish(b'{}')

    def get(self):
        self.finish(json.encode({'executed': self.ledger.executed}))


async def serve(port):
    """Serve on a loopback port until the process is killed."""
    handler_arguments = {'ledger': Ledger()}
    Application(
        [
            ('/control', ControlHandler, handler_arguments),
            ('(/.*)', CallHandler, handler_arguments),
        ]
    ).listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    IOLoop.current().run_sync(lambda: serve(int(sys.argv[1])))
