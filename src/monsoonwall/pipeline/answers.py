"""Keep the answer of each running request apart from its connection.

A caller may lose its connection and come back, so the tokens stay here until
some time after the end, and any number of readers follow from any offset.
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

# Numbers apart let the attempts of successive owners never be confused.
ATTEMPTS_PER_OWNER: Final = 1000


@dataclass(frozen=True)
class AnswerPiece:
    """Carry the part of an answer that a reader has not seen.

    ``digest`` is a hash of the answer's text up to the end of this piece.
    ``handed_over`` tells that another entry host has the rest.
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
    """Tell what a reader has: tokens, and a hash of their text if known."""

    offset: int = 0
    digest: str = ''


class InterruptionKind(StrEnum):
    """Name why an attempt stops before its answer is whole."""

    failed = 'failed'
    moved = 'moved'
    abandoned = 'abandoned'


@dataclass(frozen=True)
class Interruption:
    """End an attempt; ``choice`` is where the next one goes, if decided."""

    kind: InterruptionKind
    failure: AttemptFailure
    choice: ServerChoice | None = None
    kv_handle: str = ''


class RunningAttempt(ABC):
    """Let other tasks see and interrupt an attempt in progress."""

    choice: ServerChoice

    @abstractmethod
    def interrupt(self, interruption: Interruption) -> None:
        """End the attempt unless it has ended."""


class Answer:
    """Grow as attempts give tokens; end with the last or a refusal.

    ``takeovers`` counts the entry hosts that ran the request before this
    one. ``active`` tells whether a task is filling the answer.
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
        """Return the tokens so far; for reading only."""
        return self._assembly.tokens

    @property
    def finished(self) -> bool:
        """Tell whether the answer is whole."""
        return self._assembly.finished

    @property
    def full(self) -> bool:
        """Tell whether the answer has as many tokens as it may."""
        return self._assembly.full

    @property
    def ended(self) -> bool:
        """Tell whether nothing will be added here."""
        return self.finished or self.refusal is not None or self.handed_over

    @property
    def next_attempt(self) -> int:
        """Return the number of an attempt that no host has made yet."""
        first = self.takeovers * ATTEMPTS_PER_OWNER + 1
        return max(first, self._assembly.attempt + 1)

    def begin_attempt(self, number: int) -> None:
        """Take chunks of this attempt only, from now on."""
        self._assembly.begin_attempt(number)

    def add_chunk(self, chunk: Chunk) -> ChunkVerdict:
        """Add a chunk that fits; return what became of it."""
        verdict = self._assembly.take(chunk)
        if verdict is ChunkVerdict.taken:
            self._hasher.update(''.join(chunk.tokens).encode())
            self._wake_readers()
        return verdict

    def finish(self) -> None:
        """End an answer that has all of its tokens."""
        self._assembly.finished = True
        self._wake_readers()

    def refuse(self, refusal: Refusal) -> None:
        """End the answer before it is whole."""
        self.refusal = refusal
        self._wake_readers()

    def hand_over(self) -> None:
        """Tell the readers that another entry host has the rest."""
        self.handed_over = True
        self._wake_readers()

    async def follow(
        self, seen: ReadPosition
    ) -> AsyncGenerator[AnswerPiece, None]:
        """Yield what lies past a position, as it comes, to the end."""
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
    """Find the running and lately ended answers by request id."""

    def __init__(self) -> None:
        self._answers: dict[str, Answer] = {}

    def __len__(self) -> int:
        """Count the answers that have not ended."""
        return sum(not answer.ended for answer in self._answers.values())

    def open_answer(self, call: Call) -> Answer:
        """Begin the answer of a call."""
        return self.add(Answer(call))

    def add(self, answer: Answer) -> Answer:
        """Keep an answer and return it."""
        self._answers[answer.call.request_id] = answer
        return answer

    def find(self, request_id: str) -> Answer | None:
        """Return the answer of a request, if it is here."""
        return self._answers.get(request_id)

    def list_answers(self) -> list[Answer]:
        """Return the answers that are here."""
        return list(self._answers.values())

    def list_running(self) -> list[Answer]:
        """Return the answers that have not ended."""
        return [one for one in self._answers.values() if not one.ended]

    def forget(self, request_id: str) -> None:
        """Drop an answer that nobody will ask for."""
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
