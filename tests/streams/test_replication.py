"""Test copying requests to peers over gRPC, also if peers fail."""

import unittest
from dataclasses import replace
from unittest.mock import create_autospec

from grpc.aio import insecure_channel, server

from monsoonwall.clocks import SystemClock
from monsoonwall.decisions.copies import parse_origin
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.pipeline.answers import Answer
from monsoonwall.pipeline.messages import Call, Chunk, Priority
from monsoonwall.streams.copy_store import CopyStore
from monsoonwall.streams.replication import Replicator
from monsoonwall.streams.runner import AnswerRunner
from monsoonwall.streams.servicer import AnswersService
from tests.standins.ports import find_free_port

CALL = Call(
    request_id='own.1',
    workspace='depot',
    route='hotline',
    service='assistant',
    priority=Priority.interactive,
    idempotent=True,
    idempotency_key=None,
    deadline=0,
    content_key='key',
    prompt='hi',
    max_tokens=9,
    seed=7,
    chat=True,
)
OWN = Peer('own', 'zone-a', 'north', 'own:1', 1)


class StaticPeers(Peers):
    """Hold a fixed list of peers."""

    def __init__(self):
        self.peers = []
        self.channels = {}

    def list_peers(self):
        return tuple(self.peers)

    def find_channel(self, name):
        return self.channels.get(name)

    def add(self, name, port):
        self.peers.append(Peer(name, 'zone-b', 'north', f'127.0.0.1:{port}', 1))
        self.channels[name] = insecure_channel(f'127.0.0.1:{port}')


class ReplicationTest(unittest.IsolatedAsyncioTestCase):
    """Replicate to holders that respond and to some that do not."""

    async def asyncSetUp(self):
        self.clock = SystemClock()
        self.peers = StaticPeers()
        self.replicator = Replicator(OWN, self.peers, self.clock)
        deadline = self.clock.read_monotonic() + 60
        self.call = replace(CALL, deadline=deadline)

    async def start_holder(self, name):
        copy_store = CopyStore(self.clock)
        self.runner = create_autospec(AnswerRunner, instance=True)
        self.runner.find_answer.return_value = None
        grpc_server = server()
        AnswersService(self.runner, copy_store).register(grpc_server)
        port = grpc_server.add_insecure_port('127.0.0.1:0')
        await grpc_server.start()
        self.addAsyncCleanup(grpc_server.stop, 0)
        self.peers.add(name, port)
        return copy_store

    async def place(self):
        return await self.replicator.place(self.call, 'v1', False)

    def add_tokens(self, answer, attempt, *tokens):
        answer.begin_attempt(attempt)
        request_id = answer.call.request_id
        offset = len(answer.tokens)
        answer.add_chunk(Chunk(request_id, attempt, offset, tokens))

    async def test_copy_is_placed_before_the_answer_starts(self):
        copy_store = await self.start_holder('holder')
        answer = await self.place()
        request_id = answer.call.request_id
        self.assertEqual(parse_origin(request_id).holder, 'holder')
        held = copy_store.pop_answer(request_id)
        expected = replace(answer.call, deadline=held.call.deadline)
        self.assertEqual(held.call, expected)
        self.assertAlmostEqual(
            held.call.deadline, answer.call.deadline, delta=1
        )
        self.assertEqual((held.version, held.takeovers), ('v1', 1))

    async def test_unresponsive_peer_is_skipped(self):
        # The silent peer refuses connections; half the copies would go to it.
        self.peers.add('silent', find_free_port())
        copy_store = await self.start_holder('holder')
        answers = [await self.place() for _ in range(4)]
        self.assertEqual(
            {parse_origin(answer.call.request_id).holder for answer in answers},
            {'holder'},
        )
        self.assertGreater(len(copy_store), 0)

    async def test_host_without_peers_still_serves(self):
        answer = await self.place()
        self.assertEqual(parse_origin(answer.call.request_id).holder, '')
        copy_store = await self.start_holder('holder')
        await self.replicator.send_progress()
        self.assertIsNotNone(copy_store.find(answer.call.request_id))

    async def test_progress_reaches_the_holder(self):
        copy_store = await self.start_holder('holder')
        answer = await self.place()
        self.add_tokens(answer, 1, 'a', 'b')
        await self.replicator.send_progress()
        self.add_tokens(answer, 2, 'c')
        await self.replicator.send_progress()
        held = copy_store.pop_answer(answer.call.request_id)
        self.assertEqual(held.tokens, ['a', 'b', 'c'])
        self.assertGreater(held.next_attempt, answer.next_attempt)

    async def test_first_tokens_are_sent_before_the_next_progress(self):
        # A holder without any tokens would restart the answer.
        copy_store = await self.start_holder('holder')
        answer = await self.place()
        await self.replicator.send_first_progress()
        self.add_tokens(answer, 1, 'a')
        await self.replicator.send_first_progress()
        self.add_tokens(answer, 2, 'b')
        await self.replicator.send_first_progress()
        held = copy_store.pop_answer(answer.call.request_id)
        self.assertEqual(held.tokens, ['a'])

    async def test_taken_over_answer_is_copied_before_the_next_progress(self):
        # Until it is copied, the answer would be lost together with this host.
        answer = Answer(self.call, 'v1', False)
        self.replicator.track(answer)
        copy_store = await self.start_holder('holder')
        await self.replicator.send_first_progress()
        self.assertIsNotNone(copy_store.find(answer.call.request_id))

    async def test_restarted_holder_gets_the_whole_copy_again(self):
        copy_store = await self.start_holder('holder')
        answer = await self.place()
        self.add_tokens(answer, 1, 'a')
        await self.replicator.send_progress()
        # A restarted holder has lost its copies.
        copy_store.pop_answer(answer.call.request_id)
        self.add_tokens(answer, 2, 'b')
        await self.replicator.send_progress()
        await self.replicator.send_progress()
        held = copy_store.pop_answer(answer.call.request_id)
        self.assertEqual(held.tokens, ['a', 'b'])

    async def test_owner_stops_once_the_holder_has_taken_over(self):
        await self.start_holder('holder')
        answer = await self.place()
        taken_over = Answer(answer.call, takeovers=1)
        self.runner.find_answer.return_value = taken_over
        self.add_tokens(answer, 1, 'a')
        await self.replicator.send_progress()
        self.assertTrue(answer.handed_over)

    async def test_ended_answer_is_kept_for_its_caller(self):
        copy_store = await self.start_holder('holder')
        answer = await self.place()
        self.add_tokens(answer, 1, 'a')
        answer.finish()
        await self.replicator.send_progress()
        held = copy_store.pop_answer(answer.call.request_id)
        self.assertEqual((held.tokens, held.finished), (['a'], True))

    async def test_handover_sends_the_whole_answer(self):
        copy_store = await self.start_holder('holder')
        answer = await self.place()
        self.add_tokens(answer, 1, 'a', 'b')
        accepted = await self.replicator.hand_over([answer])
        self.assertEqual(accepted, 1)
        self.assertTrue(answer.handed_over)
        request_id = answer.call.request_id
        self.runner.take_over.assert_called_once_with(request_id, 'handed_over')
        self.assertEqual(copy_store.pop_answer(request_id).tokens, ['a', 'b'])
