"""Send copies and progress to one other entry host."""

import asyncio
from asyncio import Future, Task
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from grpc import RpcError
from grpc.aio import Channel

from monsoonwall.clocks import Clock
from monsoonwall.decisions.copies import choose_holder
from monsoonwall.logs import make_logger
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.mesh.wire.answers_pb2 import (
    Batch,
    BatchReply,
    Progress,
    RequestCopy,
)
from monsoonwall.mesh.wire.answers_pb2_grpc import AnswersStub
from monsoonwall.metrics import MESH_BYTES, MESH_MESSAGES

# A caller waits for its copy, so a silent peer is given up on soon.
SEND_SECONDS: Final = 0.3
_SUSPECT_SECONDS: Final = 3.0
_BATCH_BYTES: Final = 1_000_000

_log = make_logger('copies')


@dataclass(frozen=True)
class Parcel:
    """Hold what is to be sent of one request."""

    copy: RequestCopy | None = None
    progress: Progress | None = None

    def measure(self) -> int:
        """Return the size in bytes."""
        parts = (self.copy, self.progress)
        return sum(part.ByteSize() for part in parts if part is not None)


@dataclass(frozen=True)
class _Waiting:
    parcels: list[Parcel]
    size: int
    reply: 'Future[BatchReply | None]'


class Link:
    """Send one batch at a time; what comes meanwhile goes with the next.

    A message costs far more than what is in it, so that batches grow by
    themselves just when messages become many.
    """

    def __init__(self, owner: str, channel: Channel) -> None:
        self.channel = channel
        self._owner = owner
        self._stub = AnswersStub(channel)
        self._waiting: list[_Waiting] = []
        self._sending: Task[None] | None = None

    async def send(self, parcels: Sequence[Parcel]) -> list[BatchReply | None]:
        """Return the replies to all batches with them, None for a lost one."""
        waiting = [
            _Waiting(group, size, Future())
            for group, size in _group_parcels(parcels)
        ]
        self._waiting.extend(waiting)
        if self._sending is None:
            self._sending = asyncio.create_task(self._send_waiting())
        return [await one.reply for one in waiting]

    async def _send_waiting(self) -> None:
        try:
            while self._waiting:
                await self._send_batch(self._take_batch())
        finally:
            self._sending = None

    def _take_batch(self) -> list[_Waiting]:
        size = 0
        count = 0
        for one in self._waiting:
            size += one.size
            if count and size > _BATCH_BYTES:
                break
            count += 1
        batch = self._waiting[:count]
        self._waiting = self._waiting[count:]
        return batch

    async def _send_batch(self, batch: list[_Waiting]) -> None:
        parcels = [parcel for one in batch for parcel in one.parcels]
        message = Batch(
            owner=self._owner,
            copies=[one.copy for one in parcels if one.copy],
            progress=[one.progress for one in parcels if one.progress],
        )
        MESH_BYTES.labels('sent').inc(message.ByteSize())
        MESH_MESSAGES.labels('sent', 'copies').inc()
        reply = None
        try:
            reply = await self._stub.Replicate(message, timeout=SEND_SECONDS)
        except RpcError as error:
            _log.warning('A batch was lost.', error=str(error.code()))
        for one in batch:
            if not one.reply.done():
                one.reply.set_result(reply)


def _group_parcels(
    parcels: Sequence[Parcel],
) -> list[tuple[list[Parcel], int]]:
    groups: list[tuple[list[Parcel], int]] = []
    group: list[Parcel] = []
    total = 0
    for parcel in parcels:
        size = parcel.measure()
        if group and total + size > _BATCH_BYTES:
            groups.append((group, total))
            group, total = [], 0
        group.append(parcel)
        total += size
    groups.append((group, total))
    return groups


class Links:
    """Choose holders and send to them, passing over silent ones a while."""

    def __init__(self, own: Peer, peers: Peers, clock: Clock) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._links: dict[str, Link] = {}
        self._suspects: dict[str, float] = {}

    def choose_holder(self, request_id: str) -> str | None:
        """Return the peer to hold a request's copy, if there is one."""
        now = self._clock.read_monotonic()
        self._suspects = {
            name: until for name, until in self._suspects.items() if until > now
        }
        return choose_holder(
            request_id,
            self._own,
            self._peers.list_peers(),
            frozenset(self._suspects),
        )

    async def send(
        self, holder: str, parcels: Sequence[Parcel]
    ) -> list[BatchReply] | None:
        """Return the replies to the parcels, None if any was lost."""
        link = self._find_link(holder)
        replies = await link.send(parcels) if link else [None]
        kept = [reply for reply in replies if reply is not None]
        if len(kept) == len(replies):
            return kept
        now = self._clock.read_monotonic()
        self._suspects[holder] = now + _SUSPECT_SECONDS
        return None

    def _find_link(self, holder: str) -> Link | None:
        channel = self._peers.find_channel(holder)
        if channel is None:
            return None
        link = self._links.get(holder)
        if link is None or link.channel is not channel:
            link = Link(self._own.name, channel)
            self._links[holder] = link
        return link
