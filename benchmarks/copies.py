"""Measure the cost of replicating each request to a second host.

Two replicators run in one process, connected by gRPC over loopback. Each
holds the other's copies, so the processor time per host covers sending as
well as holding copies. Each host has the target load: 18 requests and 7,200
tokens per second, with prompts of 2,000 characters.

    PYTHONPATH=src:. python -m benchmarks.copies
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
MILLISECONDS_PER_SECOND = 1000
MEASURED_SECONDS = 20
PROMPT = 'ration ' * 285


class StubRunner(AnswerRunner):
    """Find answers in a table, but run no requests."""

    def __init__(self) -> None:
        self._answers = AnswerTable()

    def find_answer(self, request_id: str) -> Answer | None:
        return self._answers.find(request_id)

    def take_over(self, request_id: str, reason: str) -> Answer | None:
        return self._answers.find(request_id)


class FixedPeers(Peers):
    """Provide a fixed set of peers."""

    def __init__(self, *peers: Peer) -> None:
        self._peers = peers
        self._channels = {
            peer.name: insecure_channel(peer.address) for peer in peers
        }

    def list_peers(self) -> tuple[Peer, ...]:
        return self._peers

    def find_channel(self, name: str) -> Channel | None:
        return self._channels.get(name)


class ReplicatingHost:
    """Run the replication of one host."""

    def __init__(self, name: str, clock: SystemClock) -> None:
        self.name = name
        self.clock = clock
        self.copy_store = CopyStore(clock)
        self.answers: list[Answer] = []
        self.request_count = 0
        self.connect()

    async def start(self) -> Peer:
        grpc_server = server()
        AnswersService(StubRunner(), self.copy_store).register(grpc_server)
        port = grpc_server.add_insecure_port('127.0.0.1:0')
        await grpc_server.start()
        self._server = grpc_server
        return Peer(self.name, self.name, 'north', f'127.0.0.1:{port}', 1)

    def connect(self, *peers: Peer) -> None:
        own_peer = Peer(self.name, self.name, 'north', '', 1)
        self.replicator = Replicator(own_peer, FixedPeers(*peers), self.clock)

    async def run_load(self, seconds: float) -> None:
        """Accept requests and extend their answers at the target rates."""
        begin = self.clock.read_monotonic()
        replication = asyncio.create_task(self.replicator.run())
        step = 1 / REQUESTS_PER_SECOND
        for index in range(int(seconds * REQUESTS_PER_SECOND)):
            await self._accept()
            self._add_tokens()
            due = begin + (index + 1) * step
            await asyncio.sleep(max(0, due - self.clock.read_monotonic()))
        replication.cancel()

    async def _accept(self) -> None:
        self.request_count += 1
        call = replace(
            CALL,
            request_id=f'{self.name}.{self.request_count}',
            deadline=self.clock.read_monotonic() + 60,
        )
        self.answers.append(await self.replicator.place(call, 'v1', False))
        self.answers[-1].begin_attempt(1)

    def _add_tokens(self) -> None:
        concurrent = REQUESTS_PER_SECOND * ANSWER_SECONDS
        self.answers = self.answers[-concurrent:]
        tokens_per_step = TOKENS_PER_SECOND // REQUESTS_PER_SECOND
        for index in range(tokens_per_step):
            answer = self.answers[index * len(self.answers) // tokens_per_step]
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
    """Print the traffic and the processor time per host and second."""
    clock = SystemClock()
    without_copies = await measure_processor_time(
        [ReplicatingHost('alone', clock), ReplicatingHost('other', clock)]
    )
    hosts = [ReplicatingHost('left', clock), ReplicatingHost('right', clock)]
    peers = [await host.start() for host in hosts]
    hosts[0].connect(peers[1])
    hosts[1].connect(peers[0])
    with_copies = await measure_processor_time(hosts)
    host_seconds = len(hosts) * MEASURED_SECONDS
    held_copies = sum(len(host.copy_store) for host in hosts) / len(hosts)
    print(f'requests per second and host: {REQUESTS_PER_SECOND}')
    print(
        'batches per second and host: '
        f'{read_sent_total("messages") / host_seconds:.1f}'
    )
    print(
        'bytes sent per second and host: '
        f'{read_sent_total("bytes") / host_seconds:.0f}'
    )
    print(
        f'processor ms per second and host without copies: {without_copies:.1f}'
    )
    print(f'processor ms per second and host with copies: {with_copies:.1f}')
    print(f'copies held per host: {held_copies:.0f}')
    print(f'copies lag by at most {PROGRESS_SECONDS} s plus one call')


def read_sent_total(unit: str) -> float:
    """Return the number of copy messages, or of bytes, sent to peers."""
    labels = {'direction': 'sent'}
    if unit == 'messages':
        labels['message'] = 'copies'
    name = f'monsoonwall_mesh_{unit}_total'
    return REGISTRY.get_sample_value(name, labels) or 0


async def measure_processor_time(hosts: list[ReplicatingHost]) -> float:
    """Return the processor milliseconds per host and second of load."""
    begin = time.process_time()
    await asyncio.gather(*(host.run_load(MEASURED_SECONDS) for host in hosts))
    spent = time.process_time() - begin
    return spent * MILLISECONDS_PER_SECOND / MEASURED_SECONDS / len(hosts)


def measure_memory() -> None:
    """Print the Python memory that one held copy takes."""
    clock = SystemClock()
    copy_store = CopyStore(clock)
    count = 500
    tracemalloc.start()
    for number in range(count):
        add_copy(copy_store, clock, number)
    held_bytes, _ = tracemalloc.get_traced_memory()
    print(f'Python bytes per held copy of 400 tokens: {held_bytes // count}')


def add_copy(copy_store: CopyStore, clock: SystemClock, number: int) -> None:
    """Add a copy of a complete answer, as if received from a peer."""
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
    copy_store.add('left', copy)
    copy_store.apply_progress(
        type(progress).FromString(progress.SerializeToString())
    )


if __name__ == '__main__':
    asyncio.run(measure())
    measure_memory()
    sys.exit(0)
