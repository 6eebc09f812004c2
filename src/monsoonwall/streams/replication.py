"""Copy each accepted request and its progress to a second entry host.

The host that has the copy, its holder, continues the request if this host is
lost.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.copies import add_holder
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.mesh.wire.answers_pb2 import BatchReply
from monsoonwall.metrics import REQUEST_COPIES
from monsoonwall.pipeline.answers import (
    Answer,
    Interruption,
    InterruptionKind,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Call,
)
from monsoonwall.streams.batching import HolderClient, RequestUpdate
from monsoonwall.streams.codec import encode_progress, encode_request
from monsoonwall.streams.loops import repeat_step

PROGRESS_SECONDS: Final = 0.5
# The first tokens are sent sooner than later ones, because a holder without any
# tokens would have to restart the answer.
_FIRST_PROGRESS_SECONDS: Final = 0.1
_PLACE_TRIES: Final = 2
_RUNS_ELSEWHERE: Final = AttemptFailure(
    AttemptEnding.cancelled, 'another entry host runs the request', True
)


@dataclass
class _Placement:
    """Track how much of one answer its holder has.

    ``end_sent`` is set once the holder has the end of the answer.
    """

    answer: Answer
    holder: str | None = None
    offset: int = 0
    end_sent: bool = False
    sending: bool = False

    def needs_first_update(self) -> bool:
        """Return whether the copy is missing or lacks the first tokens."""
        if self.sending or self.answer.ended:
            return False
        return self.holder is None or bool(
            not self.offset and self.answer.tokens
        )

    def is_complete(self) -> bool:
        """Return whether there is nothing more to send to a holder."""
        answer = self.answer
        ended_without_copy = answer.ended and self.holder is None
        return self.end_sent or answer.handed_over or ended_without_copy


class Replicator:
    """Place copies of requests on peers and send the answers' progress."""

    def __init__(self, own: Peer, peers: Peers, clock: Clock) -> None:
        self._clock = clock
        self._holders = HolderClient(own, peers, clock)
        self._placements: dict[str, _Placement] = {}

    async def place(self, call: Call, version: str, isolated: bool) -> Answer:
        """Place a copy of a call on a peer and return the call's answer.

        The holder's name is added to the request id. If no peer is reached,
        the id is unchanged and the copy is placed later.
        """
        for _ in range(_PLACE_TRIES):
            holder = self._holders.choose_holder(call.request_id)
            if holder is None:
                break
            id_with_holder = add_holder(call.request_id, holder)
            answer = Answer(
                replace(call, request_id=id_with_holder), version, isolated
            )
            placement = _Placement(answer)
            if await self._place_on(holder, [placement]):
                self._placements[id_with_holder] = placement
                return answer
        REQUEST_COPIES.labels('no_holder').inc()
        answer = Answer(call, version, isolated)
        self.track(answer)
        return answer

    def track(self, answer: Answer) -> None:
        """Place a copy of a running answer with the next progress update."""
        request_id = answer.call.request_id
        self._placements[request_id] = _Placement(answer)

    def untrack(self, request_id: str) -> None:
        """Stop sending updates of an answer."""
        self._placements.pop(request_id, None)

    async def run(self) -> None:
        """Send progress updates until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(repeat_step(self.send_progress, PROGRESS_SECONDS))
            group.create_task(
                repeat_step(self.send_first_progress, _FIRST_PROGRESS_SECONDS)
            )

    async def send_progress(self) -> None:
        """Update all copies, and place those that are missing."""
        self._drop_complete_placements()
        await self._update_all(self._placements.values())

    async def send_first_progress(self) -> None:
        """Place missing copies, and send first tokens to those without any."""
        await self._update_all(
            placement
            for placement in self._placements.values()
            if placement.needs_first_update()
        )

    async def _update_all(self, placements: Iterable[_Placement]) -> None:
        async with asyncio.TaskGroup() as group:
            for holder, placed in _group_by_holder(placements).items():
                group.create_task(self._update(holder, placed))

    async def hand_over(self, answers: Iterable[Answer]) -> int:
        """Hand running answers over to peers; return how many were accepted."""
        by_holder: dict[str, list[_Placement]] = {}
        for answer in answers:
            existing = self._placements.get(answer.call.request_id)
            holder = existing and existing.holder
            chosen = holder or self._holders.choose_holder(
                answer.call.request_id
            )
            if chosen is not None:
                by_holder.setdefault(chosen, []).append(_Placement(answer))
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._hand_over_to(holder, placements))
                for holder, placements in by_holder.items()
            ]
        return sum(task.result() for task in tasks)

    async def _hand_over_to(
        self, holder: str, placements: list[_Placement]
    ) -> int:
        # The holder may lack the latest tokens, so all tokens are sent and
        # none have to be generated again.
        if not await self._place_on(holder, placements, handing_over=True):
            return 0
        for placement in placements:
            _stop_running(placement.answer)
        return len(placements)

    async def _place_on(
        self,
        holder: str,
        placements: list[_Placement],
        handing_over: bool = False,
    ) -> bool:
        # The answers may grow while the updates are sent.
        lengths = [len(placement.answer.tokens) for placement in placements]
        updates = [
            _make_full_update(placement.answer, handing_over, self._clock)
            for placement in placements
        ]
        replies = await self._holders.send(holder, updates)
        ending = 'lost' if replies is None else 'copied'
        REQUEST_COPIES.labels(ending).inc(len(placements))
        if replies is None:
            return False
        for placement, length in zip(placements, lengths, strict=True):
            placement.holder = holder
            placement.offset = length
        return True

    async def _update(
        self, holder: str | None, placements: list[_Placement]
    ) -> None:
        due = [
            placement for placement in placements if _needs_update(placement)
        ]
        if not due:
            return
        _mark_sending(due, sending=True)
        try:
            if holder is None:
                await self._place_missing(due)
            else:
                await self._send_updates(holder, placements, due)
        finally:
            _mark_sending(due, sending=False)

    async def _send_updates(
        self,
        holder: str,
        placements: list[_Placement],
        due: list[_Placement],
    ) -> None:
        # The answers may grow or end while the updates are sent.
        lengths = [len(placement.answer.tokens) for placement in due]
        ended = [placement.answer.ended for placement in due]
        updates = [
            RequestUpdate(
                progress=encode_progress(placement.answer, placement.offset)
            )
            for placement in due
        ]
        replies = await self._holders.send(holder, updates)
        if replies is None:
            # The holder may have lost all copies, even those without changes.
            _reset(placements)
            return
        for index, placement in enumerate(due):
            placement.offset = lengths[index]
            placement.end_sent = ended[index]
        self._handle_replies(replies)

    def _handle_replies(self, replies: list[BatchReply]) -> None:
        for reply in replies:
            unknown = [
                self._placements[request_id]
                for request_id in reply.unknown
                if request_id in self._placements
            ]
            _reset(unknown)
            for request_id in reply.taken_over:
                _stop_unless_read(self._placements.get(request_id))

    async def _place_missing(self, placements: list[_Placement]) -> None:
        by_holder: dict[str, list[_Placement]] = {}
        for placement in placements:
            holder = self._holders.choose_holder(
                placement.answer.call.request_id
            )
            if holder is not None:
                by_holder.setdefault(holder, []).append(placement)
        for name, missing in by_holder.items():
            await self._place_on(name, missing)

    def _drop_complete_placements(self) -> None:
        self._placements = {
            request_id: placement
            for request_id, placement in self._placements.items()
            if not placement.is_complete()
        }


def _make_full_update(
    answer: Answer, handing_over: bool, clock: Clock
) -> RequestUpdate:
    progress = encode_progress(answer, 0)
    progress.handed_over = handing_over
    return RequestUpdate(encode_request(answer, clock), progress)


def _stop_unless_read(placement: _Placement | None) -> None:
    # If a caller reads the answer on this host, it is completed here.
    if placement is not None and not placement.answer.readers:
        _stop_running(placement.answer)


def _group_by_holder(
    placements: Iterable[_Placement],
) -> dict[str | None, list[_Placement]]:
    by_holder: dict[str | None, list[_Placement]] = {}
    for placement in placements:
        by_holder.setdefault(placement.holder, []).append(placement)
    return by_holder


def _mark_sending(placements: Iterable[_Placement], sending: bool) -> None:
    for placement in placements:
        placement.sending = sending


def _needs_update(placement: _Placement) -> bool:
    answer = placement.answer
    if placement.sending:
        return False
    has_changes = len(answer.tokens) > placement.offset or answer.ended
    return has_changes or placement.holder is None


def _reset(placements: Iterable[_Placement]) -> None:
    for placement in placements:
        placement.holder = None
        placement.offset = 0
        placement.end_sent = False


def _stop_running(answer: Answer) -> None:
    answer.hand_over()
    if answer.running_attempt is not None:
        answer.running_attempt.interrupt(
            Interruption(InterruptionKind.abandoned, _RUNS_ELSEWHERE)
        )
