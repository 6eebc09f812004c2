"""Send requests over one channel and read the responses as messages."""

import asyncio
from typing import Final

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from monsoonwall.transport.messages import (
    BodyChunk,
    Head,
    OutgoingRequest,
    Reply,
    ResponseEnding,
    is_framed,
)
from monsoonwall.transport.streams import (
    ChannelStream,
    open_stream,
)

_FIRST_FINAL_STATUS: Final = 200
_MAX_HEADER_BYTES: Final = 65_536
# The store lists objects by megabytes.
MAX_CALL_BYTES: Final = 16_000_000

Message = Head | BodyChunk | ResponseEnding


class _Receiver(HTTPMessageDelegate):
    """Put what arrives into a queue."""

    def __init__(self, stream: ChannelStream) -> None:
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self._stream = stream
        self._framed = True
        self._ended = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Pass on the head of a final response."""
        status = start_line.code
        if status >= _FIRST_FINAL_STATUS:
            self._framed = is_framed(headers)
            self.messages.put_nowait(Head(status, headers))

    def data_received(self, chunk: bytes) -> None:
        """Pass on a part of the body."""
        self.messages.put_nowait(BodyChunk(chunk))

    def finish(self) -> None:
        """Pass on that the response is whole."""
        if self._framed:
            self.put_ending(ResponseEnding.complete)
        elif self._stream.error is None:
            self.put_ending(ResponseEnding.unframed)
        else:
            self.put_ending(ResponseEnding.broken)

    def on_connection_close(self) -> None:
        """Pass on that the channel closed too early."""
        self.put_ending(ResponseEnding.broken)

    def put_ending(self, ending: ResponseEnding) -> None:
        """Pass on one ending alone."""
        if not self._ended:
            self._ended = True
            self.messages.put_nowait(ending)


class Channel:
    """Own one connection; carry one exchange after the other."""

    def __init__(
        self, address: str, stream: ChannelStream, max_bytes: int
    ) -> None:
        self.address = address
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=max_bytes
        )
        self._stream = stream
        self._receiver = _Receiver(stream)
        self._read_task: asyncio.Future[object] | None = None

    @property
    def is_usable(self) -> bool:
        """Tell whether the channel is open, quiet and between exchanges."""
        idle = self._read_task is None or self._read_task.done()
        return (
            idle and not self._stream.closed() and not self._stream.has_unread()
        )

    def send(self, request: OutgoingRequest) -> None:
        """Write a request and begin to read the response."""
        connection = HTTP1Connection(self._stream, True, self._parameters)
        headers = request.make_headers()
        headers.setdefault('Host', self.address)
        connection.write_headers(
            RequestStartLine(request.method, request.target, 'HTTP/1.1'),
            headers,
            request.body,
        )
        connection.finish()
        self._start_reading(connection)

    def read_next_response(self) -> None:
        """Read one more response, after one that belonged elsewhere."""
        connection = HTTP1Connection(self._stream, True, self._parameters)
        connection.finish()
        self._start_reading(connection)

    async def receive(self) -> Message:
        """Return the next part of the response."""
        return await self._receiver.messages.get()

    async def receive_rest(
        self, head: Head, max_bytes: int = MAX_CALL_BYTES
    ) -> Reply:
        """Return the whole response that begins with a head.

        One with a longer body is broken; its channel is to be closed.
        """
        chunks: list[bytes] = []
        remaining = max_bytes
        while remaining >= 0:
            message = await self.receive()
            if isinstance(message, ResponseEnding):
                return Reply(head, b''.join(chunks), message)
            if isinstance(message, BodyChunk):
                chunks.append(message.content)
                remaining -= len(message.content)
        return Reply(head, b'', ResponseEnding.broken)

    def close_with_peer(self) -> None:
        """Notice when the peer closes the channel between exchanges."""
        self._stream.set_close_callback(self.close)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def _start_reading(self, connection: HTTP1Connection) -> None:
        receiver = _Receiver(self._stream)
        self._receiver = receiver
        self._read_task = asyncio.ensure_future(
            connection.read_response(receiver)
        )
        self._read_task.add_done_callback(
            lambda read_task: _finish_reading(read_task, receiver)
        )


def _finish_reading(
    read_task: 'asyncio.Future[object]', receiver: _Receiver
) -> None:
    if not read_task.cancelled():
        # Malformed bytes have been logged by the library.
        read_task.exception()
    receiver.put_ending(ResponseEnding.broken)


async def open_channel(
    address: str, timeout_seconds: float, max_bytes: int = MAX_CALL_BYTES
) -> Channel:
    """Connect to an address; raises OSError if that fails in time.

    Responses with more bytes in their body are broken.
    """
    stream = await open_stream(address, timeout_seconds, max_bytes)
    return Channel(address, stream, max_bytes)


async def call(
    address: str, request: OutgoingRequest, timeout_seconds: float
) -> Reply:
    """Make one call on a channel of its own.

    Raises OSError if nothing was sent, and TimeoutError or
    ConnectionResetError if the request was sent but not answered whole.
    """
    channel = await open_channel(address, timeout_seconds)
    try:
        channel.send(request)
        return await asyncio.wait_for(_read_reply(channel), timeout_seconds)
    finally:
        channel.close()


async def _read_reply(channel: Channel) -> Reply:
    head = await channel.receive()
    if not isinstance(head, Head):
        raise ConnectionResetError(f'{channel.address} broke off')
    reply = await channel.receive_rest(head)
    if reply.ending is ResponseEnding.broken:
        raise ConnectionResetError(f'{channel.address} broke off its answer')
    return reply
