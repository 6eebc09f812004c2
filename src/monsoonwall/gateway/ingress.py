"""Accept callers' HTTP requests and write the responses."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress
from http.client import responses
from typing import Any, Final

from returns.pipeline import is_successful
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from monsoonwall.clocks import Clock
from monsoonwall.decisions.intake import IntakeLimits
from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.model import CallerRequest, Limits
from monsoonwall.logs import make_logger
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason
from monsoonwall.settings import split_address
from monsoonwall.transport.intake import (
    READ_BYTES,
    ChannelReceiver,
    IntakeServer,
    RequestIntake,
    RequestReceiver,
    has_unread,
)
from monsoonwall.transport.messages import read_content_length

# Longer than any idle timeout that operators set, so that no channel is closed
# while its caller may still use it.
_IDLE_SECONDS: Final = 90.0
_BODY_SECONDS: Final = 15.0
# The largest head and body accepted before a configuration is loaded.
_DEFAULT_HEADER_BYTES: Final = 65_536
_DEFAULT_BODY_BYTES: Final = 4_194_304
# Added to the largest head that is configured, for its first line and end.
_HEADER_MARGIN_BYTES: Final = 1024
# When to return if there was no memory for the body.
_RETRY_SECONDS: Final = 1.0
# A response is not read on from its server while its caller has left more than
# this unread.
_MAX_UNSENT_BYTES: Final = 32_768

_log = make_logger('ingress')


class RequestHandler(ABC):
    """Serve or refuse decoded requests."""

    @abstractmethod
    async def serve(self, request: CallerRequest, caller: Caller) -> None:
        """Serve a request until its caller has the final response."""

    @abstractmethod
    def refuse(self, attempt_id: str, caller: Caller, refusal: Refusal) -> None:
        """Refuse a request that was not admitted."""


class _HttpCaller(Caller):
    """Write a response on a caller's channel."""

    def __init__(self, exchange: '_Exchange', intake: RequestIntake) -> None:
        self._exchange = exchange
        self._connection = exchange.connection
        self._intake = intake
        self._unsent_bytes = 0
        self._started = False

    @property
    def started(self) -> bool:
        """Return whether the response head has been written."""
        return self._started

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Write the status line and the headers."""
        self._started = True
        if self._exchange.announce_close():
            headers['Connection'] = 'close'
        self._connection.write_headers(
            ResponseStartLine('HTTP/1.1', status, _find_reason_phrase(status)),
            headers,
        )

    def write(self, content: bytes) -> None:
        """Write a part of the body."""
        self._connection.write(content)
        self._intake.record_write(self._connection, len(content))
        self._unsent_bytes += len(content)

    async def drain(self) -> None:
        """Wait until the caller has read most of what was written."""
        stream = self._connection.stream
        if stream is None or not stream.writing():
            self._unsent_bytes = 0
        elif self._unsent_bytes > _MAX_UNSENT_BYTES:
            with suppress(StreamClosedError):
                await stream.write(b'')
            self._unsent_bytes = 0

    def finish(self) -> None:
        """Complete the response."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the channel so that the caller detects a truncated response."""
        self._connection.close()


class _Exchange(RequestReceiver):
    """Read one request and start serving it."""

    def __init__(self, ingress: 'Ingress', connection: HTTP1Connection) -> None:
        self.connection = connection
        self._ingress = ingress
        self._start_line = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._body = b''
        self._serving: asyncio.Task[None] | None = None
        self._refused = False
        self._closed = False
        self.close_announced = False

    def announce_close(self) -> bool:
        """Decide whether the response announces the end of the channel.

        A further request that has already arrived is served first.
        """
        self.close_announced = self._ingress.leaving and not self.has_unread()
        return self.close_announced

    def has_unread(self) -> bool:
        """Return whether bytes of a further request have arrived."""
        return has_unread(self.connection)

    def close(self) -> None:
        """Close the channel; a request still being read is not served."""
        self._closed = True
        self.connection.close()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head; refuse a body that is declared too large."""
        self._ingress.add_active(self)
        self._start_line = start_line
        self._headers = headers
        max_bytes = self._ingress.max_body_bytes
        self.connection.set_max_body_size(max_bytes)
        if read_content_length(headers) > max_bytes:
            self._refused = True
            self._ingress.refuse(
                self,
                headers,
                RefusalReason.body_too_large,
                f'over {max_bytes} bytes',
            )

    def data_received(self, chunk: bytes) -> None:
        """Store the body."""
        self._body = chunk

    def refuse_unread(self, detail: str) -> None:
        """Refuse the request, whose body has not been read to its end."""
        self._refused = True
        self._ingress.refuse(
            self, self._headers, RefusalReason.overloaded, detail
        )

    def finish(self) -> None:
        """Start serving the request, which has arrived completely."""
        if self._refused:
            return
        if self._closed:
            # Tornado still delivers what it had read before the channel closed.
            self._ingress.remove_active(self)
            return
        self.connection.set_close_callback(self._cancel)
        self._serving = asyncio.ensure_future(
            self._ingress.serve(
                self, self._start_line, self._headers, self._body
            )
        )
        self._body = b''

    def on_connection_close(self) -> None:
        """Drop a request whose caller disconnected before it was complete."""
        self._cancel()

    def _cancel(self) -> None:
        self._ingress.remove_active(self)
        if self._serving is not None and not self._serving.done():
            self._serving.cancel()


class Ingress(ChannelReceiver):
    """Run the HTTP server for callers, and track its active requests."""

    def __init__(
        self,
        address: str,
        dialect: Dialect,
        handler: RequestHandler,
        clock: Clock,
        find_limits: Callable[[], Limits | None],
        intake_limits: IntakeLimits,
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._handler = handler
        self._clock = clock
        self._find_limits = find_limits
        self._exchanges: dict[Any, _Exchange] = {}
        self._active: set[_Exchange] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._closing = False
        self.leaving = False
        self._intake = RequestIntake(self, intake_limits, clock)
        self._server = IntakeServer(
            self._intake,
            max_header_size=_DEFAULT_HEADER_BYTES,
            chunk_size=READ_BYTES,
            idle_connection_timeout=_IDLE_SECONDS,
            body_timeout=_BODY_SECONDS,
        )

    @property
    def active(self) -> int:
        """Return how many requests are arriving or being served."""
        return len(self._active)

    @property
    def max_body_bytes(self) -> int:
        """Return the largest allowed size of a request body."""
        limits = self._find_limits()
        return limits.max_body_bytes if limits else _DEFAULT_BODY_BYTES

    def read_owner(self, headers: HTTPHeaders) -> str:
        """Return the key that a request carries, or an empty string."""
        return self._dialect.read_key(headers)

    def listen(self) -> None:
        """Start accepting connections."""
        host, port = split_address(self._address)
        self._server.listen(port, host)

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> RequestReceiver:
        """Return the receiver of the next request of a channel."""
        limits = self._find_limits()
        if limits is not None:
            self._server.conn_params.max_header_size = (
                limits.max_header_bytes + _HEADER_MARGIN_BYTES
            )
        previous = self._exchanges.get(server_conn)
        exchange = _Exchange(self, request_conn)
        announced = previous is not None and previous.close_announced
        # A response that began before shutdown kept the channel open.
        if announced or (self._closing and not exchange.has_unread()):
            exchange.close()
        self._exchanges[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Remove a closed channel."""
        self._exchanges.pop(server_conn, None)
        self._update_idle()

    def disable_keep_alive(self) -> None:
        """Close each channel after its current or next response.

        Requests that have arrived on it before that are served as well.
        """
        self.leaving = True

    async def wait_idle(self, seconds: float) -> None:
        """Wait until no request is active or has arrived, or ``seconds``."""
        self._idle.clear()
        self._update_idle()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), max(0, seconds))

    def close_idle(self) -> None:
        """Stop accepting connections, and close those without a request."""
        self._closing = True
        self._server.stop()
        for exchange in list(self._exchanges.values()):
            if exchange not in self._active and not exchange.has_unread():
                exchange.close()

    async def serve(
        self,
        exchange: _Exchange,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        """Decode and serve one request, then stop counting it as active."""
        caller = _HttpCaller(exchange, self._intake)
        now = self._clock.read_monotonic()
        try:
            decoded = self._dialect.read_request(start_line, headers, body, now)
            if is_successful(decoded):
                await self._handler.serve(decoded.unwrap(), caller)
            else:
                self._handler.refuse(
                    self._dialect.read_attempt_id(headers),
                    caller,
                    decoded.failure(),
                )
        except Exception:
            _log.exception(
                'Request failed with an internal error.',
                request_id=self._dialect.read_attempt_id(headers),
            )
            caller.abort()
        finally:
            self.remove_active(exchange)

    def add_active(self, exchange: _Exchange) -> None:
        """Count a request from the arrival of its head."""
        self._active.add(exchange)

    def remove_active(self, exchange: _Exchange) -> None:
        """Stop counting a request that has ended."""
        self._active.discard(exchange)
        self._update_idle()

    def _update_idle(self) -> None:
        # Only looked at while ``wait_idle`` waits.
        if self._idle.is_set() or self._active:
            return
        if not any(map(_Exchange.has_unread, self._exchanges.values())):
            self._idle.set()

    def refuse(
        self,
        exchange: _Exchange,
        headers: HTTPHeaders,
        reason: RefusalReason,
        detail: str,
    ) -> None:
        """Refuse a request before its body has arrived."""
        is_temporary = reason is RefusalReason.overloaded
        self._handler.refuse(
            self._dialect.read_attempt_id(headers),
            _HttpCaller(exchange, self._intake),
            Refusal(
                reason,
                Effect.not_run,
                detail,
                _RETRY_SECONDS if is_temporary else None,
            ),
        )


def _find_reason_phrase(status: int) -> str:
    return responses.get(status, 'Unknown')
