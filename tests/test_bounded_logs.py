"""Write logs that no reader can hold up and no load can swell."""

import os
import unittest

from msgspec import json

from monsoonwall.logs import BoundedOutput


class BoundedOutputTest(unittest.TestCase):
    """Write to a pipe that is read late or not at all."""

    def setUp(self):
        pipe = os.pipe()
        self.read_end = pipe[0]
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, pipe[1])
        os.set_blocking(self.read_end, False)
        self.output = BoundedOutput(pipe[1])

    def read(self):
        content = b''
        while True:
            try:
                content += os.read(self.read_end, 1_000_000)
            except BlockingIOError:
                return content.splitlines()

    def test_stalled_reader_only_loses_lines(self):
        for number in range(400):
            self.output.write(f'kind {number}', b'x' * 10_000 + b'\n')
        lines = self.read()
        self.assertGreater(len(lines), 2)
        self.assertLess(len(lines), 400)
        # What waited is written once there is room, in whole lines.
        self.output.write('later', b'later\n')
        self.read()
        self.output.write('last', b'last\n')
        self.assertTrue(all(line.strip(b'x') == b'' for line in lines[:-1]))

    def test_repeated_message_is_rate_limited(self):
        for _ in range(5000):
            self.output.write('same', b'same\n')
        self.output.write('other', b'other\n')
        lines = self.read()
        # The second may change while the test runs.
        self.assertLessEqual(lines.count(b'same'), 200)
        self.assertEqual(lines.count(b'other'), 1)

    def test_dropped_lines_are_counted(self):
        for _ in range(500):
            self.output.write('same', b'same\n')
        self.output._second = 0
        self.output.write('same', b'same\n')
        counts = [
            json.decode(line)['count']
            for line in self.read()
            if line.startswith(b'{')
        ]
        self.assertGreaterEqual(sum(counts), 300)
