"""Refuse first attempts, retries and moved runs of crashing requests."""

import asyncio

from msgspec import json

from monsoonwall.decisions.crashing_requests import CrashRecord
from monsoonwall.gateway.engines import MoveResult
from monsoonwall.gateway.model import Prompt, PromptPart
from tests.gateway.fakes import RecordingCaller
from tests.gateway.test_proxy import (
    STREAM_HEAD,
    ProxyHandlerCase,
    chunk,
    make_event,
)
from tests.standins.raw_server import make_response


class ScreeningTest(ProxyHandlerCase):
    """Give a host crash records before or while it serves a request."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        self.primary = self.servers[0]

    def record_crash(self, path, server, isolated):
        """Record that a server crashed while running a request."""
        request = self.make_request(path)
        admitted = self.admission_check.admit(request).unwrap()
        now = self.clock.read_wall()
        self.screener.screening.extend_expiry(
            [CrashRecord(now, now, server, admitted.call.content_key, isolated)]
        )

    def convict(self, path):
        self.record_crash(path, 's1', False)
        self.record_crash(path, 's2', True)

    async def check_refused(self, path, effect):
        caller = await self.send_request(path)
        refusal = json.decode(caller.body)
        self.assertEqual(refusal['error'], 'crashing_request')
        self.assertEqual(refusal['effect'], effect)
        self.assertGreater(float(caller.headers['Retry-After']), 0)
        return caller

    async def test_convicted_request_is_refused_at_once(self):
        self.convict('/look/1')
        caller = await self.check_refused('/look/1', 'not_run')
        self.assertEqual(caller.status, 503)
        self.assertEqual(self.count_arrivals(), [0, 0])

    def make_prompt(self, *part_ids):
        parts = tuple(PromptPart(part_id, 10) for part_id in part_ids)
        return Prompt('m', parts, 30, 10)

    async def test_requests_with_a_convicted_part_are_refused(self):
        prompt = self.make_prompt('aa', 'bad', 'own')
        request = self.make_request('/look/1', prompt=prompt)
        call = self.admission_check.admit(request).unwrap().call
        for turn in range(3):
            now = self.clock.read_wall()
            self.screener.screening.parts.record_crash(
                call, CrashRecord(now, now, f's{turn}', 'content', False)
            )
        sound = self.make_request(
            '/look/2', prompt=self.make_prompt('aa', 'cc', 'own')
        )
        # Parts that ran in the same crashes are told apart by requests with
        # some of them.
        for server in self.servers:
            server.responses.append([make_response(b'a')])
        caller = RecordingCaller()
        await self.handler.serve(sound, caller)
        self.assertEqual(caller.status, 200)
        caller = await self.send_request(
            '/look/3', prompt=self.make_prompt('aa', 'bad', 'other')
        )
        self.assertEqual(caller.status, 503)
        self.assertEqual(json.decode(caller.body)['error'], 'crashing_request')
        self.assertGreater(float(caller.headers['Retry-After']), 0)

    async def test_last_part_of_a_prompt_is_not_shared(self):
        request = self.make_request(
            '/look/1', prompt=self.make_prompt('aa', 'own')
        )
        call = self.admission_check.admit(request).unwrap().call
        self.assertEqual([key[-3:] for key in call.part_keys], ['/aa'])

    async def test_other_callers_and_paths_are_served(self):
        self.convict('/look/1')
        # On a slow machine a request may be retried at the second server.
        for server in self.servers:
            server.responses += [[make_response(b'a')], [make_response(b'b')]]
        self.assertEqual((await self.send_request('/look/2')).status, 200)
        other = await self.send_request('/look/1', key='small-key')
        self.assertEqual(other.status, 200)

    async def test_request_convicted_while_running_is_not_retried(self):
        self.primary.responses.append([0.1, 'reset'])
        serving_task = asyncio.create_task(
            self.check_refused('/look/1', 'unknown')
        )
        await asyncio.sleep(0.05)
        self.convict('/look/1')
        caller = await serving_task
        self.assertEqual(caller.status, 502)
        self.assertEqual(self.count_arrivals(), [1, 0])

    async def test_run_convicted_while_moving_is_not_resumed(self):
        self.engines.move_result = MoveResult('h1', copied=True)
        self.primary.responses.append(
            [STREAM_HEAD, chunk(make_event(1)), 0.4, 'close']
        )
        mover_task = asyncio.create_task(self.run_mover.run())
        serving_task = asyncio.create_task(self.send_request('/draft/1'))
        await asyncio.sleep(0.1)
        self.publish_server(0, 9, 'draining')
        self.convict('/draft/1')
        caller = await serving_task
        mover_task.cancel()
        self.assertEqual(caller.ending, 'cut')
        self.assertEqual(self.engines.moves, [('a1', 'i-0', 'i-1')])
        self.assertEqual(self.count_arrivals(), [1, 0])

    async def test_suspect_is_sent_one_at_a_time(self):
        self.record_crash('/look/1', 's1', False)
        self.primary.responses += [
            [0.2, make_response(b'ok')],
            [make_response(b'ok')],
        ]
        first = asyncio.create_task(self.send_request('/look/1'))
        await asyncio.sleep(0.05)
        caller = await self.check_refused('/look/1', 'not_run')
        self.assertEqual(caller.status, 503)
        self.assertLess(float(caller.headers['Retry-After']), 2)
        self.assertEqual((await first).status, 200)
        # The completed attempt cleared the suspicion.
        self.assertEqual((await self.send_request('/look/1')).status, 200)

    async def test_suspects_run_at_different_servers(self):
        for number in range(2):
            self.record_crash(f'/look/{number}', 's1', False)
        for server in self.servers:
            server.responses.append([0.1, make_response(b'ok')])
        callers = await asyncio.gather(
            *(self.send_request(f'/look/{suspect}') for suspect in range(2))
        )
        self.assertEqual({caller.status for caller in callers}, {200})
        self.assertEqual(self.count_arrivals(), [1, 1])

    async def test_silent_server_of_an_unrepeatable_request_was_not_inspected(
        self,
    ):
        """Such requests silenced one server after the other.

        The deadline ended their attempts, and nothing recorded them.
        """
        self.primary.responses.append([2])
        caller = await self.send_request('/reserve/1')
        self.assertEqual(caller.status, 504)
        request = self.make_request('/reserve/1')
        call = self.admission_check.admit(request).unwrap().call
        screening = self.screener.screening
        crash = screening.find_pending_crash(call.content_key)
        self.assertEqual(crash.server, 'i-0@0')
        health = self.loads.find_health(self.record_cache.find_server('i-0'))
        self.assertTrue(health.is_ejected(self.clock.read_monotonic()))

    async def test_server_whose_caller_left_early_is_not_suspected(self):
        self.primary.responses.append([2])
        serving_task = asyncio.create_task(self.send_request('/reserve/1'))
        await asyncio.sleep(0.1)
        serving_task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serving_task
        health = self.loads.find_health(self.record_cache.find_server('i-0'))
        self.assertFalse(health.is_ejected(self.clock.read_monotonic()))
