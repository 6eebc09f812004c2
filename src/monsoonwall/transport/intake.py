"""Read requests and write responses within the memory of the process.

Wraps the delegate of an HTTP server. Bodies are joined in one buffer and passed
on when they are complete. A body for which there is no room is not read on; the
kernel's buffers hold what its client sends meanwhile.
"""

import asyncio
from abc import abstractmethod
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from monsoonwall.clocks import Clock
from monsoonwall.decisions.intake import Holding, IntakeAccount, IntakeLimits
from monsoonwall.logs import make_logger
from monsoonwall.metrics import INTAKE_BYTES, INTAKE_CLOSED

# Largest piece that is read at once. Each channel may hold one or two that the
# account does not count.
READ_BYTES: Final = 16_384
_STEP_SECONDS: Final = 0.1

_log = make_logger('intake')


def has_unread(connection: HTTP1Connection) -> bool:
    """Return whether bytes of a further request have been read."""
    stream = connection.stream
    # Tornado has no public name for this.
    return stream is not None and stream._read_buffer_size > 0


class RequestReceiver(HTTPMessageDelegate):
    """Receive one request; its body arrives as one piece."""

    @property
    def takes_pieces(self) -> bool:
        """Return whether the body is passed on as it arrives, unlike others.

        Asked once the head has been received.
        """
        return False

    @abstractmethod
    def refuse_unread(self, detail: str) -> None:
        """Refuse the request, whose body has not been read to its end."""


class ChannelReceiver(HTTPServerConnectionDelegate):
    """Receive the requests of all channels."""

    @property
    @abstractmethod
    def max_body_bytes(self) -> int:
        """Return the largest allowed size of a request body."""

    @abstractmethod
    def read_owner(self, headers: HTTPHeaders) -> str:
        """Return who sends a request, or an empty string."""

    @abstractmethod
    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> RequestReceiver:
        """Return the receiver of the next request of a channel."""


class IntakeServer(HTTPServer):
    """HTTP server that tells its ``RequestIntake`` which channels close."""

    def on_close(self, server_conn: object) -> None:
        """Forward the end of a channel, which tornado does not."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


class _MeteredRequest(HTTPMessageDelegate):
    """Read one request as far as there is room for its body."""

    def __init__(
        self,
        intake: 'RequestIntake',
        receiver: RequestReceiver,
        connection: HTTP1Connection,
    ) -> None:
        self.connection = connection
        self.has_head = False
        self._closed = False
        self._intake = intake
        self._receiver = receiver
        self._owner = ''
        self._body = bytearray()
        self._holding: Holding | None = None
        self._room: asyncio.Future[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Any:
        """Pass the head on."""
        self.has_head = True
        self._owner = self._intake.receiver.read_owner(headers)
        return self._receiver.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> 'asyncio.Future[None] | None':
        """Store a part of the body; return when more of it may be read."""
        if self._closed:
            return None
        if self._receiver.takes_pieces:
            return self._receiver.data_received(chunk)
        self._body += chunk
        if self._holding is None:
            self._holding = self._intake.open(self, self._owner)
        if self._intake.draw(self._holding, len(chunk)):
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def finish(self) -> None:
        """Pass the complete body on."""
        if self._closed:
            # Tornado still delivers what it had read before the channel closed.
            self._receiver.on_connection_close()
            return
        if self._holding is not None:
            self._intake.account.complete(self._holding)
            body = bytes(self._body)
            self._body = bytearray()
            self._receiver.data_received(body)
        self._receiver.finish()

    def on_connection_close(self) -> None:
        """Release the body of a request that will not be complete."""
        self.release()
        self._receiver.on_connection_close()

    def is_unfinished(self, now: float) -> bool:
        """Return whether the request is incomplete and makes no progress."""
        holding = self._holding
        if self._closed:
            return False
        if holding is None:
            return not self.has_head
        return not holding.complete and holding.is_stalled(now)

    def resume(self) -> None:
        """Read on."""
        if self._room is not None and not self._room.done():
            self._room.set_result(None)

    def refuse(self, detail: str) -> None:
        """Refuse the request, which closes the channel."""
        self._closed = True
        self.release()
        self._receiver.refuse_unread(detail)
        self.resume()

    def close(self) -> None:
        """Close the channel."""
        self._closed = True
        self.release()
        self.connection.close()
        self.resume()

    def release(self) -> None:
        """Return the memory of the body."""
        self._body = bytearray()
        if self._holding is not None:
            self._intake.close(self._holding)


class RequestIntake(HTTPServerConnectionDelegate):
    """Bound what all channels of an HTTP server hold together."""

    def __init__(
        self, receiver: ChannelReceiver, limits: IntakeLimits, clock: Clock
    ) -> None:
        self.receiver = receiver
        self.account = IntakeAccount(limits.max_bytes)
        self._max_channels = limits.max_channels
        self._clock = clock
        # By channel; those whose latest request began first come first.
        self._requests: dict[object, _MeteredRequest] = {}
        self._closers: dict[Holding, Callable[[], None]] = {}
        self._metered: dict[Holding, _MeteredRequest] = {}
        self._step_timer: asyncio.TimerHandle | None = None

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a channel."""
        self._drop(server_conn)
        metered = _MeteredRequest(
            self,
            self.receiver.start_request(server_conn, request_conn),
            request_conn,
        )
        self._requests[server_conn] = metered
        if len(self._requests) > self._max_channels:
            self._close_idle_channel(metered)
        return metered

    def on_close(self, server_conn: object) -> None:
        """Drop a closed channel."""
        self._drop(server_conn)
        self.receiver.on_close(server_conn)

    def open(self, metered: _MeteredRequest, owner: str) -> Holding:
        """Return a holding for the body of a request."""
        holding = self.account.open(
            owner, self.receiver.max_body_bytes, self._clock.read_monotonic()
        )
        self._closers[holding] = metered.close
        self._metered[holding] = metered
        return holding

    def draw(self, holding: Holding, size: int) -> bool:
        """Count a part of a body; return whether more of it may be read."""
        now = self._clock.read_monotonic()
        has_room = self.account.draw(holding, size, now)
        if not has_room:
            self._schedule_step()
        return has_room

    def close(self, holding: Holding) -> None:
        """Return the memory of a holding; others may read on."""
        self._closers.pop(holding, None)
        self._metered.pop(holding, None)
        self.account.close(holding)
        if self._step_timer is not None:
            self._resume_waiting()

    def record_write(self, connection: HTTP1Connection, size: int) -> None:
        """Count what was written, until its caller has read it."""
        stream = connection.stream
        if stream is None or stream.closed() or not stream.writing():
            return
        holding = self.account.open('', 0, self._clock.read_monotonic())
        self._closers[holding] = connection.close
        self.account.hold_unsent(holding, size)
        # An empty write ends when all that was written before has left.
        with suppress(StreamClosedError):
            flushed = stream.write(b'')
            flushed.add_done_callback(lambda _: self.close(holding))
            if self.account.is_over:
                self._schedule_step()
            return
        self.close(holding)

    def _drop(self, server_conn: object) -> None:
        metered = self._requests.pop(server_conn, None)
        if metered is not None:
            metered.release()

    def _close_idle_channel(self, newest: _MeteredRequest) -> None:
        """Close the channel that has been idle or stalled the longest.

        Without any, the newest is closed, of which nothing has been read.
        """
        now = self._clock.read_monotonic()
        victim = next(
            (
                metered
                for metered in self._requests.values()
                if metered.is_unfinished(now)
            ),
            newest,
        )
        self._log_closed('channels')
        victim.close()

    def _schedule_step(self) -> None:
        if self._step_timer is None:
            self._step_timer = asyncio.get_running_loop().call_later(
                _STEP_SECONDS, self._step
            )

    def _step(self) -> None:
        """Make room, and refuse those who have waited too long."""
        self._step_timer = None
        now = self._clock.read_monotonic()
        for stalled in self.account.list_stalled(now):
            self._log_closed('stalled')
            self._closers[stalled]()
            self.close(stalled)
        self._resume_waiting()
        for overdue in self.account.list_overdue(now):
            self._log_closed('no_room')
            self._metered[overdue].refuse('no memory for the body')
        INTAKE_BYTES.set(self.account.used)
        if self.account.is_scarce:
            self._schedule_step()

    def _resume_waiting(self) -> None:
        for holding in self.account.grant_waiting():
            self._metered[holding].resume()

    def _log_closed(self, reason: str) -> None:
        INTAKE_CLOSED.labels(reason).inc()
        _log.warning(
            'Client outside the limits; its channel is closed.',
            reason=reason,
            held_bytes=self.account.used,
            channels=len(self._requests),
        )
