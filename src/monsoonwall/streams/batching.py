"""Send copies and progress to other entry hosts in batches."""

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

# Short, because a caller waits until its request is copied.
SEND_TIMEOUT_SECONDS: Final = 0.3
_UNRESPONSIVE_SECONDS: Final = 3.0
_MAX_BATCH_BYTES: Final = 1_000_000

_log = make_logger('copies')


@dataclass(frozen=True)
class RequestUpdate:
    """Hold the copy, the progress or both to send for one request."""

    copy: RequestCopy | None = None
    progress: Progress | None = None

    def count_bytes(self) -> int:
        """Return the encoded size in bytes."""
        parts = (self.copy, self.progress)
        return sum(part.ByteSize() for part in parts if part is not None)


@dataclass(frozen=True)
class _QueuedUpdates:
    updates: list[RequestUpdate]
    size: int
    reply: 'Future[BatchReply | None]'


class BatchSender:
    """Send updates to one peer, one batch at a time.

    Updates that arrive during a call are sent together in the next batch. A
    message costs far more than its content, and batches grow on their own as
    the rate of updates rises.
    """

    def __init__(self, owner: str, channel: Channel) -> None:
        self.channel = channel
        self._owner = owner
        self._stub = AnswersStub(channel)
        self._queue: list[_QueuedUpdates] = []
        self._send_task: Task[None] | None = None

    async def send(
        self, updates: Sequence[RequestUpdate]
    ) -> list[BatchReply | None]:
        """Send updates; return each batch's reply, None if the call failed."""
        groups = [
            _QueuedUpdates(group, size, Future())
            for group, size in _split_updates(updates)
        ]
        self._queue.extend(groups)
        if self._send_task is None:
            self._send_task = asyncio.create_task(self._send_queued())
        return [await queued.reply for queued in groups]

    async def _send_queued(self) -> None:
        try:
            while self._queue:
                await self._send_batch(self._take_batch())
        finally:
            self._send_task = None

    def _take_batch(self) -> list[_QueuedUpdates]:
        size = 0
        count = 0
        for queued in self._queue:
            size += queued.size
            if count and size > _MAX_BATCH_BYTES:
                break
            count += 1
        batch = self._queue[:count]
        self._queue = self._queue[count:]
        return batch

    async def _send_batch(self, batch: list[_QueuedUpdates]) -> None:
        updates = [update for queued in batch for update in queued.updates]
        message = Batch(
            owner=self._owner,
            copies=[update.copy for update in updates if update.copy],
            progress=[update.progress for update in updates if update.progress],
        )
        MESH_BYTES.labels('sent').inc(message.ByteSize())
        MESH_MESSAGES.labels('sent', 'copies').inc()
        reply = None
        try:
            reply = await self._stub.Replicate(
                message, timeout=SEND_TIMEOUT_SECONDS
            )
        except RpcError as error:
            _log.warning('Sending a batch failed.', error=str(error.code()))
        for queued in batch:
            if not queued.reply.done():
                queued.reply.set_result(reply)


def _split_updates(
    updates: Sequence[RequestUpdate],
) -> list[tuple[list[RequestUpdate], int]]:
    groups: list[tuple[list[RequestUpdate], int]] = []
    group: list[RequestUpdate] = []
    total = 0
    for update in updates:
        size = update.count_bytes()
        if group and total + size > _MAX_BATCH_BYTES:
            groups.append((group, total))
            group, total = [], 0
        group.append(update)
        total += size
    groups.append((group, total))
    return groups


class HolderClient:
    """Choose holders of copies and send updates to them.

    A peer that did not reply is not chosen for some seconds.
    """

    def __init__(self, own: Peer, peers: Peers, clock: Clock) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._senders: dict[str, BatchSender] = {}
        self._unresponsive: dict[str, float] = {}

    def choose_holder(self, request_id: str) -> str | None:
        """Return the peer to hold a request's copy, None if there is none."""
        now = self._clock.read_monotonic()
        self._unresponsive = {
            name: until
            for name, until in self._unresponsive.items()
            if until > now
        }
        return choose_holder(
            request_id,
            self._own,
            self._peers.list_peers(),
            frozenset(self._unresponsive),
        )

    async def send(
        self, holder: str, updates: Sequence[RequestUpdate]
    ) -> list[BatchReply] | None:
        """Send updates to a holder; return the replies, None if any failed."""
        sender = self._find_sender(holder)
        replies = await sender.send(updates) if sender else [None]
        received = [reply for reply in replies if reply is not None]
        if len(received) == len(replies):
            return received
        now = self._clock.read_monotonic()
        self._unresponsive[holder] = now + _UNRESPONSIVE_SECONDS
        return None

    def _find_sender(self, holder: str) -> BatchSender | None:
        channel = self._peers.find_channel(holder)
        if channel is None:
            return None
        sender = self._senders.get(holder)
        if sender is None or sender.channel is not channel:
            sender = BatchSender(self._own.name, channel)
            self._senders[holder] = sender
        return sender
