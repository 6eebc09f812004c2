"""Send an attempt to one server and read its response."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.departure_bound import DepartureBound
from monsoonwall.gateway.dialect import Attempt, Dialect, ResponseInfo
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.pool import ChannelPool
from monsoonwall.gateway.server_connections import ServerConnector
from monsoonwall.pipeline.messages import AttemptEnding
from monsoonwall.transport.channels import Channel, Message
from monsoonwall.transport.messages import (
    BodyChunk,
    Head,
    Reply,
    ResponseEnding,
)

# A live server accepts a connection within milliseconds.
_CONNECT_SECONDS: Final = 0.5
# How many responses to other requests one attempt skips on its channel.
_MAX_STRAY_RESPONSES: Final = 2
# The longest response that is skipped; a longer one closes the channel.
_MAX_STRAY_BYTES: Final = 65_536
_FIRST_REDIRECT_STATUS: Final = 300


@dataclass(frozen=True)
class AttemptResult:
    """Hold how an attempt ended.

    ``reply`` is the response of a server that failed or refused the attempt.
    ``open_channel`` is the serial of the channel if it was kept open.
    """

    ending: AttemptEnding
    detail: str = ''
    reply: Reply | None = None
    open_channel: int | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run the request."""
        return self.ending not in {
            AttemptEnding.unreachable,
            AttemptEnding.busy,
            AttemptEnding.unsent,
        }


_UNSENT: Final = AttemptResult(AttemptEnding.unsent, 'the server has left')


class ResponseObserver(ABC):
    """Receive the protocol fields of each response."""

    @abstractmethod
    def observe_response(
        self, server: BackendServer, response_info: ResponseInfo, sent_at: float
    ) -> None:
        """Process a response head as soon as it has arrived.

        ``sent_at`` is when the request was sent (monotonic seconds).
        """

    @abstractmethod
    def observe_unreachable(self, server: BackendServer) -> None:
        """Process that a server did not accept a connection."""


class ResponseWriter(ABC):
    """Receive a successful response while it arrives."""

    @abstractmethod
    def start(self, head: Head) -> None:
        """Receive the response head."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Receive a part of the body."""

    @abstractmethod
    async def drain(self) -> None:
        """Wait until the caller has read enough for more to be written."""

    @abstractmethod
    async def finish(self, ending: ResponseEnding) -> bool:
        """Receive the end; return whether the response is complete."""


class Sender:
    """Send attempts over pooled channels."""

    def __init__(
        self,
        dialect: Dialect,
        clock: Clock,
        observer: ResponseObserver,
        connector: ServerConnector,
        departure_bound: DepartureBound,
    ) -> None:
        self.pool = ChannelPool(clock, connector)
        self._dialect = dialect
        self._clock = clock
        self._observer = observer
        self._departure_bound = departure_bound

    async def send(
        self, attempt: Attempt, writer: ResponseWriter, response_deadline: float
    ) -> AttemptResult:
        """Send an attempt; its response must start before the deadline.

        Closes the channel when cancelled, which also stops the server's work.
        Never sends a request twice on one channel: a server may repeat its
        response late, and the copy bears the same id as the next response.
        """
        began_at = self._clock.read_monotonic()
        if not await self._departure_bound.allows(attempt.server):
            return _UNSENT
        # The server has as much time as without that check.
        response_deadline += self._clock.read_monotonic() - began_at
        try:
            channel = await self.pool.acquire(
                attempt.server, _CONNECT_SECONDS, attempt.used_channels
            )
        except OSError as error:
            self._observer.observe_unreachable(attempt.server)
            return AttemptResult(AttemptEnding.unreachable, str(error))
        try:
            # The server may have left while the channel was opened.
            allowed = await self._departure_bound.allows(attempt.server)
        except BaseException:
            channel.close()
            raise
        if not allowed:
            channel.close()
            return _UNSENT
        now = self._clock.read_monotonic()
        reader = _ResponseReader(
            attempt,
            self._dialect,
            writer,
            channel,
            partial(
                self._observer.observe_response, attempt.server, sent_at=now
            ),
        )
        self._departure_bound.record_sending(attempt.server)
        try:
            channel.send(self._dialect.write_attempt(attempt, now))
            outcome = await reader.run(response_deadline - now)
        except BaseException:
            channel.close()
            raise
        if not reader.reusable:
            channel.close()
            return outcome
        self.pool.release(attempt.server, channel, reader.response_info)
        return replace(outcome, open_channel=channel.serial)


class _ResponseReader:
    """Read the response to one attempt.

    ``reusable`` tells whether the channel can carry another request afterwards.
    """

    def __init__(
        self,
        attempt: Attempt,
        dialect: Dialect,
        writer: ResponseWriter,
        channel: Channel,
        observe: Callable[[ResponseInfo], None],
    ) -> None:
        self._observe = observe
        self.reusable = False
        self.response_info = ResponseInfo('', False, False, True)
        self._attempt = attempt
        self._dialect = dialect
        self._writer = writer
        self._channel = channel

    async def run(self, response_seconds: float) -> AttemptResult:
        """Read the response; return how the attempt ended."""
        try:
            head = await asyncio.wait_for(
                self._receive_own_head(), response_seconds
            )
        except TimeoutError:
            return AttemptResult(AttemptEnding.timed_out, 'no answer in time')
        if isinstance(head, AttemptResult):
            return head
        if self.response_info.not_executed:
            return await self._read_error_response(head, AttemptEnding.busy)
        if not self.response_info.signed:
            return AttemptResult(
                AttemptEnding.malformed,
                f'status {head.status} without seal',
            )
        if head.status >= _FIRST_REDIRECT_STATUS:
            return await self._read_error_response(head, AttemptEnding.failed)
        return await self._relay(head)

    async def _receive_own_head(self) -> Head | AttemptResult:
        for _ in range(_MAX_STRAY_RESPONSES + 1):
            message = await self._channel.receive()
            if not isinstance(message, Head):
                return AttemptResult(
                    AttemptEnding.crashed, 'channel closed without answer'
                )
            self.response_info = self._dialect.read_response(message)
            if self._is_own_response():
                self._observe(self.response_info)
                return message
            if not await self._skip_stray_response(message):
                break
        return AttemptResult(
            AttemptEnding.malformed, 'the answer belongs to another request'
        )

    def _is_own_response(self) -> bool:
        response_id = self.response_info.attempt_id
        if not response_id:
            # A full server may refuse the request before it has read its id.
            return self.response_info.not_executed
        return response_id == self._attempt.request.attempt_id

    async def _skip_stray_response(self, head: Head) -> bool:
        stray = await self._channel.receive_rest(head, _MAX_STRAY_BYTES)
        if stray.ending is not ResponseEnding.complete:
            return False
        # The response to this request may still follow.
        await asyncio.sleep(0)
        self._channel.read_next_response()
        return True

    async def _read_error_response(
        self, head: Head, ending: AttemptEnding
    ) -> AttemptResult:
        reply = await self._channel.receive_rest(head)
        # A late copy of a response without an id could not be told from the
        # response to the next request.
        self.reusable = reply.ending is ResponseEnding.complete and bool(
            self.response_info.attempt_id
        )
        detail = f'status {head.status}'
        if (
            ending is AttemptEnding.failed
            and reply.ending is ResponseEnding.broken
        ):
            return AttemptResult(AttemptEnding.crashed, detail)
        return AttemptResult(ending, detail, reply)

    async def _relay(self, head: Head) -> AttemptResult:
        self._writer.start(head)
        while True:
            message: Message = await self._channel.receive()
            if isinstance(message, BodyChunk):
                self._writer.write(message.content)
                await self._writer.drain()
            elif isinstance(message, ResponseEnding):
                return await self._finish_relay(message)

    async def _finish_relay(self, ending: ResponseEnding) -> AttemptResult:
        self.reusable = ending is ResponseEnding.complete
        if await self._writer.finish(ending):
            return AttemptResult(AttemptEnding.completed)
        return AttemptResult(
            AttemptEnding.crashed, f'the answer ended {ending}'
        )
