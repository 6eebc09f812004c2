"""Test how an entry host handles invalid requests."""

import os
import socket
import tempfile
import unittest
from pathlib import Path

from msgspec import json

from tests.standins.deployment import (
    API_KEY,
    Deployment,
    send,
    start_small,
    wait_until,
)

OVER_BODY_LIMIT = 1_000_001
FAR_OVER_BODY_LIMIT = 20_000_000
COMPLETIONS = '/v1/completions'
VALID = {'model': 'hotline', 'prompt': 'hi', 'max_tokens': 3}
DEEPLY_NESTED = b'{"a":' + b'[' * 100_000


class BadInputTest(unittest.TestCase):
    """Send invalid input, which must not disturb the host.

    Each request gets a stable error code, no traceback is logged, and valid
    calls still succeed afterwards.
    """

    @classmethod
    def setUpClass(cls):
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.log = Path(folder, 'log')
        os.environ['MONSOONWALL_TEST_LOG'] = str(cls.log)
        cls.addClassCleanup(os.environ.pop, 'MONSOONWALL_TEST_LOG')
        cls.deployment = cls.enterClassContext(Deployment())
        start_small(cls.deployment, engines=1, ledgers=1, entries=1)
        cls.port = cls.deployment.ports['entry-0']

    def setUp(self):
        self.log_start = len(self.log.read_bytes())

    def tearDown(self):
        reply = send(self.port, 'POST', COMPLETIONS, VALID)
        self.assertEqual(reply.status, 200, reply)
        log = self.log.read_bytes()[self.log_start :]
        self.assertNotIn(b'Traceback', log)

    def send_bytes(self, content):
        """Send raw bytes and return everything received."""
        with socket.create_connection(('127.0.0.1', self.port), 10) as caller:
            caller.sendall(content)
            caller.shutdown(socket.SHUT_WR)
            received = b''
            while chunk := caller.recv(65536):
                received += chunk
        return received

    def test_length_of_thousands_of_digits_is_refused(self):
        """Reading it raised an error, which closed the connection."""
        head = f'POST {COMPLETIONS} HTTP/1.1\r\nHost: desk\r\n'
        length = f'Content-Length: {"9" * 5000}\r\n\r\n'
        received = self.send_bytes((head + length).encode())
        self.assertIn(b'413', received.partition(b'\r\n')[0])

    def send_body(self, path, body, method='POST'):
        """Send a body unchanged; return the status and the error code."""
        with socket.create_connection(('127.0.0.1', self.port), 10) as caller:
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: here\r\n'
                f'Authorization: Bearer {API_KEY}\r\n'
                f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
            )
            caller.sendall(head.encode() + body)
            received = b''
            while chunk := caller.recv(65536):
                received += chunk
        head, _, content = received.partition(b'\r\n\r\n')
        error = json.decode(content)['error']
        self.assertIn(error['effect'], {'not_run', 'unknown'})
        return int(head.split()[1]), error['code']

    def test_malformed_bodies(self):
        for body in (
            b'',
            b'{',
            b'[]',
            b'\xff\xfe',
            b'{"model": "\xff"}',
            b'{"model": 3}',
            b'{"model": "hotline", "prompt": "hi", "max_tokens": 1e400}',
            b'{"model": "hotline", "prompt": "hi", "max_tokens": 0}',
            DEEPLY_NESTED,
        ):
            with self.subTest(body=body[:40]):
                error = self.send_body(COMPLETIONS, body)
                self.assertEqual(error, (400, 'bad_request'))

    def test_malformed_patches(self):
        for body in (
            b'',
            b'{"base": 1}',
            b'{"base": "1", "patch_id": "x", "patch": []}',
            DEEPLY_NESTED,
        ):
            with self.subTest(body=body[:40]):
                error = self.send_body('/admin/patch', body)
                self.assertEqual(error, (400, 'bad_request'))

    def test_unknown_paths_and_methods(self):
        for method, path, expected in (
            ('GET', '/nowhere', (404, 'unknown_route')),
            ('GET', '/v1/requests/nobody', (404, 'unknown_request')),
            ('GET', COMPLETIONS, (405, 'bad_request')),
            ('BREW', '/health', (405, 'bad_request')),
            ('GET', '/admin/explain?route=%ff', (400, 'bad_request')),
        ):
            with self.subTest(path=path, method=method):
                error = self.send_body(path, b'', method)
                self.assertEqual(error, expected)

    def test_large_bodies(self):
        for size in (OVER_BODY_LIMIT, FAR_OVER_BODY_LIMIT):
            with self.subTest(size=size):
                error = self.send_body(COMPLETIONS, b' ' * size)
                self.assertEqual(error, (413, 'body_too_large'))

    def test_malformed_http(self):
        for content in (
            b'\x16\x03\x01 no http',
            b'GET / HTTP/9.9\r\n\r\n',
            b'POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n',
            b'POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{',
            b'POST /v1/completions HTTP/1.1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
        ):
            with self.subTest(content=content):
                self.assertNotIn(b' 200 ', self.send_bytes(content))

    def test_caller_disconnects_during_stream(self):
        body = json.encode({**VALID, 'max_tokens': 2000, 'stream': True})
        head = (
            f'POST {COMPLETIONS} HTTP/1.1\r\nHost: here\r\n'
            f'Authorization: Bearer {API_KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        with socket.create_connection(('127.0.0.1', self.port), 10) as caller:
            caller.sendall(head.encode() + body)
            self.assertTrue(caller.recv(1))
        metrics = send(self.port, 'GET', '/metrics')
        self.assertEqual(metrics.status, 200)

    def test_slow_reader_does_not_block_others(self):
        body = json.encode({**VALID, 'max_tokens': 20_000, 'stream': True})
        head = (
            f'POST {COMPLETIONS} HTTP/1.1\r\nHost: here\r\n'
            f'Authorization: Bearer {API_KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        with socket.create_connection(('127.0.0.1', self.port), 10) as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.sendall(head.encode() + body)
            self.assertTrue(caller.recv(1))
            served = wait_until(
                lambda: (
                    send(self.port, 'POST', COMPLETIONS, VALID).status == 200
                )
            )
            self.assertTrue(served)
