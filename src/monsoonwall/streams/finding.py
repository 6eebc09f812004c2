"""Find an answer on whichever entry host has it, and relay it."""

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

_ASK_SECONDS: Final = 1.0
_READ_SECONDS: Final = 2.0
_MAX_ASKED: Final = 32
_MAX_REOPENED: Final = 8
_MAX_SEARCHES: Final = 10
_SEARCH_PAUSE_SECONDS: Final = 0.3
_UNKNOWN: Final = Refusal(
    RefusalReason.unknown_request,
    Effect.unknown,
    'no entry host knows this request; it ended some time ago, or it was '
    'lost; send it again',
)
_UNREACHED: Final = Refusal(
    RefusalReason.outcome_unknown,
    Effect.unknown,
    'the entry hosts that have this request cannot be reached; come back',
    retry_after=1,
)


@dataclass(frozen=True)
class Found:
    """Hold a request and the pieces of its answer past a position."""

    call: Call
    pieces: AsyncGenerator[AnswerPiece, None]


@dataclass(frozen=True)
class _Source:
    """Hold an open stream of another host's answer, or its standing.

    The standing is None where the host is alive but was not reached.
    """

    peer: str
    standing: int | None = UNKNOWN
    first: AnswerPart = field(default_factory=AnswerPart)
    stream: Any = None


@dataclass(frozen=True)
class _Wanted:
    request_id: str
    seen: ReadPosition
    take_over: bool = False
    unreached: set[str] = field(default_factory=set)


class Finder:
    """Find answers here, at their owner or at the holder of the copy."""

    def __init__(
        self, own_name: str, peers: Peers, runner: AnswerRunner
    ) -> None:
        self._own_name = own_name
        self._peers = peers
        self._runner = runner

    async def find(
        self, request_id: str, seen: ReadPosition
    ) -> Result[Found, Refusal]:
        """Return the answer past what the caller has, wherever it is."""
        opened = await self._search(request_id, seen)
        if isinstance(opened, Refusal):
            return Failure(opened)
        if isinstance(opened, Answer):
            return Success(Found(opened.call, opened.follow(seen)))
        return Success(
            Found(
                _make_call(request_id, opened.first),
                self._relay(request_id, seen, opened),
            )
        )

    async def _relay(
        self, request_id: str, seen: ReadPosition, source: _Source
    ) -> AsyncGenerator[AnswerPiece, None]:
        opened: _Source | Answer | Refusal = source
        for _ in range(_MAX_REOPENED):
            if isinstance(opened, Refusal):
                yield AnswerPiece(seen.offset, (), refusal=opened)
                return
            async for piece in self._follow(opened, seen):
                yield piece
                seen = _get_end(piece)
                if _is_last(piece):
                    return
            # The host that had the answer went, so another has it now.
            opened = await self._search(request_id, seen)
        yield AnswerPiece(seen.offset, (), refusal=_UNREACHED)

    async def _follow(
        self, opened: '_Source | Answer', seen: ReadPosition
    ) -> AsyncGenerator[AnswerPiece, None]:
        local = isinstance(opened, Answer)
        pieces = opened.follow(seen) if local else self._read_pieces(opened)
        async for piece in pieces:
            if piece.handed_over:
                return
            yield piece

    async def _read_pieces(
        self, source: _Source
    ) -> AsyncGenerator[AnswerPiece, None]:
        try:
            while True:
                part = await self._read_part(source)
                if part is None:
                    return
                yield decode_piece(part)
        except RpcError:
            return
        finally:
            source.stream.cancel()

    async def _read_part(self, source: _Source) -> AnswerPart | None:
        reading = asyncio.ensure_future(source.stream.read())
        while not reading.done():
            await asyncio.wait((reading,), timeout=_READ_SECONDS)
            if not reading.done() and not self._is_alive(source.peer):
                reading.cancel()
                return None
        part = reading.result()
        return part if isinstance(part, AnswerPart) else None

    def _is_alive(self, name: str) -> bool:
        return any(peer.name == name for peer in self._peers.list_peers())

    async def _search(
        self, request_id: str, seen: ReadPosition
    ) -> _Source | Answer | Refusal:
        # A host that came back, or a channel that broke, takes a moment.
        for _ in range(_MAX_SEARCHES):
            wanted = _Wanted(request_id, seen)
            opened = await self._open(wanted)
            if opened is not None:
                return opened
            if not wanted.unreached:
                return _UNKNOWN
            await asyncio.sleep(_SEARCH_PAUSE_SECONDS)
        return _UNREACHED

    async def _open(self, wanted: '_Wanted') -> _Source | Answer | None:
        request_id = wanted.request_id
        answer = self._runner.find_answer(request_id)
        if answer is not None:
            return answer
        origin = parse_origin(request_id)
        named = await self._ask_all(wanted, (origin.accepting, origin.holder))
        if _pick(named, OWNED):
            return _pick(named, OWNED)
        taken = await self._take_over(wanted, named)
        if taken is not None:
            return taken
        names = list_unnamed_hosts(request_id, self._peers.list_peers())
        others = await self._ask_all(wanted, names[:_MAX_ASKED])
        owner = _pick(others, OWNED)
        return owner or await self._take_over(wanted, others)

    async def _take_over(
        self, wanted: _Wanted, sources: Sequence[_Source]
    ) -> _Source | Answer | None:
        answer = self._runner.take_over(wanted.request_id, 'owner_gone')
        if answer is not None:
            return answer
        holder = _pick(sources, HELD)
        if holder is None:
            return None
        asked = replace(wanted, take_over=True)
        return _pick(await self._ask_all(asked, (holder.peer,)), OWNED)

    async def _ask_all(
        self, wanted: _Wanted, names: Sequence[str]
    ) -> list[_Source]:
        asked = {name for name in names if name and name != self._own_name}
        sources = await asyncio.gather(
            *(self._ask(wanted, name) for name in sorted(asked))
        )
        wanted.unreached.update(
            source.peer for source in sources if source.standing is None
        )
        chosen = _pick(sources, OWNED)
        for source in sources:
            if source.stream is not None and source is not chosen:
                source.stream.cancel()
        return sources

    async def _ask(self, wanted: _Wanted, name: str) -> _Source:
        channel = self._peers.find_channel(name)
        if channel is None:
            return _Source(name)
        stream = AnswersStub(channel).Follow(
            FollowRequest(
                request_id=wanted.request_id,
                offset=wanted.seen.offset,
                digest=wanted.seen.digest,
                take_over=wanted.take_over,
            )
        )
        try:
            async with asyncio.timeout(_ASK_SECONDS):
                first = await stream.read()
        except (RpcError, TimeoutError):
            stream.cancel()
            return _Source(name, None)
        if not isinstance(first, AnswerPart):
            return _Source(name, None)
        return _Source(name, first.standing, first, stream)


def _pick(sources: Sequence[_Source], standing: int) -> _Source | None:
    fitting = (one for one in sources if one.standing == standing)
    return next(fitting, None)


def _is_last(piece: AnswerPiece) -> bool:
    return piece.finished or piece.refusal is not None


def _get_end(piece: AnswerPiece) -> ReadPosition:
    return ReadPosition(piece.offset + len(piece.tokens), piece.digest)


def _make_call(request_id: str, part: AnswerPart) -> Call:
    # What a relay needs of the call to write its events.
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
