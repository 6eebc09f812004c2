"""Exchange records with the other entry hosts, round after round."""

import asyncio
from asyncio import Task
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from grpc import StatusCode
from grpc.aio import AioRpcError, Server

from monsoonwall.clocks import Clock
from monsoonwall.decisions.gossip import (
    ROUND_SECONDS,
    choose_partners,
    choose_push_targets,
    rank,
)
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Fact
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.store import HostRecord
from monsoonwall.mesh.wire.gossip_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    PushReply,
    PushRequest,
)
from monsoonwall.mesh.wire.gossip_pb2_grpc import (
    MeshServicer,
    MeshStub,
    add_MeshServicer_to_server,
)
from monsoonwall.metrics import MESH_BYTES, MESH_MESSAGES

_CALL_SECONDS: Final = 1.0
_PUSH_DELAY_SECONDS: Final = 0.02
_SEED_SECONDS: Final = 1.0

_log = make_logger('mesh')


@dataclass(frozen=True)
class Target:
    """Name an address to call, and its host if that is known."""

    address: str
    name: str = ''


class GossipService(MeshServicer):
    """Answer the gossip of other hosts."""

    def __init__(self, task: 'GossipTask', clock: Clock) -> None:
        self._task = task
        self._clock = clock

    async def Exchange(
        self, request: ExchangeRequest, _context: Any
    ) -> ExchangeReply:
        """Answer with what the caller lacks."""
        _count('received', 'exchange', request.ByteSize())
        reply = self._task.exchanger.answer(
            request, self._clock.read_monotonic()
        )
        _count('sent', 'reply', reply.ByteSize())
        return reply

    async def Push(self, request: PushRequest, _context: Any) -> PushReply:
        """Take in news."""
        _count('received', 'push', request.ByteSize())
        self._task.take_push(request)
        return PushReply()


class GossipTask:
    """Own the rounds of one host."""

    def __init__(
        self,
        exchanger: Exchanger,
        channels: Channels,
        clock: Clock,
        record: HostRecord,
        seeds: Sequence[str],
    ) -> None:
        self.exchanger = exchanger
        self.store = exchanger.store
        self.store.describe_self(record)
        self._channels = channels
        self._clock = clock
        self._record = record
        self._seeds = set(seeds)
        self._urgent: list[Fact] = []
        self._woken = asyncio.Event()
        self._running: dict[str, Task[None]] = {}
        self._seed_due = clock.read_monotonic()
        self._seed = rank(self.store.own.name, 0)

    def register(self, server: Server) -> None:
        """Add the gossip service to the mesh server."""
        add_MeshServicer_to_server(GossipService(self, self._clock), server)

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Learn of addresses where entry hosts may be."""
        self._seeds.update(addresses)

    async def run(self) -> None:
        """Gossip until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_rounds())
            group.create_task(self._run_pushes())

    def take_push(self, request: PushRequest) -> None:
        """Keep what another host handed over, and pass on what is new."""
        self.store.take_deltas(request.deltas, self._clock.read_monotonic())
        fresh = self.exchanger.merge_facts(
            request.facts, self._clock.read_wall()
        )
        for fact in fresh:
            self.spread(fact)

    def spread(self, fact: Fact) -> None:
        """Hand a fact on at once rather than in the next rounds."""
        self._urgent.append(fact)
        self._woken.set()

    async def announce_leaving(self, left: bool) -> None:
        """Tell all peers that this host leaves, or has left."""
        record = replace(self._record, leaving=True, left=left)
        self._record = record
        self.store.describe_self(record)
        farewell = self.exchanger.make_farewell()
        await asyncio.gather(
            *(
                self._push(Target(peer.address, peer.name), farewell)
                for peer in self.store.list_peers()
            )
        )

    async def _run_rounds(self) -> None:
        while True:
            now = self._clock.read_monotonic()
            for name in self.store.begin_round(now, self._clock.read_wall()):
                _log.warning('Entry host judged gone.', host=name)
            for target in self._choose_targets(now):
                self._start(target)
            await self._close_channels()
            await asyncio.sleep(ROUND_SECONDS)

    def _choose_targets(self, now: float) -> tuple[Target, ...]:
        peers = self.store.list_peers()
        partners = choose_partners(self.store.own, peers, now, self._seed)
        targets = tuple(Target(peer.address, peer.name) for peer in partners)
        if now < self._seed_due:
            return targets
        self._seed_due = now + _SEED_SECONDS
        known = {peer.address for peer in peers} | {self._record.address}
        strange = tuple(Target(seed) for seed in self._seeds - known)
        return targets + strange

    def _start(self, target: Target) -> None:
        # A host that does not answer holds up no other one.
        if target.address not in self._running:
            self._running[target.address] = _spawn(self._exchange(target))
            self._running[target.address].add_done_callback(
                lambda _done: self._running.pop(target.address)
            )

    async def _exchange(self, target: Target) -> None:
        stub = MeshStub(self._channels.find(target.address))
        request = self.exchanger.make_request()
        _count('sent', 'exchange', request.ByteSize())
        try:
            reply = await stub.Exchange(request, timeout=_CALL_SECONDS)
        except AioRpcError as error:
            self._note_failure(target, error)
            return
        _count('received', 'reply', reply.ByteSize())
        push = self.exchanger.take_reply(
            reply, self._clock.read_monotonic(), self._clock.read_wall()
        )
        if push is not None:
            await self._push(target, push)

    async def _push(self, target: Target, push: PushRequest) -> None:
        stub = MeshStub(self._channels.find(target.address))
        _count('sent', 'push', push.ByteSize())
        try:
            await stub.Push(push, timeout=_CALL_SECONDS)
        except AioRpcError as error:
            self._note_failure(target, error)

    def _note_failure(self, target: Target, error: AioRpcError) -> None:
        MESH_MESSAGES.labels('failed', error.code().name.lower()).inc()
        if error.code() is StatusCode.UNAVAILABLE:
            self.store.membership.note_unreachable(
                target.name, self._clock.read_monotonic()
            )

    async def _run_pushes(self) -> None:
        pushing: set[Task[None]] = set()
        while True:
            await self._woken.wait()
            # Facts that come together travel together.
            await asyncio.sleep(_PUSH_DELAY_SECONDS)
            self._woken.clear()
            push = self.exchanger.make_push(self._urgent)
            self._urgent = []
            for peer in choose_push_targets(
                self.store.own,
                self.store.list_peers(),
                self._clock.read_monotonic(),
                self._seed,
            ):
                sent = _spawn(self._push(Target(peer.address, peer.name), push))
                pushing.add(sent)
                sent.add_done_callback(pushing.discard)

    async def _close_channels(self) -> None:
        used = {peer.address for peer in self.store.list_peers()}
        await self._channels.keep(used | self._seeds | self._running.keys())


def _spawn(work: Coroutine[Any, Any, None]) -> Task[None]:
    return asyncio.get_running_loop().create_task(work)


def _count(direction: str, message: str, size: int) -> None:
    MESH_BYTES.labels(direction).inc(size)
    MESH_MESSAGES.labels(direction, message).inc()
