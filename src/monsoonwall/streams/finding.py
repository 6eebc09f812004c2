"""Find the entry host that has an answer, and relay the answer."""

import asyncio
from collections.abc import AsyncGenerator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Final

from grpc import RpcError
from returns.result import Failure, Result, Success

from monsoonwall.decisions.copies import list_unnamed_hosts, parse_origin
from monsoonwall.mesh.peers import Peers
from monsoonwall.mesh.wire.answers_pb2 import (
    HELD,
    OWNED,
    UNKNOWN,
    AnswerPart,
    FollowRequest,
)
from monsoonwall.mesh.wire.answers_pb2_grpc import AnswersStub
from monsoonwall.pipeline.answers import Answer, AnswerPiece, ReadPosition
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
)
from monsoonwall.streams.codec import decode_piece
from monsoonwall.streams.runner import AnswerRunner

_QUERY_TIMEOUT_SECONDS: Final = 1.0
_LIVENESS_CHECK_SECONDS: Final = 2.0
_MAX_QUERIED: Final = 32
_MAX_REOPENS: Final = 8
_MAX_SEARCHES: Final = 10
_SEARCH_PAUSE_SECONDS: Final = 0.3
_UNKNOWN_REQUEST: Final = Refusal(
    RefusalReason.unknown_request,
    Effect.unknown,
    'no entry host knows this request; it ended some time ago, or it was '
    'lost; send it again',
)
_HOSTS_UNREACHABLE: Final = Refusal(
    RefusalReason.outcome_unknown,
    Effect.unknown,
    'the entry hosts that have this request cannot be reached; come back',
    retry_after=1,
)


@dataclass(frozen=True)
class FoundAnswer:
    """Hold a call and a stream of its answer from a position."""

    call: Call
    pieces: AsyncGenerator[AnswerPiece, None]


@dataclass(frozen=True)
class _PeerReply:
    """Hold a peer's reply to a query, with the open stream if it has one.

    ``standing`` states whether the peer owns the answer, holds a copy of the
    request, or has neither. It is None if a live peer did not respond.
    """

    peer: str
    standing: int | None = UNKNOWN
    first_part: AnswerPart = field(default_factory=AnswerPart)
    stream: Any = None


@dataclass(frozen=True)
class _Query:
    request_id: str
    seen: ReadPosition
    take_over: bool = False
    unreachable: set[str] = field(default_factory=set)


class AnswerFinder:
    """Find answers on this host or a peer.

    If the owner of an answer is lost, the holder of the copy takes over.
    """

    def __init__(
        self, own_name: str, peers: Peers, runner: AnswerRunner
    ) -> None:
        self._own_name = own_name
        self._peers = peers
        self._runner = runner

    async def find(
        self, request_id: str, seen: ReadPosition
    ) -> Result[FoundAnswer, Refusal]:
        """Return the answer from the position that the caller has reached."""
        located = await self._locate(request_id, seen)
        if isinstance(located, Refusal):
            return Failure(located)
        if isinstance(located, Answer):
            return Success(FoundAnswer(located.call, located.follow(seen)))
        return Success(
            FoundAnswer(
                _make_call(request_id, located.first_part),
                self._relay(request_id, seen, located),
            )
        )

    async def _relay(
        self, request_id: str, seen: ReadPosition, reply: _PeerReply
    ) -> AsyncGenerator[AnswerPiece, None]:
        located: _PeerReply | Answer | Refusal = reply
        for _ in range(_MAX_REOPENS):
            if isinstance(located, Refusal):
                yield AnswerPiece(seen.offset, (), refusal=located)
                return
            async for piece in self._follow(located, seen):
                yield piece
                seen = _get_end_position(piece)
                if _is_last(piece):
                    return
            # The stream broke, or another host took over, so locate it again.
            located = await self._locate(request_id, seen)
        yield AnswerPiece(seen.offset, (), refusal=_HOSTS_UNREACHABLE)

    async def _follow(
        self, located: '_PeerReply | Answer', seen: ReadPosition
    ) -> AsyncGenerator[AnswerPiece, None]:
        local = isinstance(located, Answer)
        pieces = located.follow(seen) if local else self._read_pieces(located)
        async for piece in pieces:
            if piece.handed_over:
                return
            yield piece

    async def _read_pieces(
        self, reply: _PeerReply
    ) -> AsyncGenerator[AnswerPiece, None]:
        try:
            while True:
                part = await self._read_part(reply)
                if part is None:
                    return
                yield decode_piece(part)
        except RpcError:
            return
        finally:
            reply.stream.cancel()

    async def _read_part(self, reply: _PeerReply) -> AnswerPart | None:
        read_task = asyncio.ensure_future(reply.stream.read())
        while not read_task.done():
            await asyncio.wait((read_task,), timeout=_LIVENESS_CHECK_SECONDS)
            if not read_task.done() and not self._is_alive(reply.peer):
                read_task.cancel()
                return None
        part = read_task.result()
        return part if isinstance(part, AnswerPart) else None

    def _is_alive(self, name: str) -> bool:
        return any(peer.name == name for peer in self._peers.list_peers())

    async def _locate(
        self, request_id: str, seen: ReadPosition
    ) -> _PeerReply | Answer | Refusal:
        # A restarted host or a broken channel may be reachable again soon.
        for _ in range(_MAX_SEARCHES):
            query = _Query(request_id, seen)
            located = await self._try_locate(query)
            if located is not None:
                return located
            if not query.unreachable:
                return _UNKNOWN_REQUEST
            await asyncio.sleep(_SEARCH_PAUSE_SECONDS)
        return _HOSTS_UNREACHABLE

    async def _try_locate(self, query: '_Query') -> _PeerReply | Answer | None:
        request_id = query.request_id
        answer = self._runner.find_answer(request_id)
        if answer is not None:
            return answer
        origin = parse_origin(request_id)
        named_replies = await self._query_hosts(
            query, (origin.accepting, origin.holder)
        )
        if _find_by_standing(named_replies, OWNED):
            return _find_by_standing(named_replies, OWNED)
        taken_over = await self._take_over(query, named_replies)
        if taken_over is not None:
            return taken_over
        names = list_unnamed_hosts(request_id, self._peers.list_peers())
        other_replies = await self._query_hosts(query, names[:_MAX_QUERIED])
        owner = _find_by_standing(other_replies, OWNED)
        return owner or await self._take_over(query, other_replies)

    async def _take_over(
        self, query: _Query, replies: Sequence[_PeerReply]
    ) -> _PeerReply | Answer | None:
        answer = self._runner.take_over(query.request_id, 'owner_gone')
        if answer is not None:
            return answer
        holder = _find_by_standing(replies, HELD)
        if holder is None:
            return None
        takeover_query = replace(query, take_over=True)
        return _find_by_standing(
            await self._query_hosts(takeover_query, (holder.peer,)), OWNED
        )

    async def _query_hosts(
        self, query: _Query, names: Sequence[str]
    ) -> list[_PeerReply]:
        queried = {name for name in names if name and name != self._own_name}
        replies = await asyncio.gather(
            *(self._query_host(query, name) for name in sorted(queried))
        )
        query.unreachable.update(
            reply.peer for reply in replies if reply.standing is None
        )
        chosen = _find_by_standing(replies, OWNED)
        for reply in replies:
            if reply.stream is not None and reply is not chosen:
                reply.stream.cancel()
        return replies

    async def _query_host(self, query: _Query, name: str) -> _PeerReply:
        channel = self._peers.find_channel(name)
        if channel is None:
            return _PeerReply(name)
        stream = AnswersStub(channel).Follow(
            FollowRequest(
                request_id=query.request_id,
                offset=query.seen.offset,
                digest=query.seen.digest,
                take_over=query.take_over,
            )
        )
        try:
            async with asyncio.timeout(_QUERY_TIMEOUT_SECONDS):
                first_part = await stream.read()
        except (RpcError, TimeoutError):
            stream.cancel()
            return _PeerReply(name, None)
        if not isinstance(first_part, AnswerPart):
            return _PeerReply(name, None)
        return _PeerReply(name, first_part.standing, first_part, stream)


def _find_by_standing(
    replies: Sequence[_PeerReply], standing: int
) -> _PeerReply | None:
    matching = (reply for reply in replies if reply.standing == standing)
    return next(matching, None)


def _is_last(piece: AnswerPiece) -> bool:
    return piece.finished or piece.refusal is not None


def _get_end_position(piece: AnswerPiece) -> ReadPosition:
    return ReadPosition(piece.offset + len(piece.tokens), piece.digest)


def _make_call(request_id: str, part: AnswerPart) -> Call:
    # Only these fields are needed to write the events of a relayed answer.
    return Call(
        request_id=request_id,
        workspace='',
        route=part.route,
        service=part.service,
        priority=Priority.batch,
        idempotent=True,
        idempotency_key=None,
        deadline=0,
        content_key='',
        chat=part.chat,
    )
