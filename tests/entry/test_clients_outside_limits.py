"""Send bodies that stop short to the own interface of an entry host."""

import socket
import tempfile
import time
import unittest
from contextlib import suppress
from pathlib import Path

import psutil

from tests.standins.deployment import (
    API_KEY,
    Deployment,
    make_document,
    send,
    wait_until,
)

MACHINE_MEGABYTES = 110
MACHINE_DESCRIPTORS = 400
BYTES_PER_MEGABYTE = 1_048_576
MAX_BODY_BYTES = 1_000_000
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
CROWD = 90
FEED_SECONDS = 5.0
REST_SECONDS = 2.0
COMPLETIONS = '/v1/completions'
HEAD = (
    f'POST {COMPLETIONS} HTTP/1.1\r\nHost: desk\r\n'
    f'Authorization: Bearer {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n'
).encode()


class CrowdTest(unittest.TestCase):
    """Let a crowd press on one entry host."""

    def test_bodies_in_large_chunks_that_stop_short(self):
        self.enterContext(tempfile.TemporaryDirectory())
        deployment = self.enterContext(Deployment())
        deployment.start_platform()
        deployment.start_engine('engine-0')
        deployment.put_configuration(
            make_document(deployment, ['engine-0'], [])
        )
        deployment.start_entry(
            'entry-0',
            'zone-a',
            f'--memory_megabytes={MACHINE_MEGABYTES}',
            f'--max_descriptors={MACHINE_DESCRIPTORS}',
        )
        deployment.wait_ready('entry-0')
        port = deployment.ports['entry-0']
        process = psutil.Process(deployment.processes['entry-0'].pid)
        self.feed(port, HEAD + CHUNK * (MAX_BODY_BYTES // 65_536))
        time.sleep(REST_SECONDS)
        self.assertTrue(process.is_running())
        status = Path(f'/proc/{process.pid}/status').read_text()
        peak = next(
            line.split()[1]
            for line in status.splitlines()
            if line.startswith('VmHWM')
        )
        self.assertLessEqual(
            int(peak) * 1024 / BYTES_PER_MEGABYTE, MACHINE_MEGABYTES
        )
        self.assertLessEqual(process.num_fds(), MACHINE_DESCRIPTORS)
        prompt = {'model': 'hotline', 'prompt': 'hi', 'max_tokens': 3}
        self.assertTrue(
            wait_until(
                lambda: send(port, 'POST', COMPLETIONS, prompt).status == 200
            )
        )

    def feed(self, port, message):
        """Send a crowd's messages, as far as they are read."""
        unsent = {}
        for _ in range(CROWD):
            client = self.enterContext(
                socket.create_connection(('127.0.0.1', port))
            )
            client.setblocking(False)
            unsent[client] = memoryview(message)
        ends_at = time.monotonic() + FEED_SECONDS
        while time.monotonic() < ends_at:
            for client, left in unsent.items():
                with suppress(OSError):
                    unsent[client] = left[client.send(left) :]
            time.sleep(0.01)


if __name__ == '__main__':
    unittest.main()
