"""Test that servers get no more requests than the limit that they name."""

import asyncio
import threading
import time
import unittest
from dataclasses import replace

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.server_limits import LIMIT_KIND, ServerLimits
from monsoonwall.mesh.board import Fact
from tests.gateway.fakes import FakeBoard, NoPeers
from tests.gateway.processes import GatewayProcessCase
from tests.gateway.test_gateway_processes import CONFIGURATION, AppServer
from tests.gateway.test_proxy import (
    STREAM_END,
    STREAM_HEAD,
    ProxyHandlerCase,
    chunk,
    make_event,
)
from tests.standins.deployment import send, wait_until
from tests.standins.raw_server import make_response

WINDOW_SECONDS = 4.0
# The limit binds hosts from this time after the server first named it.
CONTACT_SECONDS = 3.0


def count_allowed(limit):
    """Return how many requests a limited server may get in any window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def make_limited_response(limit):
    return make_response(extra=f'Server-Limit: {limit}\r\n')


def make_limited_stream(limit):
    head = STREAM_HEAD.replace(
        b'Content-Type', f'Server-Limit: {limit}\r\nContent-Type'.encode()
    )
    return [head, chunk(make_event(1)), STREAM_END]


class ServerLimitTest(ProxyHandlerCase):
    """Send requests to servers of which one or all name a limit."""

    async def send_many(self, path, count):
        return [(await self.send_request(path)).status for _ in range(count)]

    async def test_limited_server_gets_few_requests_on_each_kind_of_route(self):
        for path, limited, unlimited in (
            ('/look/x', [make_limited_response(1)], [make_response()]),
            ('/reserve/x', [make_limited_response(1)], [make_response()]),
            (
                '/draft/x',
                make_limited_stream(1),
                [STREAM_HEAD, chunk(make_event(1)), STREAM_END],
            ),
        ):
            with self.subTest(path=path):
                await self.asyncSetUp()
                self.configure()
                primary, secondary = self.servers
                primary.responses = [limited for _ in range(40)]
                secondary.responses = [unlimited for _ in range(40)]
                statuses = await self.send_many(path, 40)
                self.assertEqual(set(statuses), {200})
                self.assertLessEqual(len(primary.requests), count_allowed(1))

    async def test_fraction_of_a_request_per_second_is_kept(self):
        self.configure()
        primary, secondary = self.servers
        primary.responses = [[make_limited_response(0.2)] for _ in range(40)]
        secondary.responses = [[make_response()] for _ in range(40)]
        await self.send_many('/look/x', 40)
        self.assertLessEqual(len(primary.requests), count_allowed(0.2))

    async def test_request_that_no_server_may_take_is_refused_at_once(self):
        self.configure()
        for server in self.servers:
            server.responses = [[make_limited_response(1)] for _ in range(40)]
        await self.send_many('/look/x', 30)
        began = time.monotonic()
        caller = await self.send_request('/look/x')
        self.assertLess(time.monotonic() - began, 0.1)
        self.assertEqual(caller.status, 503)
        self.assertGreater(float(caller.headers['Retry-After']), 0)

    async def test_server_that_names_no_limit_any_more_gets_requests(self):
        self.configure()
        primary, secondary = self.servers
        primary.responses = [
            [make_limited_response(2)],
            *([make_response()] for _ in range(40)),
        ]
        secondary.responses = [[make_response()] for _ in range(40)]
        await self.send_many('/look/x', 5)
        # The server is asked again at the limited rate, and says that the
        # limit has ended.
        await asyncio.sleep(1)
        await self.send_many('/look/x', 2)
        arrived = len(primary.requests)
        await self.send_many('/look/x', 20)
        self.assertEqual(len(primary.requests), arrived + 20)

    async def test_invalid_limit_is_ignored(self):
        self.configure()
        primary = self.servers[0]
        for limit in ('few', 'nan', 'inf', '-1', ''):
            with self.subTest(limit=limit):
                primary.responses = [
                    [make_limited_response(limit)] for _ in range(15)
                ]
                await self.send_many('/look/x', 15)
                self.assertEqual(primary.responses, [])


class LimitedAppServer(AppServer):
    """Name a limit in each response, and record when requests arrive."""

    def __init__(self, limit):
        self.limit = limit
        self.arrivals = []
        super().__init__()

    def make_response(self, attempt_id):
        self.arrivals.append(time.monotonic())
        extra = f'Server-Limit: {self.limit}\r\n' if self.limit else ''
        return make_response(b'found', attempt_id=attempt_id, extra=extra)


class SharedServerLimitTest(GatewayProcessCase):
    """Send requests through several hosts to a limited server."""

    def setUp(self):
        super().setUp()
        self.limited = LimitedAppServer(1)
        self.addCleanup(self.limited.close)
        unlimited = LimitedAppServer(None)
        self.addCleanup(unlimited.close)
        self.control(objects=[['config', 'main', CONFIGURATION]])
        self.announce_server('i-1', self.limited.port, 1)
        self.announce_server('i-2', unlimited.port, 1)
        self.ports = []
        for number in range(4):
            seeds = [ports['control'] for ports in self.ports[:1]]
            _, ports = self.start_gateway(f'edge-{number}', seeds)
            self.ports.append(ports)
        for ports in self.ports:
            self.wait_ready(ports)
            self.assertTrue(
                wait_until(lambda host=ports: self.count_peers(host) == 3)
            )

    def fetch(self, ports, number):
        headers = {
            'Host': 'desk',
            'Api-Key': 'key',
            'X-Monsoonwall-Attempt-Id': f'{ports["front"]}-{number}',
            'X-Monsoonwall-Deadline-Ms': '2000',
        }
        return send(ports['front'], 'GET', '/look/1', headers=headers).status

    def send_steadily(self, ports, until, statuses):
        number = 0
        while time.monotonic() < until:
            statuses.append(self.fetch(ports, number))
            number += 1
            time.sleep(0.1)

    def test_all_hosts_together_keep_the_limit(self):
        until = time.monotonic() + CONTACT_SECONDS + 2 * WINDOW_SECONDS
        statuses = []
        threads = [
            threading.Thread(
                target=self.send_steadily, args=(ports, until, statuses)
            )
            for ports in self.ports
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(statuses), {200})
        bound_from = self.limited.arrivals[0] + CONTACT_SECONDS
        counted = [
            arrival for arrival in self.limited.arrivals if arrival > bound_from
        ]
        largest = max(
            (
                sum(
                    begin <= arrival < begin + WINDOW_SECONDS
                    for arrival in counted
                )
                for begin in counted
            ),
            default=0,
        )
        self.assertLessEqual(largest, count_allowed(1))
        # The limit is used, not only kept.
        self.assertGreater(len(counted), WINDOW_SECONDS)


class LimitLearningTest(unittest.TestCase):
    """Learn the limit of one server on two hosts that share a board."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.boards = [FakeBoard(f'edge-{number}') for number in range(2)]
        self.hosts = [
            ServerLimits(
                board,
                self.clock,
                FleetView(NoPeers(), board.name, 'a', alone=True),
            )
            for board in self.boards
        ]
        self.server = BackendServer('i-1', 'app', 'host:1', 'a', '', 4, born=5)

    def record(self, host, limit, sent_seconds_ago=0):
        sent_at = self.clock.read_monotonic() - sent_seconds_ago
        self.hosts[host].record_response(self.server, limit, sent_at)

    def share(self, source, target):
        """Deliver the facts of one host's board to the other host."""
        for fact in self.boards[source].read_facts(LIMIT_KIND):
            self.hosts[target].adopt_published(fact)

    def is_limited(self, host, server=None):
        return self.hosts[host].estimate_wait(server or self.server) > 0

    def test_limit_and_its_end_reach_other_hosts(self):
        self.record(0, 1)
        self.share(0, 1)
        self.assertTrue(self.is_limited(1))
        self.clock.advance(1)
        self.record(1, None)
        self.share(1, 0)
        self.assertFalse(self.is_limited(0))

    def test_outdated_fact_does_not_replace_a_later_one(self):
        self.record(0, 1)
        outdated = self.boards[0].read_facts(LIMIT_KIND)
        self.clock.advance(1)
        self.record(0, None)
        for fact in outdated:
            self.hosts[0].adopt_published(fact)
        self.assertFalse(self.is_limited(0))

    def test_response_to_an_earlier_request_does_not_end_the_limit(self):
        self.record(0, 1)
        self.clock.advance(1)
        self.record(0, None, sent_seconds_ago=2)
        self.assertTrue(self.is_limited(0))
        self.record(0, 50, sent_seconds_ago=2)
        self.assertTrue(self.is_limited(0))

    def test_lower_limit_counts_at_once(self):
        self.record(0, 50)
        self.clock.advance(1)
        self.record(0, 0.1, sent_seconds_ago=2)
        self.assertGreater(self.hosts[0].estimate_wait(self.server), 1)

    def test_new_incarnation_has_no_limit(self):
        self.record(0, 1)
        self.share(0, 1)
        reborn = replace(self.server, born=6)
        self.assertFalse(self.is_limited(0, reborn))
        self.assertFalse(self.is_limited(1, reborn))

    def test_late_response_of_an_earlier_incarnation_is_ignored(self):
        """It replaced the limit of the incarnation that had followed."""
        reborn = replace(self.server, born=6)
        self.hosts[0].record_response(reborn, 1, sent_at=1000)
        self.record(0, 50)
        self.assertTrue(self.is_limited(0, reborn))

    def test_limit_that_lasts_is_published_again(self):
        """Hosts that start later learn it from the mesh."""
        self.record(0, 1)
        first = self.boards[0].read_facts(LIMIT_KIND)[0]
        self.clock.advance(200)
        self.record(0, 1)
        renewed = self.boards[0].read_facts(LIMIT_KIND)[0]
        self.assertGreater(renewed.expires_wall, first.expires_wall)
        self.assertGreater(renewed.payload, first.payload)

    def test_limit_that_no_response_names_expires(self):
        self.record(0, 1)
        self.clock.advance(1000)
        self.hosts[0].drop_expired()
        self.assertFalse(self.is_limited(0))

    def test_malformed_fact_is_ignored(self):
        fact = Fact(LIMIT_KIND, 'i-1', b'odd', 2000)
        self.hosts[0].adopt_published(fact)
        self.assertFalse(self.is_limited(0))
