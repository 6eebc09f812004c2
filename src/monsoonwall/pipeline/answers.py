"""Keep the answer of each running request apart from its connection.

A caller may lose its connection and come back, so the tokens stay here until
some time after the end, and any number of readers follow from any offset.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from monsoonwall.pipeline.messages import Call, Refusal


@dataclass(frozen=True)
class Piece:
    """Carry the part of an answer that a reader has not seen."""

    offset: int
    tokens: tuple[str, ...]
    finished: bool = False
    refusal: Refusal | None = None


class Answer:
    """Grow as attempts give tokens; end with the last or a refusal."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.tokens: list[str] = []
        self.finished = False
        self.refusal: Refusal | None = None
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self._grown = asyncio.Event()

    @property
    def ended(self) -> bool:
        """Tell whether nothing will be added."""
        return self.finished or self.refusal is not None

    def append(self, tokens: tuple[str, ...], finished: bool) -> None:
        """Add tokens at the end."""
        self.tokens.extend(tokens)
        self.finished = finished
        self._wake_readers()

    def refuse(self, refusal: Refusal) -> None:
        """End the answer before it is whole."""
        self.refusal = refusal
        self._wake_readers()

    async def follow(self, offset: int) -> AsyncIterator[Piece]:
        """Yield what lies past an offset, as it comes, to the end."""
        position = offset
        while True:
            grown = self._grown
            tokens = tuple(self.tokens[position:])
            if tokens or self.ended:
                yield Piece(position, tokens, self.finished, self.refusal)
            position += len(tokens)
            if self.ended:
                return
            if not grown.is_set():
                await grown.wait()

    async def wait_end(self) -> None:
        """Return once nothing will be added."""
        while not self.ended:
            await self._grown.wait()

    def _wake_readers(self) -> None:
        grown = self._grown
        self._grown = asyncio.Event()
        grown.set()


class AnswerTable:
    """Find the running and lately ended answers by request id."""

    def __init__(self) -> None:
        self._answers: dict[str, Answer] = {}

    def __len__(self) -> int:
        """Count the answers that have not ended."""
        return sum(not answer.ended for answer in self._answers.values())

    def open_answer(self, call: Call) -> Answer:
        """Begin the answer of a call."""
        answer = Answer(call)
        self._answers[call.request_id] = answer
        return answer

    def find(self, request_id: str) -> Answer | None:
        """Return the answer of a request, if it is here."""
        return self._answers.get(request_id)

    def forget(self, request_id: str) -> None:
        """Drop an answer that nobody will ask for."""
        self._answers.pop(request_id, None)
