"""Run gateway processes against a stand-in of the metadata store."""

import asyncio
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from msgspec import json

from tests.gateway.processes import GatewayProcessCase
from tests.standins.deployment import ROOT, send, wait_until
from tests.standins.ports import find_free_port
from tests.standins.raw_server import make_response

# A restarted host serves requests well within this time.
RESTART_SECONDS = 4.0
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'look',
            'host': 'desk',
            'path_prefix': '/look/',
            'kind': 'idempotent',
            'timeout_ms': 5000,
            'target_latency_ms': 2000,
            'service': 'app',
        }
    ],
    'services': [{'name': 'app'}],
    'tenants': [{'name': 'depot', 'api_keys': ['key']}],
}


class AppServer:
    """HTTP server that responds to every request after ``delay_seconds``.

    It runs in a thread of its own.
    """

    def __init__(self):
        self.port = find_free_port()
        self.delay_seconds = 0
        self.served = 0
        self.running = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self):
        self._loop.run_until_complete(
            asyncio.start_server(self._serve, '127.0.0.1', self.port)
        )
        self._loop.run_forever()

    def make_response(self, attempt_id):
        """Return the response to the request with an id."""
        return make_response(b'found', attempt_id=attempt_id)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                attempt_ids = [
                    line.partition(': ')[2]
                    for line in head.splitlines()
                    if line.lower().startswith('x-monsoonwall-attempt-id')
                ]
                self.running += 1
                await asyncio.sleep(self.delay_seconds)
                self.running -= 1
                self.served += 1
                writer.write(self.make_response(attempt_ids[0]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


class GatewayProcessTest(GatewayProcessCase):
    """Start, reload and stop gateways while callers send requests."""

    def setUp(self):
        super().setUp()
        self.app = AppServer()
        self.addCleanup(self.app.close)

    def configure(self):
        server = {
            'service': 'app',
            'address': f'127.0.0.1:{self.app.port}',
            'zone': 'zone-a',
            'state': 'ready',
            'slots': 4,
        }
        self.control(
            objects=[
                ['config', 'main', CONFIGURATION],
                ['servers', 'i-1', server],
                ['servers', 'odd', ['no', 'server']],
            ]
        )

    def fetch(self, ports, key='key', connection=None):
        client = connection or HTTPConnection('127.0.0.1', ports['front'])
        headers = {
            'Host': 'desk',
            'Api-Key': key,
            'X-Monsoonwall-Attempt-Id': f'a{time.monotonic_ns()}',
            'X-Monsoonwall-Deadline-Ms': '5000',
        }
        try:
            client.request('GET', '/look/1', headers=headers)
            reply = client.getresponse()
            return reply.status, reply.read(), reply.headers
        finally:
            if connection is None:
                client.close()

    def test_requests_are_served_and_counted(self):
        self.configure()
        _, ports = self.start_gateway()
        self.wait_ready(ports)
        self.assertTrue(wait_until(lambda: self.fetch(ports)[0] == 200))
        self.assertEqual(self.fetch(ports)[1], b'found')
        status, body, _ = self.fetch(ports, key='wrong')
        self.assertEqual(status, 401)
        self.assertIn('request_id', json.decode(body))
        metrics = send(ports['ready'], 'GET', '/metrics').body.decode()
        self.assertIn('monsoonwall_gateway_requests_total{', metrics)

    def test_host_refused_by_the_store_learns_from_a_peer(self):
        self.configure()
        _, first = self.start_gateway('edge-1')
        self.wait_ready(first)
        self.control(refuse=True)
        _, isolated = self.start_gateway('edge-2')
        self.assertTrue(wait_until(lambda: self.fetch(isolated)[0] == 503))
        self.assertFalse(self.is_ready(isolated))
        _, joined = self.start_gateway('edge-3', seeds=(first['control'],))
        self.wait_ready(joined)
        self.assertTrue(wait_until(lambda: self.fetch(joined)[0] == 200))
        self.assertFalse(self.is_ready(isolated))

    def test_termination_loses_no_request(self):
        self.configure()
        process, ports = self.start_gateway()
        self.wait_ready(ports)
        self.assertTrue(wait_until(lambda: self.fetch(ports)[0] == 200))
        self.app.delay_seconds = 0.2
        persistent = HTTPConnection('127.0.0.1', ports['front'])
        self.fetch(ports, connection=persistent)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        statuses = []
        while process.poll() is None:
            try:
                statuses.append(self.fetch(ports, connection=persistent)[0])
            except OSError:
                # Closed between two requests; callers may retry then.
                persistent.close()
                time.sleep(0.05)
        persistent.close()
        self.assertEqual(process.returncode, 0)
        self.assertGreater(len(statuses), 2)
        self.assertEqual(set(statuses), {200})

    def test_termination_accepts_no_request_after_a_long_response(self):
        self.configure()
        process, ports = self.start_gateway()
        self.wait_ready(ports)
        self.assertTrue(wait_until(lambda: self.fetch(ports)[0] == 200))
        persistent = HTTPConnection('127.0.0.1', ports['front'])
        self.addCleanup(persistent.close)
        threads = []
        # The longer request keeps the process alive after the first has ended.
        for delay_seconds, connection in ((3.5, persistent), (4.5, None)):
            self.app.delay_seconds = delay_seconds
            threads.append(
                threading.Thread(
                    target=self.fetch, args=(ports, 'key', connection)
                )
            )
            threads[-1].start()
            expected = len(threads)
            self.assertTrue(
                wait_until(lambda: self.app.running == expected)  # noqa: B023
            )
        process.send_signal(signal.SIGTERM)
        threads[0].join()
        self.app.delay_seconds = 0
        # Keeps the library from opening a new connection by itself.
        persistent.auto_open = 0
        with self.assertRaises((OSError, HTTPException)):
            self.fetch(ports, connection=persistent)
        self.assertEqual(self.app.running, 1)
        threads[1].join()
        self.assertEqual(process.wait(timeout=20), 0)

    def test_termination_waits_for_a_request_that_is_arriving(self):
        self.configure()
        process, ports = self.start_gateway()
        self.wait_ready(ports)
        self.assertTrue(wait_until(lambda: self.fetch(ports)[0] == 200))
        slow = HTTPConnection('127.0.0.1', ports['front'])
        self.addCleanup(slow.close)
        slow.putrequest('POST', '/look/1', skip_host=True)
        for name, value in (
            ('Host', 'desk'),
            ('Api-Key', 'key'),
            ('X-Monsoonwall-Attempt-Id', 'slow'),
            ('Content-Length', '4'),
        ):
            slow.putheader(name, value)
        slow.endheaders()
        slow.send(b'ab')
        self.assertTrue(wait_until(lambda: self.fetch(ports)[0] == 200))
        process.send_signal(signal.SIGTERM)
        # Longer than a host without requests takes to stop.
        time.sleep(3.2)
        slow.send(b'cd')
        self.assertEqual(slow.getresponse().status, 200)
        self.assertEqual(process.wait(timeout=20), 0)

    def test_configuration_reaches_all_hosts_and_is_not_reverted(self):
        self.configure()
        _, first = self.start_gateway('edge-1')
        _, second = self.start_gateway('edge-2', seeds=(first['control'],))
        for ports in (first, second):
            self.wait_ready(ports)
            self.assertTrue(
                wait_until(lambda host=ports: self.fetch(host)[0] == 200)
            )
        changed = {**CONFIGURATION, 'version': 2, 'tenants': []}
        changed['tenants'] = [{'name': 'depot', 'api_keys': ['new']}]
        self.control(objects=[['config', 'main', changed]])
        for ports in (first, second):
            self.assertTrue(
                wait_until(lambda host=ports: self.fetch(host)[0] == 401)
            )
            self.assertEqual(self.fetch(ports, key='new')[0], 200)
        # A host that starts again, and the others beside it, never accept the
        # earlier key again.
        restarted, third = self.start_gateway(
            'edge-3', seeds=(first['control'], second['control'])
        )
        self.wait_ready(third)
        restarted.kill()
        restarted.wait()
        self.start_gateway('edge-3', (first['control'],), third)
        statuses = set()
        deadline = time.monotonic() + RESTART_SECONDS
        while time.monotonic() < deadline:
            for ports in (first, second, third):
                with suppress(OSError):
                    statuses.add(self.fetch(ports)[0])
        self.assertLessEqual(statuses, {401, 503})
        self.assertEqual(self.fetch(third, key='new')[0], 200)

    def test_host_that_was_stopped_sent_requests_to_a_server_that_had_left(
        self,
    ):
        """Requests waited with the news; their servers were chosen first."""
        remaining = AppServer()
        self.addCleanup(remaining.close)
        process, ports = self.stop_serving_gateway()
        self.announce_server('i-1', self.app.port, 0, state='draining')
        self.announce_server('i-2', remaining.port, 1)
        # Longer than a server may get requests after it has left.
        time.sleep(3.0)
        served = self.app.served
        self.assertEqual(self.fetch_after_stop(process, ports), {200})
        self.assertEqual(self.app.served, served)

    def test_host_that_was_stopped_accepted_a_key_that_had_been_revoked(self):
        """Requests waited with the news, and were admitted first."""
        process, ports = self.stop_serving_gateway()
        tenants = [{'name': 'depot', 'api_keys': ['new']}]
        changed = {**CONFIGURATION, 'version': 2, 'tenants': tenants}
        self.control(objects=[['config', 'main', changed]])
        # Longer than a change may take until it is in force.
        time.sleep(3.0)
        self.assertEqual(self.fetch_after_stop(process, ports), {401})

    def stop_serving_gateway(self):
        """Start a gateway; stop its process once it serves requests."""
        self.configure()
        process, ports = self.start_gateway()
        self.wait_ready(ports)
        self.assertTrue(wait_until(lambda: self.fetch(ports)[0] == 200))
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        return process, ports

    def fetch_after_stop(self, process, ports):
        """Let a stopped host go on; return the statuses of waiting requests."""
        statuses = set()
        callers = [
            threading.Thread(target=lambda: statuses.add(self.fetch(ports)[0]))
            for _ in range(8)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.2)
        process.send_signal(signal.SIGCONT)
        for caller in callers:
            caller.join()
        return statuses

    def test_invalid_settings_are_reported(self):
        path = Path(self.folder.name) / 'bad.toml'
        path.write_text('node = 3')
        completed = subprocess.run(
            (sys.executable, '-m', 'monsoonwall', 'gateway'),
            env={**self.environment, 'MONSOONWALL_NODE_FILE': str(path)},
            capture_output=True,
            check=False,
            cwd=ROOT,
        )
        self.assertEqual(completed.returncode, 2)
        self.assertIn('bad.toml', completed.stderr.decode())
