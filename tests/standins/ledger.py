"""Imitate a plain service that records stock and tells what it executed.

POST /control sets ``lose_answers`` (calls run, their answers are lost),
``busy`` (calls get status 503, with a time to come back if it is 'unrun')
and ``slow_seconds``.
"""

import asyncio
import sys

from msgspec import json
from tornado.ioloop import IOLoop
from tornado.web import Application, RequestHandler


class Ledger:
    """Hold the record of executed calls."""

    def __init__(self):
        self.executed = []
        self.control = {}


class CallHandler(RequestHandler):
    """Run any call."""

    def initialize(self, ledger):
        self.ledger = ledger

    async def run(self, path):
        control = self.ledger.control
        if control.get('busy'):
            self.set_status(503)
            if control['busy'] == 'unrun':
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
        if control.get('lose_answers'):
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
    """Switch faults on, and tell what ran."""

    def initialize(self, ledger):
        self.ledger = ledger

    def post(self):
        self.ledger.control = json.decode(self.request.body)
        self.finish(b'{}')

    def get(self):
        self.finish(json.encode({'executed': self.ledger.executed}))


async def serve(port):
    """Serve until killed."""
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
