"""Send what clients inside the limits do not send to a gateway process.

Each test checks that the process lives, that its memory and descriptors stay
below those of its machine, and that an ordinary request is answered afterwards.
"""

import asyncio
import socket
import time
from contextlib import suppress
from email import message_from_string
from http.client import HTTPConnection
from pathlib import Path

import psutil

from tests.gateway.processes import GatewayProcessCase
from tests.gateway.test_gateway_processes import CONFIGURATION, AppServer
from tests.standins.deployment import send, wait_until
from tests.standins.raw_server import make_response

MACHINE_MEGABYTES = 90
MACHINE_DESCRIPTORS = 400
MAX_BODY_BYTES = 2_097_152
BYTES_PER_MEGABYTE = 1_048_576
CROWD = 40
SILENT_CROWD = 600
READERS = 150
STREAM_BYTES = 1_800_000
EVENT_BYTES = 60_000
# How long a crowd is fed and then left alone before the process is checked.
FEED_SECONDS = 8.0
REST_SECONDS = 2.0
MACHINE = f"""
[limits]
memory_mb = {MACHINE_MEGABYTES}
max_fds = {MACHINE_DESCRIPTORS}
"""
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': MAX_BODY_BYTES,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}
STREAM_ROUTE = {
    'name': 'talk',
    'host': 'desk',
    'path_prefix': '/talk/',
    'kind': 'streaming',
    'timeout_ms': 30_000,
    'target_latency_ms': 2000,
    'service': 'app',
}


class ReadingServer(AppServer):
    """Read whole requests; answer some with a long stream of events."""

    def make_response(self, attempt_id):
        if not attempt_id.startswith('stream'):
            return make_response(b'found', attempt_id=attempt_id)
        events = b''.join(
            f'id: {number}\ndata: {"x" * EVENT_BYTES}\n\n'.encode()
            for number in range(STREAM_BYTES // EVENT_BYTES)
        )
        return make_response(events, attempt_id=attempt_id)

    async def _serve(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = message_from_string(head.partition('\r\n')[2])
                await reader.readexactly(int(fields.get('Content-Length', 0)))
                attempt_id = fields['X-Monsoonwall-Attempt-Id']
                writer.write(self.make_response(attempt_id))
                await writer.drain()
        writer.close()


def make_head(attempt_id, framing, method='POST', path='/look/1'):
    """Return the head of a request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: desk\r\nApi-Key: key\r\n'
        f'X-Monsoonwall-Attempt-Id: {attempt_id}\r\n'
        f'X-Monsoonwall-Deadline-Ms: 20000\r\n{framing}\r\n'
    ).encode()


def make_chunks(size, total):
    """Return the chunks of a body, without the last one."""
    chunk = f'{size:x}\r\n'.encode() + b'x' * size + b'\r\n'
    return chunk * (total // size)


class CrowdTest(GatewayProcessCase):
    """Let a crowd press on one gateway."""

    def setUp(self):
        super().setUp()
        self.app = ReadingServer()
        self.addCleanup(self.app.close)
        configuration = {
            **CONFIGURATION,
            'routes': [*CONFIGURATION['routes'], STREAM_ROUTE],
            'limits': LIMITS,
        }
        self.control(objects=[['config', 'main', configuration]])
        self.announce_server('i-1', self.app.port, 1)
        process, ports = self.start_gateway(extra=MACHINE)
        self.process = process
        self.ports = ports
        self.wait_ready(ports)
        self.assertTrue(wait_until(lambda: self.fetch('before') == 200))
        self.clients = []
        self.addCleanup(self.close_clients)

    def close_clients(self):
        for client in self.clients:
            client.close()

    def fetch(self, attempt_id):
        headers = {
            'Host': 'desk',
            'Api-Key': 'key',
            'X-Monsoonwall-Attempt-Id': attempt_id,
            'X-Monsoonwall-Deadline-Ms': '5000',
        }
        return send(
            self.ports['front'], 'POST', '/look/1', {}, headers=headers
        ).status

    def connect(self, count, receive_bytes=0):
        for _ in range(count):
            client = socket.socket()
            if receive_bytes:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            self.clients.append(client)
            client.settimeout(5)
            with suppress(OSError):
                client.connect(('127.0.0.1', self.ports['front']))
                client.setblocking(False)

    def feed(self, messages):
        """Send each client its message, as far as it is read."""
        unsent = {
            client: memoryview(message)
            for client, message in zip(self.clients, messages, strict=True)
        }
        ends_at = time.monotonic() + FEED_SECONDS
        most_descriptors = 0
        while unsent and time.monotonic() < ends_at:
            left = {
                client: self.push(client, message)
                for client, message in unsent.items()
            }
            unsent = {client: rest for client, rest in left.items() if rest}
            most_descriptors = max(most_descriptors, self.count_descriptors())
            time.sleep(0.01)
        return most_descriptors

    def push(self, client, message):
        """Send what a client can; return the rest."""
        try:
            return message[client.send(message) :]
        except BlockingIOError:
            return message
        except OSError:
            return b''

    def count_descriptors(self):
        return psutil.Process(self.process.pid).num_fds()

    def read_peak_megabytes(self):
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        kilobytes = next(
            line.split()[1]
            for line in status.splitlines()
            if line.startswith('VmHWM')
        )
        return int(kilobytes) * 1024 / BYTES_PER_MEGABYTE

    def press(self, messages):
        """Feed the crowd, and check the process meanwhile and afterwards."""
        most_descriptors = self.feed(messages)
        time.sleep(REST_SECONDS)
        self.assertIsNone(self.process.poll())
        most_descriptors = max(most_descriptors, self.count_descriptors())
        self.assertLessEqual(self.read_peak_megabytes(), MACHINE_MEGABYTES)
        self.assertLessEqual(most_descriptors, MACHINE_DESCRIPTORS)
        self.assertTrue(wait_until(lambda: self.fetch('after') == 200))

    def press_chunked(self, size, total):
        self.connect(CROWD)
        chunks = make_chunks(size, total)
        self.press(
            [
                make_head(f'a{number}', 'Transfer-Encoding: chunked\r\n')
                + chunks
                for number in range(CROWD)
            ]
        )

    def test_bodies_in_large_chunks_that_stop_short(self):
        self.press_chunked(65_536, MAX_BODY_BYTES - 65_536)

    def test_bodies_in_very_small_chunks_that_stop_short(self):
        self.press_chunked(2, 40_000)

    def test_bodies_over_the_limit_that_are_just_sent(self):
        self.press_chunked(65_536, 4 * MAX_BODY_BYTES)

    def test_bodies_over_the_limit_that_are_announced(self):
        self.connect(CROWD)
        length = 8 * MAX_BODY_BYTES
        body = b'x' * length
        self.press(
            [
                make_head(f'a{number}', f'Content-Length: {length}\r\n') + body
                for number in range(CROWD)
            ]
        )

    def test_bodies_with_a_length_that_stop_short(self):
        self.connect(CROWD)
        length = MAX_BODY_BYTES
        body = b'x' * (length - 1)
        self.press(
            [
                make_head(f'a{number}', f'Content-Length: {length}\r\n') + body
                for number in range(CROWD)
            ]
        )

    def test_heads_that_stop_short(self):
        self.connect(SILENT_CROWD)
        padding = 'X-Padding: ' + 'x' * 16_000 + '\r\n'
        self.press(
            [
                make_head(f'a{number}', padding)[:-2]
                for number in range(SILENT_CROWD)
            ]
        )

    def test_callers_that_never_read_their_stream(self):
        self.connect(READERS, receive_bytes=4096)
        self.press(
            [
                make_head(f'stream{number}', '', 'GET', '/talk/1')
                for number in range(READERS)
            ]
        )

    def test_one_largest_body_is_served(self):
        """The limits on crowds do not meet a single client."""
        client = HTTPConnection('127.0.0.1', self.ports['front'], timeout=10)
        self.clients.append(client)
        headers = {
            'Host': 'desk',
            'Api-Key': 'key',
            'X-Monsoonwall-Attempt-Id': 'largest',
            'X-Monsoonwall-Deadline-Ms': '5000',
        }
        client.request('POST', '/look/1', b'x' * MAX_BODY_BYTES, headers)
        self.assertEqual(client.getresponse().status, 200)
