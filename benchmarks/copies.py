"""Measure what keeping each request on a second host costs a node.

Two replicators in one process, each the holder of the other's copies, so
that processor time is that of a node which sends and holds: clients and
servers of gRPC on loopback. The load is that of a node at the target, 18
requests and 7,200 tokens a second, with prompts of 2,000 characters.
"""

import asyncio
import sys
import time
import tracemalloc
from dataclasses import replace

from grpc.aio import Channel, insecure_channel, server
from prometheus_client import REGISTRY

from monsoonwall.clocks import SystemClock
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.pipeline.answers import Answer, AnswerTable
from monsoonwall.pipeline.messages import Call, Chunk, Priority
from monsoonwall.streams.codec import encode_progress, encode_request
from monsoonwall.streams.copy_store import CopyStore
from monsoonwall.streams.replication import PROGRESS_SECONDS, Replicator
from monsoonwall.streams.runner import AnswerRunner
from monsoonwall.streams.servicer import AnswersService

REQUESTS_PER_SECOND = 18
TOKENS_PER_SECOND = 7200
ANSWER_TOKENS = TOKENS_PER_SECOND // REQUESTS_PER_SECOND
ANSWER_SECONDS = 10
MILLISECONDS = 1000
MEASURED_SECONDS = 20
PROMPT = 'ration ' * 285


class NoRunner(AnswerRunner):
    """Run nothing."""

    def __init__(self) -> None:
        self._answers = AnswerTable()

    def find_answer(self, request_id: str) -> Answer | None:
        return self._answers.find(request_id)

    def take_over(self, request_id: str, reason: str) -> Answer | None:
        return self._answers.find(request_id)


class FixedPeers(Peers):
    """Know the same other hosts all the time."""

    def __init__(self, *peers: Peer) -> None:
        self._peers = peers
        self._channels = {
            peer.name: insecure_channel(peer.address) for peer in peers
        }

    def list_peers(self) -> tuple[Peer, ...]:
        return self._peers

    def find_channel(self, name: str) -> Channel | None:
        return self._channels.get(name)


class Node:
    """Own one host's part of the exchange."""

    def __init__(self, name: str, clock: SystemClock) -> None:
        self.name = name
        self.clock = clock
        self.holdings = CopyStore(clock)
        self.answers: list[Answer] = []
        self.number = 0
        self.connect()

    async def start(self) -> Peer:
        serving = server()
        AnswersService(NoRunner(), self.holdings).register(serving)
        port = serving.add_insecure_port('127.0.0.1:0')
        await serving.start()
        self._serving = serving
        return Peer(self.name, self.name, 'north', f'127.0.0.1:{port}', 1)

    def connect(self, *peers: Peer) -> None:
        own = Peer(self.name, self.name, 'north', '', 1)
        self.replicator = Replicator(own, FixedPeers(*peers), self.clock)

    async def load(self, seconds: float) -> None:
        """Accept requests and let their answers grow."""
        begin = self.clock.read_monotonic()
        sending = asyncio.create_task(self.replicator.run())
        step = 1 / REQUESTS_PER_SECOND
        for index in range(int(seconds * REQUESTS_PER_SECOND)):
            await self._accept()
            self._grow()
            due = begin + (index + 1) * step
            await asyncio.sleep(max(0, due - self.clock.read_monotonic()))
        sending.cancel()

    async def _accept(self) -> None:
        self.number += 1
        call = replace(
            CALL,
            request_id=f'{self.name}.{self.number}',
            deadline=self.clock.read_monotonic() + 60,
        )
        self.answers.append(await self.replicator.place(call, 'v1', False))
        self.answers[-1].begin_attempt(1)

    def _grow(self) -> None:
        concurrent = REQUESTS_PER_SECOND * ANSWER_SECONDS
        self.answers = self.answers[-concurrent:]
        per_step = TOKENS_PER_SECOND // REQUESTS_PER_SECOND
        for index in range(per_step):
            answer = self.answers[index * len(self.answers) // per_step]
            request_id = answer.call.request_id
            offset = len(answer.tokens)
            answer.add_chunk(Chunk(request_id, 1, offset, ('abcd ',)))


CALL = Call(
    request_id='',
    workspace='depot',
    route='hotline',
    service='assistant',
    priority=Priority.interactive,
    idempotent=True,
    idempotency_key=None,
    deadline=0,
    content_key='0' * 32,
    prompt=PROMPT,
    max_tokens=ANSWER_TOKENS * 10,
    seed=7,
)


async def measure() -> None:
    """Print what one node spends a second."""
    clock = SystemClock()
    alone = await measure_load([Node('alone', clock), Node('other', clock)])
    nodes = [Node('left', clock), Node('right', clock)]
    peers = [await node.start() for node in nodes]
    nodes[0].connect(peers[1])
    nodes[1].connect(peers[0])
    copying = await measure_load(nodes)
    per_node = len(nodes) * MEASURED_SECONDS
    held = sum(len(node.holdings) for node in nodes) / len(nodes)
    print(f'requests a second a node: {REQUESTS_PER_SECOND}')
    print(f'batches a second a node: {read_sent("messages") / per_node:.1f}')
    print(f'bytes sent a second a node: {read_sent("bytes") / per_node:.0f}')
    print(f'processor ms a second a node without copies: {alone:.1f}')
    print(f'processor ms a second a node with copies: {copying:.1f}')
    print(f'copies held a node: {held:.0f}')
    print(f'progress lag at most {PROGRESS_SECONDS} s plus one call')


def read_sent(what: str) -> float:
    """Return a counter of what was sent to peers."""
    labels = {'direction': 'sent'}
    if what == 'messages':
        labels['message'] = 'copies'
    name = f'monsoonwall_mesh_{what}_total'
    return REGISTRY.get_sample_value(name, labels) or 0


async def measure_load(nodes: list[Node]) -> float:
    """Return the processor milliseconds a second of one node."""
    begin = time.process_time()
    await asyncio.gather(*(node.load(MEASURED_SECONDS) for node in nodes))
    spent = time.process_time() - begin
    return spent * MILLISECONDS / MEASURED_SECONDS / len(nodes)


def measure_memory() -> None:
    """Print what one held copy takes."""
    clock = SystemClock()
    holdings = CopyStore(clock)
    count = 500
    tracemalloc.start()
    for number in range(count):
        hold_copy(holdings, clock, number)
    held, _ = tracemalloc.get_traced_memory()
    print(f'bytes a held copy of 400 tokens, Python part: {held // count}')


def hold_copy(holdings: CopyStore, clock: SystemClock, number: int) -> None:
    """Hold a copy of a whole answer as it arrives from a peer."""
    call = replace(
        CALL,
        request_id=f'left.{number}',
        deadline=clock.read_monotonic() + 60,
    )
    tokens = tuple(f'{position:04} ' for position in range(ANSWER_TOKENS))
    answer = Answer(call, 'v1', tokens=tokens)
    copy = type(encode_request(answer, clock)).FromString(
        encode_request(answer, clock).SerializeToString()
    )
    progress = encode_progress(answer, 0)
    holdings.add('left', copy)
    holdings.apply_progress(
        type(progress).FromString(progress.SerializeToString())
    )


if __name__ == '__main__':
    asyncio.run(measure())
    measure_memory()
    sys.exit(0)
