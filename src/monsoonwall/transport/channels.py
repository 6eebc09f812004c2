"""HTTP/1.1 client connections that return responses part by part.

A channel owns one connection and carries one exchange at a time.
"""

import asyncio
from itertools import count
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
    is_defined_status,
    is_framed,
)
from monsoonwall.transport.streams import (
    ChannelStream,
    open_stream,
)

_FIRST_FINAL_STATUS: Final = 200
_MAX_HEADER_BYTES: Final = 65_536
# Lists of objects from the metadata store take megabytes.
MAX_CALL_BYTES: Final = 16_000_000
# A response is not read on while more of it than this has not been received.
_MAX_QUEUED_BYTES: Final = 32_768

Message = Head | BodyChunk | ResponseEnding

_serial_numbers = count()


class _Receiver(HTTPMessageDelegate):
    """Queue the parts of one response as tornado parses them."""

    def __init__(self, stream: ChannelStream) -> None:
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self._stream = stream
        self._framed = True
        self._ended = False
        self._queued_bytes = 0
        self._consumed: asyncio.Future[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Queue the head, unless the response is informational (1xx)."""
        status = start_line.code
        if not is_defined_status(status):
            self.put_ending(ResponseEnding.broken)
            self._stream.close()
        elif status >= _FIRST_FINAL_STATUS:
            self._framed = is_framed(headers)
            self.messages.put_nowait(Head(status, headers))

    def data_received(self, chunk: bytes) -> 'asyncio.Future[None] | None':
        """Queue some bytes of the body; return when more may be read."""
        self.messages.put_nowait(BodyChunk(chunk))
        self._queued_bytes += len(chunk)
        if self._queued_bytes <= _MAX_QUEUED_BYTES:
            return None
        self._consumed = asyncio.get_running_loop().create_future()
        return self._consumed

    async def receive(self) -> Message:
        """Return the next part; more of the response may then be read."""
        message = await self.messages.get()
        if isinstance(message, BodyChunk):
            self._queued_bytes -= len(message.content)
            if self._queued_bytes <= _MAX_QUEUED_BYTES:
                self.read_on()
        return message

    def read_on(self) -> None:
        """Let the rest of the response be read."""
        if self._consumed is not None and not self._consumed.done():
            self._consumed.set_result(None)

    def finish(self) -> None:
        """Queue the ending of a response that was parsed to its end."""
        if self._framed:
            self.put_ending(ResponseEnding.complete)
        elif (
            self._stream.error
            or self._stream.closed_while_sending
            # A host in between that was lost closes the connection as well.
            or self._stream.tunneled
        ):
            # A connection that is closed with a part of the request unread is
            # reset. Linux does not report a reset after the end of the stream.
            self.put_ending(ResponseEnding.broken)
        else:
            self.put_ending(ResponseEnding.unframed)

    def on_connection_close(self) -> None:
        """Queue that the connection closed before the response ended."""
        self.put_ending(ResponseEnding.broken)

    def put_ending(self, ending: ResponseEnding) -> None:
        """Queue an ending; later ones are ignored."""
        if not self._ended:
            self._ended = True
            self.messages.put_nowait(ending)


class Channel:
    """One connection, used for one exchange after the other.

    ``serial`` is unique among the channels of this process. ``peer_address`` is
    that of the other host if the channel is a tunnel.
    """

    def __init__(
        self,
        address: str,
        stream: ChannelStream,
        max_bytes: int,
        peer_address: str = '',
    ) -> None:
        self.address = address
        self.peer_address = peer_address or address
        self.serial = next(_serial_numbers)
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=max_bytes
        )
        self._stream = stream
        self._receiver = _Receiver(stream)
        self._read_task: asyncio.Future[object] | None = None

    @property
    def tunneled(self) -> bool:
        """Whether another host passes the bytes on."""
        return self._stream.tunneled

    @property
    def is_usable(self) -> bool:
        """Whether the next request may be sent on this channel.

        That needs an open connection, no exchange in progress and no unread
        bytes, which would be taken for the next response.
        """
        idle = self._read_task is None or self._read_task.done()
        return (
            idle and not self._stream.closed() and not self._stream.has_unread()
        )

    def send(self, request: OutgoingRequest) -> None:
        """Write a request and start to read the response."""
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
        """Start to read another response without sending a request.

        Call it if the response just read belonged to an earlier request.
        """
        connection = HTTP1Connection(self._stream, True, self._parameters)
        connection.finish()
        self._start_reading(connection)

    async def receive(self) -> Message:
        """Wait for the next part of the response and return it."""
        return await self._receiver.receive()

    async def receive_rest(
        self, head: Head, max_bytes: int = MAX_CALL_BYTES
    ) -> Reply:
        """Read the body that follows a head and return the whole response.

        If the body exceeds ``max_bytes``, the response is ``broken`` and the
        caller must close the channel.
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
        """Close this idle channel as soon as the peer closes it."""
        self._stream.set_close_callback(self.close)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self._receiver.read_on()

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
        # Marks the exception as retrieved; tornado has logged malformed input.
        read_task.exception()
    receiver.put_ending(ResponseEnding.broken)


async def open_channel(
    address: str, timeout_seconds: float, max_bytes: int = MAX_CALL_BYTES
) -> Channel:
    """Connect to ``host:port``; raises OSError on failure or timeout.

    Responses whose body exceeds ``max_bytes`` are ``broken``.
    """
    stream = await open_stream(address, timeout_seconds, max_bytes)
    return Channel(address, stream, max_bytes)


async def call(
    address: str, request: OutgoingRequest, timeout_seconds: float
) -> Reply:
    """Send one request on a new channel and return the response.

    Raises OSError if the request was not sent, and TimeoutError or
    ConnectionResetError if it was sent but no complete response arrived.
    """
    channel = await open_channel(address, timeout_seconds)
    return await call_once(channel, request, timeout_seconds)


async def call_once(
    channel: Channel, request: OutgoingRequest, timeout_seconds: float
) -> Reply:
    """Send one request, return the response and close the channel.

    Raises TimeoutError or ConnectionResetError if no complete response
    arrived.
    """
    try:
        channel.send(request)
        return await asyncio.wait_for(_read_reply(channel), timeout_seconds)
    finally:
        channel.close()


async def _read_reply(channel: Channel) -> Reply:
    head = await channel.receive()
    if not isinstance(head, Head):
        raise ConnectionResetError(
            f'{channel.address} closed without a response'
        )
    reply = await channel.receive_rest(head)
    if reply.ending is ResponseEnding.broken:
        raise ConnectionResetError(
            f'incomplete response from {channel.address}'
        )
    return reply
