"""Test that leaving and frozen backend servers get no new work."""

import signal
import time
import unittest

from tests.standins.deployment import Deployment, start_small

ENTRIES = 3
# The goal: no new work this long after any host has received the notice.
NOTICE_SECONDS = 3
# Polls detect a frozen engine, and the hosts then publish that.
FREEZE_DETECTION_SECONDS = 5


class LeavingServersTest(unittest.TestCase):
    """Run a small fleet and take one engine out of it."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(Deployment())
        start_small(cls.deployment, 3, 0, ENTRIES)

    def send_call(self, number):
        return self.deployment.send(
            f'entry-{number % ENTRIES}',
            'POST',
            '/v1/completions',
            {
                'model': 'hotline',
                'prompt': f'question {number} {time.monotonic()}',
                'max_tokens': 3,
            },
        )

    def count_executed(self, name):
        return len(
            self.deployment.send(name, 'GET', '/control').read_json()[
                'executed'
            ]
        )

    def test_leaving_engine_gets_no_new_work(self):
        self.deployment.control('engine-0', leaving=True)
        time.sleep(NOTICE_SECONDS)
        executed_before = self.count_executed('engine-0')
        replies = [self.send_call(number) for number in range(30)]
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(self.count_executed('engine-0'), executed_before)

    def test_unresponsive_engine_gets_no_new_work(self):
        executed_before = self.count_executed('engine-1')
        self.deployment.signal('engine-1', signal.SIGSTOP)
        time.sleep(FREEZE_DETECTION_SECONDS)
        try:
            replies = [self.send_call(number) for number in range(12)]
        finally:
            self.deployment.signal('engine-1', signal.SIGCONT)
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(self.count_executed('engine-1'), executed_before)
