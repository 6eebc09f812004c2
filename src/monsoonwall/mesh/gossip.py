"""Exchange records with the other entry hosts in regular rounds.

New facts are also pushed between rounds, so that they arrive sooner.
"""

import asyncio
from asyncio import Task
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from typing import Any, Final

from grpc import StatusCode
from grpc.aio import AioRpcError, Server
from msgspec import msgpack

from monsoonwall.clocks import Clock
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Fact
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.rounds import RoundPlanner
from monsoonwall.mesh.store import HOST_KIND, HostRecord
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

_CALL_TIMEOUT_SECONDS: Final = 1.0
# Facts that arrive within the delay are pushed in one message. With the pause
# after each push this makes at most ten pushes a second.
_PUSH_DELAY_SECONDS: Final = 0.02
_PUSH_PAUSE_SECONDS: Final = 0.08
# The second attempt uses a new channel if the first has timed out.
_PUSH_ATTEMPTS: Final = 2

_log = make_logger('mesh')


class GossipService(MeshServicer):
    """Serve the gossip calls of other hosts."""

    def __init__(self, task: 'GossipTask') -> None:
        self._task = task

    async def Exchange(
        self, request: ExchangeRequest, _context: Any
    ) -> ExchangeReply:
        """Reply with what the caller lacks."""
        _count('received', 'exchange', request.ByteSize())
        reply = self._task.make_reply(request)
        _count('sent', 'reply', reply.ByteSize())
        return reply

    async def Push(self, request: PushRequest, _context: Any) -> PushReply:
        """Store the records that the caller sends."""
        _count('received', 'push', request.ByteSize())
        self._task.apply_push(request)
        return PushReply()


@dataclass(frozen=True)
class _Target:
    """Hold the host to call; the name of a seed is not known yet."""

    address: str
    name: str = ''
    zones: tuple[str, ...] = ()


class GossipTask:
    """Run the gossip rounds and pushes of one host."""

    def __init__(
        self,
        exchanger: Exchanger,
        planner: RoundPlanner,
        channels: Channels,
        clock: Clock,
        record: HostRecord,
    ) -> None:
        self.store = exchanger.store
        self._exchanger = exchanger
        self._planner = planner
        self._channels = channels
        self._clock = clock
        self._record = record
        self._pending_facts: list[Fact] = []
        self._has_pending_facts = asyncio.Event()
        self._running_exchanges: dict[str, Task[None]] = {}
        self._write_host_record(record)

    def register(self, server: Server) -> None:
        """Add the gossip service to the mesh server."""
        add_MeshServicer_to_server(GossipService(self), server)

    async def run(self) -> None:
        """Run rounds and pushes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_rounds())
            group.create_task(self._run_pushes())

    def make_reply(self, request: ExchangeRequest) -> ExchangeReply:
        """Return the reply to another host's digest."""
        return self._exchanger.make_reply(
            request, self._planner.zones, self._clock.read_monotonic()
        )

    def apply_push(self, request: PushRequest) -> None:
        """Store the records of a push and forward the facts that are new."""
        self.store.apply_deltas(request.deltas, self._clock.read_monotonic())
        fresh = self._exchanger.merge_facts(
            request.facts, self._clock.read_wall()
        )
        for fact in fresh:
            self.schedule_push(fact)

    def schedule_push(self, fact: Fact) -> None:
        """Push a fact soon, rather than wait for the next rounds."""
        self._pending_facts.append(fact)
        self._has_pending_facts.set()

    async def announce_leaving(self, left: bool) -> None:
        """Send all peers the notice that this host leaves, or has left."""
        self._write_host_record(replace(self._record, leaving=True, left=left))
        departure = self._exchanger.make_departure()
        await asyncio.gather(
            *(
                self._push(_Target(peer.address, peer.name), departure)
                for peer in self._planner.roster.list_peers()
            )
        )

    def _write_host_record(self, record: HostRecord) -> None:
        self._record = record
        self.store.write(
            self.store.own_log, HOST_KIND, '', msgpack.encode(record)
        )

    async def _run_rounds(self) -> None:
        while True:
            now = self._clock.read_monotonic()
            for name in self.store.begin_round(now, self._clock.read_wall()):
                _log.warning(
                    'Peer timed out; its records were dropped.', host=name
                )
            rounds = self._planner.plan(self._record, now)
            for gossip_round in rounds:
                for peer in gossip_round.partners:
                    self._start_exchange(
                        _Target(peer.address, peer.name, gossip_round.zones)
                    )
            for seed in self._planner.choose_seeds(now):
                self._start_exchange(_Target(seed, '', self._planner.zones))
            await self._close_channels()
            await asyncio.sleep(self._planner.round_seconds)

    def _start_exchange(self, target: _Target) -> None:
        # Exchanges run as tasks, so that an unresponsive host does not delay
        # the exchanges with others.
        if target.address not in self._running_exchanges:
            task = _spawn(self._exchange(target))
            self._running_exchanges[target.address] = task
            task.add_done_callback(
                lambda _done: self._running_exchanges.pop(target.address)
            )

    async def _exchange(self, target: _Target) -> None:
        stub = MeshStub(self._channels.find(target.address))
        request = self._exchanger.make_request(target.zones)
        _count('sent', 'exchange', request.ByteSize())
        called_at = _read_loop_time()
        try:
            reply = await stub.Exchange(request, timeout=_CALL_TIMEOUT_SECONDS)
        except AioRpcError as error:
            self._record_failure(target, error, called_at)
            return
        self._channels.record_response(target.address)
        _count('received', 'reply', reply.ByteSize())
        push = self._exchanger.apply_reply(
            reply, self._clock.read_monotonic(), self._clock.read_wall()
        )
        if push is not None:
            await self._push(target, push)

    async def _push(self, target: _Target, push: PushRequest) -> None:
        for _ in range(_PUSH_ATTEMPTS):
            status = await self._try_push(target, push)
            if status is not StatusCode.DEADLINE_EXCEEDED:
                return

    async def _try_push(self, target: _Target, push: PushRequest) -> StatusCode:
        """Send a push once and return the status of the call."""
        stub = MeshStub(self._channels.find(target.address))
        _count('sent', 'push', push.ByteSize())
        called_at = _read_loop_time()
        try:
            await stub.Push(push, timeout=_CALL_TIMEOUT_SECONDS)
        except AioRpcError as error:
            self._record_failure(target, error, called_at)
            return error.code()
        self._channels.record_response(target.address)
        return StatusCode.OK

    def _record_failure(
        self, target: _Target, error: AioRpcError, called_at: float
    ) -> None:
        MESH_MESSAGES.labels('failed', error.code().name.lower()).inc()
        if error.code() is StatusCode.DEADLINE_EXCEEDED:
            replaced = self._channels.replace_silent(called_at)
            _log.info(
                'Mesh call timed out; silent channels are replaced.',
                host=target.name,
                address=target.address,
                channels=replaced,
            )
        if error.code() is StatusCode.UNAVAILABLE:
            self.store.membership.mark_unreachable(
                target.name, self._clock.read_monotonic()
            )

    async def _run_pushes(self) -> None:
        push_tasks: set[Task[None]] = set()
        while True:
            await self._has_pending_facts.wait()
            await asyncio.sleep(_PUSH_DELAY_SECONDS)
            self._has_pending_facts.clear()
            push = self._exchanger.make_push(self._pending_facts)
            self._pending_facts = []
            for peer in self._planner.choose_push_targets():
                push_task = _spawn(
                    self._push(_Target(peer.address, peer.name), push)
                )
                push_tasks.add(push_task)
                push_task.add_done_callback(push_tasks.discard)
            await asyncio.sleep(_PUSH_PAUSE_SECONDS)

    async def _close_channels(self) -> None:
        used = self._planner.list_addresses()
        await self._channels.close_all_except(
            used | self._running_exchanges.keys()
        )


def _read_loop_time() -> float:
    return asyncio.get_running_loop().time()


def _spawn(coroutine: Coroutine[Any, Any, None]) -> Task[None]:
    return asyncio.get_running_loop().create_task(coroutine)


def _count(direction: str, message: str, size: int) -> None:
    MESH_BYTES.labels(direction).inc(size)
    MESH_MESSAGES.labels(direction, message).inc()
