"""Test requests end to end with separate processes."""

import unittest

from tests.standins.deployment import Deployment, start_small
from tests.standins.engine import make_token


class WholePathTest(unittest.TestCase):
    """Call a small deployment over HTTP."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(Deployment())
        start_small(cls.deployment)

    def test_whole_answer(self):
        reply = self.deployment.send(
            'entry-0',
            'POST',
            '/v1/completions',
            {'model': 'hotline', 'prompt': 'hi', 'max_tokens': 5, 'seed': 7},
        )
        expected = ''.join(
            make_token(7, 'hi', position) for position in range(5)
        )
        self.assertEqual(
            reply.read_json()['choices'][0]['text'], expected, reply
        )

    def test_streamed_chat(self):
        reply = self.deployment.send(
            'entry-1',
            'POST',
            '/v1/chat/completions',
            {
                'model': 'summary',
                'messages': [{'role': 'user', 'content': 'hi'}],
                'max_tokens': 5,
                'stream': True,
            },
        )
        self.assertEqual(reply.status, 200)
        self.assertTrue(reply.body.endswith(b'data: [DONE]\n\n'))

    def test_reservation(self):
        reply = self.deployment.send(
            'entry-2',
            'POST',
            '/services/ledger/reservations',
            {'packets': 4},
            {'Idempotency-Key': 'household-1'},
        )
        self.assertEqual(reply.read_json()['key'], 'household-1')

    def test_unknown_route(self):
        reply = self.deployment.send(
            'entry-0',
            'POST',
            '/v1/completions',
            {'model': 'nothing', 'prompt': 'hi'},
        )
        self.assertEqual(reply.status, 404)
        error = reply.read_json()['error']
        self.assertEqual(error['code'], 'unknown_route')
        self.assertEqual(error['effect'], 'not_run')

    def test_unknown_key_is_refused_before_the_body_is_parsed(self):
        reply = self.deployment.send(
            'entry-0',
            'POST',
            '/v1/completions',
            {'model': 7},
            {'Authorization': 'Bearer nobody'},
        )
        self.assertEqual(reply.status, 401)
