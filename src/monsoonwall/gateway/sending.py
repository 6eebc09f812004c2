"""Send a request to one server and read its answer."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import AnswerFacts, Attempt, Dialect
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.pool import ChannelPool
from monsoonwall.pipeline.messages import AttemptEnding
from monsoonwall.transport.channels import Channel, Message
from monsoonwall.transport.messages import Ending, Head, Piece, Reply

# A live server accepts a channel within milliseconds.
_CONNECT_SECONDS: Final = 0.5
# Answers to other requests that are passed over on one channel.
_MAX_STRAY_ANSWERS: Final = 2
# The longest of them that is read to its end; a longer one spoils its channel.
_MAX_STRAY_BYTES: Final = 65_536
_FIRST_REDIRECT: Final = 300


@dataclass(frozen=True)
class SendingResult:
    """Tell how a sending ended; ``reply`` is a whole answer, if one came."""

    ending: AttemptEnding
    detail: str = ''
    reply: Reply | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether the server may have run the request."""
        return self.ending not in {
            AttemptEnding.unreachable,
            AttemptEnding.busy,
        }


class AnswerObserver(ABC):
    """Take in what servers say of themselves in their answers."""

    @abstractmethod
    def note_answer(self, server: BackendServer, facts: AnswerFacts) -> None:
        """Take in the head of an answer as soon as it has arrived."""


class AnswerSink(ABC):
    """Take in a successful answer while it arrives."""

    @abstractmethod
    def begin(self, head: Head) -> None:
        """Take in the head of a success."""

    @abstractmethod
    def add(self, content: bytes) -> None:
        """Take in a part of the body."""

    @abstractmethod
    def end(self, ending: Ending) -> bool:
        """Take in the end; return whether the answer is whole."""


class Sender:
    """Carry out attempts over kept channels."""

    def __init__(
        self, dialect: Dialect, clock: Clock, observer: AnswerObserver
    ) -> None:
        self.pool = ChannelPool(clock)
        self._dialect = dialect
        self._clock = clock
        self._observer = observer

    async def send(
        self, attempt: Attempt, sink: AnswerSink, first_deadline: float
    ) -> SendingResult:
        """Send an attempt; its answer must begin before the deadline.

        Closes the channel when cancelled, which also ends the server's work.
        """
        try:
            channel = await self.pool.take(attempt.server, _CONNECT_SECONDS)
        except OSError as error:
            return SendingResult(AttemptEnding.unreachable, str(error))
        exchange = _Exchange(
            attempt, self._dialect, sink, channel, self._observer
        )
        now = self._clock.read_monotonic()
        try:
            channel.send(self._dialect.write_attempt(attempt, now))
            outcome = await exchange.run(first_deadline - now)
        except BaseException:
            channel.close()
            raise
        if exchange.reusable:
            self.pool.give_back(attempt.server, channel, exchange.facts)
        else:
            channel.close()
        return outcome


class _Exchange:
    """Read the answer of one attempt."""

    def __init__(
        self,
        attempt: Attempt,
        dialect: Dialect,
        sink: AnswerSink,
        channel: Channel,
        observer: AnswerObserver,
    ) -> None:
        self._observer = observer
        self.reusable = False
        self.facts = AnswerFacts('', False, False, True)
        self._attempt = attempt
        self._dialect = dialect
        self._sink = sink
        self._channel = channel

    async def run(self, first_seconds: float) -> SendingResult:
        """Return how the answer ended."""
        try:
            first = await asyncio.wait_for(self._find_head(), first_seconds)
        except TimeoutError:
            return SendingResult(AttemptEnding.timed_out, 'no answer in time')
        if isinstance(first, SendingResult):
            return first
        if self.facts.not_executed:
            return await self._finish(first, AttemptEnding.busy)
        if not self.facts.sealed:
            return SendingResult(
                AttemptEnding.malformed, f'status {first.status} without seal'
            )
        if first.status >= _FIRST_REDIRECT:
            return await self._finish(first, AttemptEnding.failed)
        return await self._relay(first)

    async def _find_head(self) -> Head | SendingResult:
        for _ in range(_MAX_STRAY_ANSWERS + 1):
            message = await self._channel.receive()
            if not isinstance(message, Head):
                return SendingResult(
                    AttemptEnding.crashed, 'channel closed without answer'
                )
            self.facts = self._dialect.read_answer(message)
            if self._is_own_answer():
                self._observer.note_answer(self._attempt.server, self.facts)
                return message
            if not await self._pass_over(message):
                break
        return SendingResult(
            AttemptEnding.malformed, 'the answer belongs to another request'
        )

    def _is_own_answer(self) -> bool:
        named = self.facts.attempt_id
        if not named:
            # A server that is full may refuse before it reads the request.
            return self.facts.not_executed
        return named == self._attempt.request.attempt_id

    async def _pass_over(self, head: Head) -> bool:
        stray = await self._channel.receive_rest(head, _MAX_STRAY_BYTES)
        if stray.ending is not Ending.complete:
            return False
        # The answer to this request may still follow.
        await asyncio.sleep(0)
        self._channel.read_another()
        return True

    async def _finish(self, head: Head, ending: AttemptEnding) -> SendingResult:
        reply = await self._channel.receive_rest(head)
        self.reusable = reply.ending is Ending.complete
        detail = f'status {head.status}'
        if ending is AttemptEnding.failed and reply.ending is Ending.broken:
            return SendingResult(AttemptEnding.crashed, detail)
        return SendingResult(ending, detail, reply)

    async def _relay(self, head: Head) -> SendingResult:
        self._sink.begin(head)
        while True:
            message: Message = await self._channel.receive()
            if isinstance(message, Piece):
                self._sink.add(message.content)
            elif isinstance(message, Ending):
                return self._end(message)

    def _end(self, ending: Ending) -> SendingResult:
        self.reusable = ending is Ending.complete
        if self._sink.end(ending):
            return SendingResult(AttemptEnding.completed)
        return SendingResult(
            AttemptEnding.crashed, f'the answer ended {ending}'
        )
