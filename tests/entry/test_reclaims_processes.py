"""Test running streams whose engines are reclaimed, killed or faulty."""

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.standins.callers import Caller
from tests.standins.deployment import Deployment, start_small, wait_until
from tests.standins.engine import make_token

ANSWER_TOKENS = 60
ENGINES = tuple(f'engine-{index}' for index in range(6))
ZONE_ENGINES = tuple(
    [f'engine-{index}', f'engine-{index + 3}'] for index in range(3)
)
ENTRIES = tuple(f'entry-{index}' for index in range(3))
STREAMS = 12
DISTURBANCES = ({'disturb': 'twice'}, {'disturb': 'gaps'}, {'foreign': 'other'})


def make_prompt(number):
    """Return a prompt long enough that moving its cache pays off."""
    return f'audit {number} ' + 'wheel dresser log ' * 100


def make_answer(number):
    prompt = make_prompt(number)
    tokens = [
        make_token(number, prompt, position)
        for position in range(ANSWER_TOKENS)
    ]
    return ''.join(tokens)


class StreamCase(unittest.TestCase):
    """Run streams on six engines in three zones.

    Each caller must get its whole answer, without gaps or repeated tokens.
    """

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(Deployment())
        cloud = cls.deployment.start_cloud()
        start_small(
            cls.deployment,
            engines=len(ENGINES),
            ledgers=0,
            entries=len(ENTRIES),
            flags=(cloud,),
        )

    def setUp(self):
        for name in ENGINES:
            if name not in self.deployment.processes:
                self.deployment.start_engine(name)
            self.deployment.control(name, token_seconds=0.03)
        self.pool = self.enterContext(ThreadPoolExecutor(STREAMS))
        self.callers = [Caller() for _ in range(STREAMS)]

    def start_streams(self):
        """Start all streams and read some tokens of each."""
        for number, caller in enumerate(self.callers):
            caller.begin(
                self.deployment.ports[ENTRIES[number % len(ENTRIES)]],
                prompt=make_prompt(number),
                max_tokens=ANSWER_TOKENS,
                seed=number,
            )
        for caller in self.callers:
            caller.read(5)

    def reclaim(self, engines, seconds):
        self.deployment.send(
            'cloud',
            'POST',
            '/reclaims',
            {'servers': engines, 'seconds': seconds},
        )

    def sum_reports(self, field, engines):
        return sum(
            self.deployment.send(engine, 'GET', '/control').read_json()[field]
            for engine in engines
        )

    def assert_whole_answers(self):
        list(self.pool.map(Caller.read, self.callers))
        for number, caller in enumerate(self.callers):
            self.assertEqual(caller.errors, [])
            self.assertEqual(caller.text, make_answer(number))
            self.assertTrue(caller.done)

    def sum_samples(self, sample):
        total = 0
        for name in ENTRIES:
            metrics = self.deployment.send(name, 'GET', '/metrics').body
            for line in metrics.decode().splitlines():
                if line.startswith(sample):
                    total += float(line.split()[-1])
        return total


class ZoneLossTest(StreamCase):
    """Kill a zone of a deployment in which no engine was reclaimed.

    A reclaimed engine's name gets no work for a while, so after a reclaim the
    zone with the streams may be the only one that gets work.
    """

    def test_zone_killed_without_notice(self):
        self.start_streams()
        zone = max(
            ZONE_ENGINES, key=lambda zone: self.sum_reports('running', zone)
        )
        self.assertGreater(self.sum_reports('running', zone), 0)
        for name in zone:
            self.deployment.kill(name)
        self.assert_whole_answers()


class ReclaimTest(StreamCase):
    """Reclaim, freeze or disturb engines that run streams."""

    def test_two_zones_reclaimed_in_turn(self):
        self.start_streams()
        # The two zones with the most streams are reclaimed.
        first, second, remaining = sorted(
            ZONE_ENGINES,
            key=lambda zone: self.sum_reports('running', zone),
            reverse=True,
        )
        recomputed = self.sum_reports('recomputed', remaining)
        crash_sample = 'monsoonwall_retries_total{ending="crashed"}'
        crashes = self.sum_samples(crash_sample)
        self.assertGreater(self.sum_reports('running', first), 0)
        self.reclaim(first, 1.5)
        self.reclaim(second, 2)
        deadline = time.monotonic() + 2
        self.assertTrue(
            wait_until(lambda: not self.sum_reports('running', first + second))
        )
        while time.monotonic() < deadline:
            time.sleep(0.05)
        for name in first + second:
            self.deployment.kill(name)
        self.assert_whole_answers()
        moved = self.sum_samples('monsoonwall_stream_moves_total')
        self.assertGreater(moved, 0)
        self.assertEqual(self.sum_samples(crash_sample), crashes)
        # A restart would have recomputed the whole prompt of each moved stream.
        prompt_words = len(make_prompt(0).split())
        self.assertLess(
            self.sum_reports('recomputed', remaining) - recomputed,
            0.05 * moved * prompt_words,
        )

    def test_frozen_engine(self):
        # Cancellations reach a frozen engine late, or are ignored.
        for name in ENGINES:
            self.deployment.control(
                name, token_seconds=0.03, ignore_cancel=True
            )
        self.start_streams()
        frozen = max(
            ENGINES, key=lambda engine: self.sum_reports('running', [engine])
        )
        timeout_sample = 'monsoonwall_retries_total{ending="timed_out"}'
        timeouts = self.sum_samples(timeout_sample)
        self.deployment.signal(frozen, signal.SIGSTOP)
        self.addCleanup(self.deployment.signal, frozen, signal.SIGCONT)
        self.assertTrue(
            wait_until(lambda: self.sum_samples(timeout_sample) > timeouts)
        )
        self.deployment.signal(frozen, signal.SIGCONT)
        self.assert_whole_answers()
        late_sample = 'monsoonwall_dropped_chunks_total{reason="late"}'
        self.assertGreater(self.sum_samples(late_sample), 0)

    def disturb_engines_with_streams(self):
        """Move the faults of idle engines to engines with streams."""
        busy = sorted(
            ENGINES[len(DISTURBANCES) :],
            key=lambda name: self.sum_reports('running', [name]),
        )
        for name, faults in zip(ENGINES, DISTURBANCES, strict=False):
            if not self.sum_reports('running', [name]):
                self.deployment.control(
                    busy.pop(), token_seconds=0.03, **faults
                )

    def test_engines_that_repeat_skip_and_cross_chunks(self):
        for name, faults in zip(ENGINES, DISTURBANCES, strict=False):
            self.deployment.control(name, token_seconds=0.03, **faults)
        self.start_streams()
        self.disturb_engines_with_streams()
        self.assert_whole_answers()
        dropped = 'monsoonwall_dropped_chunks_total{reason="'
        for reason in ('repeated', 'missing', 'foreign'):
            self.assertGreater(self.sum_samples(f'{dropped}{reason}'), 0)
