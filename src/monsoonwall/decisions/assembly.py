"""Decide which chunks become part of an answer.

An engine may send a chunk twice, skip one, or send one that belongs to
another stream, and a superseded attempt may keep sending long after its
successor has begun. Only the running attempt may extend the answer, and only
at its end. So the caller's text has no missing, repeated or foreign parts,
whatever arrives and in whatever order.
"""

from enum import StrEnum
from typing import Final

from monsoonwall.pipeline.messages import Chunk


class ChunkVerdict(StrEnum):
    """State whether a chunk was added, or why it was dropped.

    A ``late`` chunk belongs to an earlier attempt or comes after the answer's
    end, a ``foreign`` one to another request or to an attempt that has not
    begun. A ``missing`` one comes after a gap. A ``crossed`` one has other
    tokens at a known position, or runs past the token limit.
    """

    taken = 'taken'
    late = 'late'
    repeated = 'repeated'
    foreign = 'foreign'
    missing = 'missing'
    crossed = 'crossed'


# After one of these the rest of the stream may not continue the answer, so
# the attempt ends and another one resumes.
FATAL_VERDICTS: Final = frozenset(
    (ChunkVerdict.foreign, ChunkVerdict.missing, ChunkVerdict.crossed)
)


class Assembly:
    """Assemble one answer from the chunks of numbered attempts.

    ``limit`` is the maximum number of tokens in the answer.
    """

    def __init__(
        self, request_id: str, limit: int, tokens: tuple[str, ...] = ()
    ) -> None:
        self.tokens: list[str] = list(tokens)
        self.finished = False
        self._request_id = request_id
        self._limit = limit
        self.attempt = 0

    @property
    def full(self) -> bool:
        """Return whether the answer has reached its token limit."""
        return len(self.tokens) >= self._limit

    def begin_attempt(self, number: int) -> None:
        """Accept only chunks of this attempt from now on."""
        if number <= self.attempt:
            raise ValueError(
                f'attempt {number} is not later than attempt {self.attempt}'
            )
        self.attempt = number

    def add_chunk(self, chunk: Chunk) -> ChunkVerdict:
        """Add a chunk if it continues the answer; return the verdict."""
        verdict = self._classify(chunk)
        if verdict is ChunkVerdict.taken:
            self.tokens.extend(chunk.tokens)
            self.finished = chunk.finished
        return verdict

    def _classify(self, chunk: Chunk) -> ChunkVerdict:
        known_request = chunk.request_id == self._request_id
        if not known_request or chunk.attempt > self.attempt:
            return ChunkVerdict.foreign
        if chunk.attempt < self.attempt or self.finished:
            return ChunkVerdict.late
        if chunk.offset > len(self.tokens):
            return ChunkVerdict.missing
        end = chunk.offset + len(chunk.tokens)
        if chunk.offset < len(self.tokens):
            return self._classify_repetition(chunk, end)
        return ChunkVerdict.crossed if end > self._limit else ChunkVerdict.taken

    def _classify_repetition(self, chunk: Chunk, end: int) -> ChunkVerdict:
        # A repeated position with other tokens comes from another stream
        # that is sent under this one's id.
        known_tokens = self.tokens[chunk.offset : end]
        repeated = known_tokens == list(chunk.tokens)
        return ChunkVerdict.repeated if repeated else ChunkVerdict.crossed
