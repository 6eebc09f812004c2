"""Read callers' requests to the own interface within the process's memory."""

from typing import Any, Final

from msgspec import json
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application

from monsoonwall.entry.requests import count_refusal
from monsoonwall.entry.responses import choose_status, describe_refusal
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason
from monsoonwall.transport.intake import ChannelReceiver, RequestReceiver
from monsoonwall.transport.messages import read_content_length

_RETRY_SECONDS: Final = 1


class _ApplicationRequest(RequestReceiver):
    """Pass one request to the web application.

    Bodies that are declared larger than allowed are discarded there as they
    arrive.
    """

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        connection: HTTP1Connection,
        max_body_bytes: int,
    ) -> None:
        self._delegate = delegate
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._discards_body = False

    @property
    def takes_pieces(self) -> bool:
        """Return whether the body is passed on as it arrives."""
        return self._discards_body

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Any:
        """Pass the head on."""
        self._discards_body = (
            read_content_length(headers) > self._max_body_bytes
        )
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Pass a body, or a part of it, on."""
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Let the application serve the request."""
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Tell the application that the caller disconnected."""
        self._delegate.on_connection_close()

    def refuse_unread(self, detail: str) -> None:
        """Refuse the request, whose body has not been read to its end."""
        refusal = Refusal(
            RefusalReason.overloaded, Effect.not_run, detail, _RETRY_SECONDS
        )
        count_refusal(refusal)
        content = json.encode(describe_refusal(refusal, ''))
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(content)),
                'Retry-After': str(_RETRY_SECONDS),
            }
        )
        self._connection.write_headers(
            ResponseStartLine(
                'HTTP/1.1', choose_status(refusal), 'Service Unavailable'
            ),
            headers,
            content,
        )
        self._connection.finish()


class ApplicationReceiver(ChannelReceiver):
    """Pass the requests of all channels to a web application."""

    def __init__(self, application: Application, max_body_bytes: int) -> None:
        self._application = application
        self._max_body_bytes = max_body_bytes

    @property
    def max_body_bytes(self) -> int:
        """Return the largest allowed size of a request body."""
        return self._max_body_bytes

    def read_owner(self, headers: HTTPHeaders) -> str:
        """Return the key that a request carries, or an empty string."""
        return headers.get('Authorization', '')

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> RequestReceiver:
        """Return the receiver of the next request of a channel."""
        return _ApplicationRequest(
            self._application.start_request(server_conn, request_conn),
            request_conn,
            self._max_body_bytes,
        )

    def on_close(self, server_conn: object) -> None:
        """Tell the application that a channel has closed."""
        self._application.on_close(server_conn)
