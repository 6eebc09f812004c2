"""Decide which chunks become part of an answer.

An engine may send a chunk again, leave one out, or send what belongs to
another stream; a superseded attempt may speak long after its successor has
begun. The answer grows only at its end, by the running attempt, so whatever
arrives in whatever order, a caller's text has nothing missing, doubled or
foreign.
"""

from enum import StrEnum
from typing import Final

from monsoonwall.pipeline.messages import Chunk


class ChunkVerdict(StrEnum):
    """Name what becomes of a chunk."""

    taken = 'taken'
    late = 'late'
    repeated = 'repeated'
    foreign = 'foreign'
    missing = 'missing'
    crossed = 'crossed'


# After one of these the rest of the attempt's stream cannot be trusted to
# continue the answer, so that the attempt ends and another one resumes.
FATAL_VERDICTS: Final = frozenset(
    (ChunkVerdict.foreign, ChunkVerdict.missing, ChunkVerdict.crossed)
)


class Assembly:
    """Put one answer together from the chunks of numbered attempts.

    ``limit`` is the greatest number of tokens that the answer may have.
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
        """Tell whether the answer has all the tokens that it may have."""
        return len(self.tokens) >= self._limit

    def begin_attempt(self, number: int) -> None:
        """Take chunks of this attempt only, from now on."""
        if number <= self.attempt:
            raise ValueError(f'attempt {number} follows {self.attempt}')
        self.attempt = number

    def take(self, chunk: Chunk) -> ChunkVerdict:
        """Add a chunk that fits; return what became of it."""
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
        # A repetition that says something else comes from another stream
        # under this one's name.
        known = self.tokens[chunk.offset : end]
        same = known == list(chunk.tokens)
        return ChunkVerdict.repeated if same else ChunkVerdict.crossed
