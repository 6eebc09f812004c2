"""Send a request to one server and read its answer."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import Attempt, Dialect, ResponseInfo
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.pool import ChannelPool
from monsoonwall.pipeline.messages import AttemptEnding
from monsoonwall.transport.channels import Channel, Message
from monsoonwall.transport.messages import Ending, Head, Piece, Reply

# A live server accepts a channel within milliseconds.
_CONNECT_SECONDS: Final = 0.5
# Answers to other requests that are passed over on one channel.
_MAX_STRAY_RESPONSES: Final = 2
# The longest of them that is read to its end; a longer one spoils its channel.
_MAX_STRAY_BYTES: Final = 65_536
_FIRST_REDIRECT: Final = 300


@dataclass(frozen=True)
class AttemptResult:
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


class ResponseObserver(ABC):
    """Take in what servers say of themselves in their answers."""

    @abstractmethod
    def note_response(
        self, server: BackendServer, response_info: ResponseInfo
    ) -> None:
        """Take in the head of an answer as soon as it has arrived."""


class ResponseWriter(ABC):
    """Take in a successful answer while it arrives."""

    @abstractmethod
    def start(self, head: Head) -> None:
        """Take in the head of a success."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Take in a part of the body."""

    @abstractmethod
    def finish(self, ending: Ending) -> bool:
        """Take in the end; return whether the answer is whole."""


class Sender:
    """Carry out attempts over kept channels."""

    def __init__(
        self, dialect: Dialect, clock: Clock, observer: ResponseObserver
    ) -> None:
        self.pool = ChannelPool(clock)
        self._dialect = dialect
        self._clock = clock
        self._observer = observer

    async def send(
        self, attempt: Attempt, writer: ResponseWriter, response_deadline: float
    ) -> AttemptResult:
        """Send an attempt; its answer must begin before the deadline.

        Closes the channel when cancelled, which also ends the server's work.
        """
        try:
            channel = await self.pool.take(attempt.server, _CONNECT_SECONDS)
        except OSError as error:
            return AttemptResult(AttemptEnding.unreachable, str(error))
        exchange = _Exchange(
            attempt, self._dialect, writer, channel, self._observer
        )
        now = self._clock.read_monotonic()
        try:
            channel.send(self._dialect.write_attempt(attempt, now))
            outcome = await exchange.run(response_deadline - now)
        except BaseException:
            channel.close()
            raise
        if exchange.reusable:
            self.pool.put_back(attempt.server, channel, exchange.response_info)
        else:
            channel.close()
        return outcome


class _Exchange:
    """Read the answer of one attempt."""

    def __init__(
        self,
        attempt: Attempt,
        dialect: Dialect,
        writer: ResponseWriter,
        channel: Channel,
        observer: ResponseObserver,
    ) -> None:
        self._observer = observer
        self.reusable = False
        self.response_info = ResponseInfo('', False, False, True)
        self._attempt = attempt
        self._dialect = dialect
        self._writer = writer
        self._channel = channel

    async def run(self, response_seconds: float) -> AttemptResult:
        """Return how the answer ended."""
        try:
            first = await asyncio.wait_for(
                self._receive_own_head(), response_seconds
            )
        except TimeoutError:
            return AttemptResult(AttemptEnding.timed_out, 'no answer in time')
        if isinstance(first, AttemptResult):
            return first
        if self.response_info.not_executed:
            return await self._finish(first, AttemptEnding.busy)
        if not self.response_info.signed:
            return AttemptResult(
                AttemptEnding.malformed, f'status {first.status} without seal'
            )
        if first.status >= _FIRST_REDIRECT:
            return await self._finish(first, AttemptEnding.failed)
        return await self._relay(first)

    async def _receive_own_head(self) -> Head | AttemptResult:
        for _ in range(_MAX_STRAY_RESPONSES + 1):
            message = await self._channel.receive()
            if not isinstance(message, Head):
                return AttemptResult(
                    AttemptEnding.crashed, 'channel closed without answer'
                )
            self.response_info = self._dialect.read_response(message)
            if self._is_own_response():
                self._observer.note_response(
                    self._attempt.server, self.response_info
                )
                return message
            if not await self._skip_stray_response(message):
                break
        return AttemptResult(
            AttemptEnding.malformed, 'the answer belongs to another request'
        )

    def _is_own_response(self) -> bool:
        response_id = self.response_info.attempt_id
        if not response_id:
            # A server that is full may refuse before it reads the request.
            return self.response_info.not_executed
        return response_id == self._attempt.request.attempt_id

    async def _skip_stray_response(self, head: Head) -> bool:
        stray = await self._channel.receive_rest(head, _MAX_STRAY_BYTES)
        if stray.ending is not Ending.complete:
            return False
        # The answer to this request may still follow.
        await asyncio.sleep(0)
        self._channel.read_another()
        return True

    async def _finish(self, head: Head, ending: AttemptEnding) -> AttemptResult:
        reply = await self._channel.receive_rest(head)
        self.reusable = reply.ending is Ending.complete
        detail = f'status {head.status}'
        if ending is AttemptEnding.failed and reply.ending is Ending.broken:
            return AttemptResult(AttemptEnding.crashed, detail)
        return AttemptResult(ending, detail, reply)

    async def _relay(self, head: Head) -> AttemptResult:
        self._writer.start(head)
        while True:
            message: Message = await self._channel.receive()
            if isinstance(message, Piece):
                self._writer.write(message.content)
            elif isinstance(message, Ending):
                return self._end(message)

    def _end(self, ending: Ending) -> AttemptResult:
        self.reusable = ending is Ending.complete
        if self._writer.finish(ending):
            return AttemptResult(AttemptEnding.completed)
        return AttemptResult(
            AttemptEnding.crashed, f'the answer ended {ending}'
        )
