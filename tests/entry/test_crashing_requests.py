"""Test requests that crash every server that runs them."""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.standins.deployment import Deployment, start_small
from tests.standins.engine import make_token

ENGINES = 4
ENTRIES = 3
# The goal: one such request crashes at most two servers in the whole fleet.
MAX_LOST_SERVERS = 2
TOKENS = 75


class CrashingRequestsTest(unittest.TestCase):
    """Run a small fleet whose engines crash on a certain prompt.

    Retries must not spread the crash over the fleet, and requests that merely
    ran on a lost server must not be refused.
    """

    def setUp(self):
        self.deployment = self.enterContext(Deployment())
        start_small(self.deployment, ENGINES, 0, ENTRIES)
        self.engines = [f'engine-{number}' for number in range(ENGINES)]
        for name in self.engines:
            self.deployment.control(name, crash_on='poison', token_seconds=0.02)

    def send_call(self, number, prompt, tokens=5, model='hotline'):
        return self.deployment.send(
            f'entry-{number % ENTRIES}',
            'POST',
            '/v1/completions',
            {'model': model, 'prompt': prompt, 'max_tokens': tokens, 'seed': 1},
        )

    def count_lost(self):
        return sum(
            self.deployment.processes[name].poll() is not None
            for name in self.engines
        )

    def test_few_servers_are_lost_and_others_get_their_answers(self):
        with ThreadPoolExecutor(12) as callers:
            drafts = [
                callers.submit(
                    self.send_call, number, f'draft {number}', TOKENS
                )
                for number in range(9)
            ]
            time.sleep(0.5)
            replies = [self.send_call(number, 'poison') for number in range(8)]
            answers = [draft.result() for draft in drafts]
        for number, answer in enumerate(answers):
            prompt = f'draft {number}'
            expected = ''.join(
                make_token(1, prompt, position) for position in range(TOKENS)
            )
            self.assertEqual(answer.status, 200, answer)
            text = answer.read_json()['choices'][0]['text']
            self.assertEqual(text, expected)
        self.assertLessEqual(self.count_lost(), MAX_LOST_SERVERS)
        # The last three replies are from three different entry hosts.
        codes = [reply.read_json()['error']['code'] for reply in replies[-3:]]
        self.assertEqual(set(codes), {'crashing_request'})
        for number in range(9):
            repeated = self.send_call(number, f'draft {number}')
            self.assertEqual(repeated.status, 200, repeated)

    def test_killed_servers_convict_no_request(self):
        with ThreadPoolExecutor(6) as callers:
            drafts = [
                callers.submit(
                    self.send_call, number, f'draft {number}', TOKENS
                )
                for number in range(6)
            ]
            time.sleep(0.5)
            for name in ('engine-0', 'engine-1'):
                self.deployment.processes[name].kill()
            statuses = [draft.result().status for draft in drafts]
        self.assertEqual(set(statuses), {200})
        for number in range(6):
            reply = self.send_call(number + 1, f'draft {number}')
            self.assertEqual(reply.status, 200, reply)
