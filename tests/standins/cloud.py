"""Fake cloud: hosts, reclaim notices and a store of model weights.

Runs as a process. POST /control sets faults:

- ``outage``: every call gets status 503;
- ``refuse_zones``: zones in which starting a host is refused;
- ``list_lag_seconds``: how old the list of hosts may be;
- ``weights_per_second``: bandwidth of the weight store in bytes per second.

GET /control returns the number of notices. POST /reclaims adds a notice for
each host that is to be reclaimed.
"""

import asyncio
import sys
import time
from contextlib import suppress

from msgspec import json
from tornado.ioloop import IOLoop
from tornado.web import Application, RequestHandler


def make_host(name):
    """Return a reclaimable host that no call has started."""
    return {
        'name': name,
        'zone': '',
        'machine_class': 'standard',
        'reclaimable': True,
        'leaving': False,
    }


class Cloud:
    """The hosts, the reclaim notices and the faults that are set."""

    def __init__(self):
        self.control = {}
        self.hosts = {}
        self.notices = []
        self.notice_added = asyncio.Event()
        self.cached_listing = (0, [])
        self.weights_busy_until = 0

    def reclaim(self, names, seconds):
        """Add notices that hosts are reclaimed after some seconds."""
        deadline = time.time() + seconds
        for name in names:
            number = len(self.notices) + 1
            self.notices.append(
                {'number': number, 'server': name, 'deadline_wall': deadline}
            )
            host = self.hosts.setdefault(name, make_host(name))
            host['leaving'] = True
        self.notice_added.set()
        self.notice_added = asyncio.Event()

    def list_hosts(self):
        """Return the hosts, from a cached list if that is recent enough."""
        listed_at, _ = self.cached_listing
        if time.time() - listed_at >= self.control.get('list_lag_seconds', 0):
            hosts = [dict(host) for host in self.hosts.values()]
            self.cached_listing = (time.time(), hosts)
        return self.cached_listing[1]


class _Handler(RequestHandler):
    def initialize(self, cloud):
        self.cloud = cloud

    def prepare(self):
        if self.cloud.control.get('outage'):
            self.send_error(503)

    def read_json(self):
        return json.decode(self.request.body)

    def respond(self, content):
        self.finish(json.encode(content))


class NoticesHandler(_Handler):
    """Return the notices after a number; long-poll if there are none."""

    async def get(self):
        after = int(self.get_argument('after'))
        wait = float(self.get_argument('wait_seconds', '0'))
        if len(self.cloud.notices) <= after:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.cloud.notice_added.wait(), wait)
        self.respond(self.cloud.notices[after:])


class ReclaimsHandler(_Handler):
    """Let a test announce that hosts are reclaimed."""

    def post(self):
        body = self.read_json()
        self.cloud.reclaim(body['servers'], body['seconds'])
        self.respond({})


class HostsHandler(_Handler):
    """List, start and stop hosts."""

    def get(self):
        self.respond(self.cloud.list_hosts())

    def post(self):
        body = self.read_json()
        if body['zone'] in self.cloud.control.get('refuse_zones', ()):
            self.send_error(409)
            return
        host = {**body, 'leaving': False}
        self.cloud.hosts[body['name']] = host
        self.respond(host)

    def delete(self, name):
        self.cloud.hosts.pop(name, None)
        self.respond({})


class WeightsHandler(_Handler):
    """Simulate downloads of weights, one after another at full bandwidth."""

    async def get(self, size):
        rate = self.cloud.control.get('weights_per_second', 1_000_000)
        begin = max(time.monotonic(), self.cloud.weights_busy_until)
        self.cloud.weights_busy_until = begin + int(size) / rate
        await asyncio.sleep(self.cloud.weights_busy_until - time.monotonic())
        self.respond({})


class ControlHandler(RequestHandler):
    """Set faults and count the notices."""

    def initialize(self, cloud):
        self.cloud = cloud

    def post(self):
        self.cloud.control = json.decode(self.request.body)

    def get(self):
        self.finish(json.encode({'notices': len(self.cloud.notices)}))


async def serve(port):
    """Serve on a loopback port until the process is killed."""
    handler_arguments = {'cloud': Cloud()}
    Application(
        [
            ('/notices', NoticesHandler, handler_arguments),
            ('/reclaims', ReclaimsHandler, handler_arguments),
            ('/hosts', HostsHandler, handler_arguments),
            ('/hosts/(.+)', HostsHandler, handler_arguments),
            ('/weights/(.+)', WeightsHandler, handler_arguments),
            ('/control', ControlHandler, handler_arguments),
        ]
    ).listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    IOLoop.current().run_sync(lambda: serve(int(sys.argv[1])))
