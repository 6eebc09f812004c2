"""Exchange records with the other entry hosts in regular rounds."""

import asyncio
from asyncio import Task
from dataclasses import replace
from typing import Any

from grpc.aio import AioRpcError, Server
from msgspec import msgpack

from monsoonwall.clocks import Clock
from monsoonwall.logs import make_logger
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.pushes import (
    CALL_TIMEOUT_SECONDS,
    Pusher,
    Target,
    count_message,
    read_loop_time,
    spawn,
)
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

_log = make_logger('mesh')


class GossipService(MeshServicer):
    """Serve the gossip calls of other hosts."""

    def __init__(self, task: 'GossipTask') -> None:
        self._task = task

    async def Exchange(
        self, request: ExchangeRequest, _context: Any
    ) -> ExchangeReply:
        """Reply with what the caller lacks."""
        count_message('received', 'exchange', request.ByteSize())
        reply = self._task.make_reply(request)
        count_message('sent', 'reply', reply.ByteSize())
        return reply

    async def Push(self, request: PushRequest, _context: Any) -> PushReply:
        """Store the records that the caller sends."""
        count_message('received', 'push', request.ByteSize())
        self._task.apply_push(request)
        return PushReply()


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
        self._running_exchanges: dict[str, Task[None]] = {}
        self.pushes = Pusher(exchanger, planner, channels, clock)
        self._write_host_record(record)

    def register(self, server: Server) -> None:
        """Add the gossip service to the mesh server."""
        add_MeshServicer_to_server(GossipService(self), server)

    async def run(self) -> None:
        """Run rounds and pushes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_rounds())
            group.create_task(self.pushes.run())

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
            self.pushes.forward(fact)
        self._exchanger.apply_push_watermarks(
            request, self._clock.read_monotonic()
        )

    async def announce_leaving(self, left: bool) -> None:
        """Send all peers the notice that this host leaves, or has left."""
        self._write_host_record(replace(self._record, leaving=True, left=left))
        departure = self._exchanger.make_departure()
        await asyncio.gather(
            *(
                self.pushes.push(Target(peer.address, peer.name), departure)
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
                        Target(peer.address, peer.name, gossip_round.zones)
                    )
            for seed in self._planner.choose_seeds(now):
                self._start_exchange(Target(seed, '', self._planner.zones))
            await self._close_channels()
            await asyncio.sleep(self._planner.round_seconds)

    def _start_exchange(self, target: Target) -> None:
        # Exchanges run as tasks, so that an unresponsive host does not delay
        # the exchanges with others.
        if target.address not in self._running_exchanges:
            task = spawn(self._exchange(target))
            self._running_exchanges[target.address] = task
            task.add_done_callback(
                lambda _done: self._running_exchanges.pop(target.address)
            )

    async def _exchange(self, target: Target) -> None:
        stub = MeshStub(self._channels.find(target.address))
        snapshot = self._exchanger.take_snapshot(self._clock.read_monotonic())
        request = self._exchanger.make_request(target.zones)
        count_message('sent', 'exchange', request.ByteSize())
        called_at = read_loop_time()
        try:
            reply = await stub.Exchange(request, timeout=CALL_TIMEOUT_SECONDS)
        except AioRpcError as error:
            self.pushes.record_failure(target, error, called_at)
            return
        self._channels.record_response(target.address)
        count_message('received', 'reply', reply.ByteSize())
        push = self._exchanger.apply_reply(
            reply,
            self._clock.read_monotonic(),
            self._clock.read_wall(),
            snapshot,
        )
        if push is not None:
            await self.pushes.push(target, push)

    async def _close_channels(self) -> None:
        used = self._planner.list_addresses()
        await self._channels.close_all_except(
            used | self._running_exchanges.keys()
        )
