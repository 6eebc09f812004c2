"""Hold the answer of each request independently of connections.

A caller may lose its connection and reconnect. Tokens are therefore kept until
some time after the answer has ended, and any number of readers can stream
them from any offset.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from xxhash import xxh3_64, xxh3_64_hexdigest

from monsoonwall.decisions.assembly import Assembly, ChunkVerdict
from monsoonwall.pipeline.messages import (
    AttemptFailure,
    Call,
    Chunk,
    Effect,
    Refusal,
    RefusalReason,
    ServerChoice,
)

# Each host that takes a request over numbers its attempts in a range of its
# own, so that attempts of different hosts never share a number.
ATTEMPTS_PER_OWNER: Final = 1000


@dataclass(frozen=True)
class AnswerPiece:
    """Hold consecutive tokens of an answer for one reader.

    ``digest`` is a hash of the answer's text up to the end of this piece.
    ``handed_over`` means that another entry host continues the answer.
    """

    offset: int
    tokens: tuple[str, ...]
    finished: bool = False
    refusal: Refusal | None = None
    digest: str = ''
    handed_over: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True)
class ReadPosition:
    """Describe what a reader has: a token count and, if known, a text hash."""

    offset: int = 0
    digest: str = ''


class InterruptionKind(StrEnum):
    """List why an attempt stops before its answer is complete."""

    failed = 'failed'
    moved = 'moved'
    abandoned = 'abandoned'


@dataclass(frozen=True)
class Interruption:
    """Describe why an attempt stops, and the next server if chosen."""

    kind: InterruptionKind
    failure: AttemptFailure
    choice: ServerChoice | None = None
    kv_handle: str = ''


class RunningAttempt(ABC):
    """Expose a running attempt to tasks that may interrupt it."""

    choice: ServerChoice

    @abstractmethod
    def interrupt(self, interruption: Interruption) -> None:
        """End the attempt with this interruption unless it has ended."""


class Answer:
    """Collect the tokens of one request and stream them to readers.

    ``takeovers`` is the number of entry hosts that ran the request before
    this one. ``active`` is true while a task generates the answer.
    """

    def __init__(
        self,
        call: Call,
        version: str = '',
        isolated: bool = False,
        takeovers: int = 0,
        tokens: tuple[str, ...] = (),
    ) -> None:
        self.call = call
        self.version = version
        self.isolated = isolated
        self.takeovers = takeovers
        self.active = False
        self.refusal: Refusal | None = None
        self.handed_over = False
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.readers = 0
        self.running_attempt: RunningAttempt | None = None
        self._assembly = Assembly(call.request_id, call.max_tokens, tokens)
        self._hasher = xxh3_64(''.join(tokens).encode())
        self._changed = asyncio.Event()

    @property
    def tokens(self) -> list[str]:
        """Return the tokens so far; callers must not change the list."""
        return self._assembly.tokens

    @property
    def finished(self) -> bool:
        """Return whether the answer is complete."""
        return self._assembly.finished

    @property
    def full(self) -> bool:
        """Return whether the answer has its maximum number of tokens."""
        return self._assembly.full

    @property
    def ended(self) -> bool:
        """Return whether this host will add nothing more to the answer."""
        return self.finished or self.refusal is not None or self.handed_over

    @property
    def next_attempt(self) -> int:
        """Return an attempt number that no host has used for this request."""
        first = self.takeovers * ATTEMPTS_PER_OWNER + 1
        return max(first, self._assembly.attempt + 1)

    def begin_attempt(self, number: int) -> None:
        """Accept only chunks of this attempt from now on."""
        self._assembly.begin_attempt(number)

    def add_chunk(self, chunk: Chunk) -> ChunkVerdict:
        """Append a chunk if it is valid; return the verdict on it."""
        verdict = self._assembly.add_chunk(chunk)
        if verdict is ChunkVerdict.taken:
            self._hasher.update(''.join(chunk.tokens).encode())
            self._wake_readers()
        return verdict

    def finish(self) -> None:
        """Mark an answer as complete."""
        self._assembly.finished = True
        self._wake_readers()

    def refuse(self, refusal: Refusal) -> None:
        """End an incomplete answer with a refusal."""
        self.refusal = refusal
        self._wake_readers()

    def hand_over(self) -> None:
        """End the answer here; another entry host continues it."""
        self.handed_over = True
        self._wake_readers()

    async def follow(
        self, seen: ReadPosition
    ) -> AsyncGenerator[AnswerPiece, None]:
        """Yield the tokens after a position as they arrive, until the end."""
        with self._count_reader():
            while len(self.tokens) < seen.offset and not self.ended:
                await self._changed.wait()
            if self.ended and self.handed_over:
                yield self._make_piece(len(self.tokens))
                return
            if not _matches_text(self.tokens, seen):
                yield AnswerPiece(seen.offset, (), refusal=_refuse_diverged())
                return
            async for piece in self._follow_from(seen.offset):
                yield piece

    async def _follow_from(
        self, offset: int
    ) -> AsyncGenerator[AnswerPiece, None]:
        position = offset
        while True:
            changed = self._changed
            piece = self._make_piece(position)
            if piece.tokens or self.ended:
                yield piece
            position += len(piece.tokens)
            if self.ended and position == len(self.tokens):
                return
            if not changed.is_set():
                await changed.wait()

    def _make_piece(self, position: int) -> AnswerPiece:
        return AnswerPiece(
            position,
            tuple(self.tokens[position:]),
            self.finished,
            self.refusal,
            self._hasher.hexdigest(),
            self.handed_over,
            self.prompt_tokens,
            self.cached_tokens,
        )

    @contextmanager
    def _count_reader(self) -> Iterator[None]:
        self.readers += 1
        try:
            yield
        finally:
            self.readers -= 1

    def _wake_readers(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


class AnswerTable:
    """Store running and recently ended answers by request id."""

    def __init__(self) -> None:
        self._answers: dict[str, Answer] = {}

    def __len__(self) -> int:
        """Return the number of answers that have not ended."""
        return sum(not answer.ended for answer in self._answers.values())

    def open_answer(self, call: Call) -> Answer:
        """Create and store the answer of a new call."""
        return self.add(Answer(call))

    def add(self, answer: Answer) -> Answer:
        """Store an answer and return it."""
        self._answers[answer.call.request_id] = answer
        return answer

    def find(self, request_id: str) -> Answer | None:
        """Return the answer of a request, or None."""
        return self._answers.get(request_id)

    def list_answers(self) -> list[Answer]:
        """Return all stored answers."""
        return list(self._answers.values())

    def list_running(self) -> list[Answer]:
        """Return the answers that have not ended."""
        return [answer for answer in self._answers.values() if not answer.ended]

    def remove(self, request_id: str) -> None:
        """Remove an answer that no reader will request again."""
        self._answers.pop(request_id, None)


def _matches_text(tokens: list[str], seen: ReadPosition) -> bool:
    if len(tokens) < seen.offset:
        return False
    if not seen.digest:
        return True
    text = ''.join(tokens[: seen.offset])
    return xxh3_64_hexdigest(text.encode()) == seen.digest


def _refuse_diverged() -> Refusal:
    return Refusal(
        RefusalReason.answer_diverged,
        Effect.run,
        'the answer went on differently from the text received; '
        'drop that text and send the request again',
    )
