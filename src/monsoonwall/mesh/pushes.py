"""Push records to other hosts, without waiting for the regular rounds."""

import asyncio
from asyncio import Task
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from grpc import StatusCode
from grpc.aio import AioRpcError

from monsoonwall.clocks import Clock
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Fact
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.rounds import RoundPlanner
from monsoonwall.mesh.wire.gossip_pb2 import PushRequest
from monsoonwall.mesh.wire.gossip_pb2_grpc import MeshStub
from monsoonwall.metrics import MESH_BYTES, MESH_MESSAGES

CALL_TIMEOUT_SECONDS: Final = 1.0
# Facts that arrive within the delay are pushed in one message. With the pause
# after each push this makes at most ten pushes a second.
_PUSH_DELAY_SECONDS: Final = 0.02
_PUSH_PAUSE_SECONDS: Final = 0.08
# The second attempt uses a new channel if the first has timed out.
_PUSH_ATTEMPTS: Final = 2

_log = make_logger('mesh')
_Returned = TypeVar('_Returned')


@dataclass(frozen=True)
class Target:
    """Hold the host to call; the name of a seed is not known yet."""

    address: str
    name: str = ''
    zones: tuple[str, ...] = ()


class Pusher:
    """Push facts to the peers, and other records to single hosts."""

    def __init__(
        self,
        exchanger: Exchanger,
        planner: RoundPlanner,
        channels: Channels,
        clock: Clock,
    ) -> None:
        self._exchanger = exchanger
        self._planner = planner
        self._channels = channels
        self._clock = clock
        self._published: list[Fact] = []
        self._forwarded: list[Fact] = []
        self._has_pending_facts = asyncio.Event()
        self._running: set[Task[bool]] = set()

    async def run(self) -> None:
        """Push the scheduled facts until cancelled."""
        while True:
            await self._has_pending_facts.wait()
            await asyncio.sleep(_PUSH_DELAY_SECONDS)
            self._has_pending_facts.clear()
            self._start(tuple(self._published))
            self._start(tuple(self._forwarded), is_forwarded=True)
            self._published.clear()
            self._forwarded.clear()
            await asyncio.sleep(_PUSH_PAUSE_SECONDS)

    def schedule(self, fact: Fact) -> None:
        """Push a fact soon, rather than wait for the next rounds."""
        self._published.append(fact)
        self._has_pending_facts.set()

    def forward(self, fact: Fact) -> None:
        """Push a fact on that another host has pushed."""
        self._forwarded.append(fact)
        self._has_pending_facts.set()

    async def replicate(self, fact: Fact, deadline: float) -> bool:
        """Push a fact now; return whether a peer has acknowledged it.

        Returns true if there is no peer. The deadline is in monotonic seconds;
        the pushes continue after it.
        """
        pushes = self._start((fact,))
        if not pushes:
            return True
        acknowledged = False
        while pushes and not acknowledged:
            remaining_seconds = deadline - self._clock.read_monotonic()
            ended, pushes = await asyncio.wait(
                pushes,
                timeout=max(0, remaining_seconds),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not ended:
                break
            acknowledged = any(push.result() for push in ended)
        return acknowledged

    async def push(self, target: Target, push: PushRequest) -> bool:
        """Send a push; return whether the receiver has stored it."""
        for _ in range(_PUSH_ATTEMPTS):
            status = await self._try(target, push)
            if status is not StatusCode.DEADLINE_EXCEEDED:
                return status is StatusCode.OK
        return False

    async def _try(self, target: Target, push: PushRequest) -> StatusCode:
        """Send a push once and return the status of the call."""
        stub = MeshStub(self._channels.find(target.address))
        count_message('sent', 'push', push.ByteSize())
        called_at = read_loop_time()
        try:
            await stub.Push(push, timeout=CALL_TIMEOUT_SECONDS)
        except AioRpcError as error:
            self.record_failure(target, error, called_at)
            return error.code()
        self._channels.record_response(target.address)
        return StatusCode.OK

    def record_failure(
        self, target: Target, error: AioRpcError, called_at: float
    ) -> None:
        """Record that a call, begun at a loop time, has failed."""
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
            self._exchanger.store.membership.mark_unreachable(
                target.name, self._clock.read_monotonic()
            )

    def _start(
        self, facts: Sequence[Fact], is_forwarded: bool = False
    ) -> set[Task[bool]]:
        if not facts:
            return set()
        push = self._exchanger.make_push(facts)
        started = {
            spawn(self.push(Target(peer.address, peer.name), push))
            for peer in self._planner.choose_push_targets(is_forwarded)
        }
        self._running |= started
        for push_task in started:
            push_task.add_done_callback(self._running.discard)
        return started


def read_loop_time() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def spawn(coroutine: Coroutine[Any, Any, _Returned]) -> Task[_Returned]:
    """Run a coroutine as a task of the running event loop."""
    return asyncio.get_running_loop().create_task(coroutine)


def count_message(direction: str, message: str, size: int) -> None:
    """Count a message of the mesh and its bytes."""
    MESH_BYTES.labels(direction).inc(size)
    MESH_MESSAGES.labels(direction, message).inc()
