"""HTTP client of a model engine, with completions as server-sent events.

In addition to the usual fields, a completion request has ``request_id``,
``attempt`` and ``resume_tokens``. Each event names its request and offset, so
that events of another stream are detected.
"""

import asyncio
from asyncio import Queue
from collections.abc import AsyncIterator
from functools import partial
from typing import Any, Final

from msgspec import Struct, json
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from monsoonwall.backends.engine import (
    CacheEvent,
    EngineOrder,
    GenerateRequest,
    KvExport,
    LoadReport,
    ModelEngine,
)
from monsoonwall.backends.errors import classify_error
from monsoonwall.clocks import Clock
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Chunk,
)
from monsoonwall.transport.clients import CALL_ERRORS

_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_CONTROL_TIMEOUT_SECONDS: Final = 2.0
_EVENT_PREFIX: Final = b'data: '
_EVENT_END: Final = b'\n\n'
_STREAM_END: Final = b'[DONE]'
# Far above the size of an event, which holds a few tokens.
_MAX_EVENT_BYTES: Final = 1_000_000


class _Event(Struct):
    request_id: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    finished: bool = False
    prompt_tokens: int | None = None
    cached_tokens: int | None = None


class _OrderResponse(Struct):
    fencing_number: int


class _Handle(Struct):
    handle: str


class EventBuffer:
    """Split a byte stream into the payloads of server-sent events."""

    def __init__(self) -> None:
        self._pending = b''

    def feed(self, received: bytes) -> list[bytes]:
        """Add bytes and return the payloads that are now complete.

        Raises ValueError if an event exceeds the maximum size.
        """
        events = (self._pending + received).split(_EVENT_END)
        self._pending = events.pop()
        if len(self._pending) > _MAX_EVENT_BYTES:
            raise ValueError('an event of the stream does not end')
        return [
            event.removeprefix(_EVENT_PREFIX)
            for event in events
            if event.startswith(_EVENT_PREFIX)
        ]


class _StreamQueue:
    """Queue the bytes of a stream until its reader closes the queue."""

    def __init__(self) -> None:
        self.messages: Queue[bytes | AttemptFailure] = Queue()
        self._open = True

    def put(self, received: bytes) -> None:
        """Queue bytes; raises if closed, so tornado closes the connection."""
        if not self._open:
            raise ConnectionAbortedError('the stream is no longer read')
        self.messages.put_nowait(received)

    def close(self) -> None:
        """Reject all further bytes."""
        self._open = False


class HttpEngine(ModelEngine):
    """Engine at one address, called with tornado's HTTP clients."""

    def __init__(
        self,
        address: str,
        client: AsyncHTTPClient,
        stream_client: AsyncHTTPClient,
        clock: Clock,
    ) -> None:
        self._address = address
        self._client = client
        self._stream_client = stream_client
        self._clock = clock
        self._event_decoder = json.Decoder(_Event)

    async def generate(
        self, generate_request: GenerateRequest
    ) -> AsyncIterator[Chunk | AttemptFailure]:
        """Yield chunks up to the finished one, or up to a failure."""
        stream_queue = _StreamQueue()
        fetch_task = asyncio.create_task(
            self._fetch(generate_request, stream_queue)
        )
        try:
            async for payload in _parse_events(stream_queue.messages):
                yield self._decode_event(payload)
        finally:
            stream_queue.close()
            fetch_task.cancel()

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt; does nothing if it is not running."""
        await self._post(
            '/cancel', {'request_id': request_id, 'attempt': attempt}
        )

    async def read_load(self) -> Result[LoadReport, AttemptFailure]:
        """Fetch the engine's load report."""
        fetched = await self._get('/load')
        return fetched.bind(_make_decoder(LoadReport))

    async def read_cache_events(
        self, after: int
    ) -> Result[tuple[CacheEvent, ...], AttemptFailure]:
        """Fetch the cache events with numbers above ``after``."""
        fetched = await self._get(f'/cache_events?after={after}')
        return fetched.bind(_make_decoder(tuple[CacheEvent, ...]))

    async def export_kv(
        self, request_id: str
    ) -> Result[KvExport, AttemptFailure]:
        """Export the KV cache of a running request."""
        fetched = await self._post('/kv/export', {'request_id': request_id})
        return fetched.bind(_make_decoder(KvExport))

    async def import_kv(self, export: KvExport) -> Result[str, AttemptFailure]:
        """Import a KV cache and return its handle for ``generate``."""
        fetched = await self._post('/kv/import', export)
        return fetched.bind(_make_decoder(_Handle)).map(
            lambda imported: imported.handle
        )

    async def send_order(
        self, order: EngineOrder
    ) -> Result[int, AttemptFailure]:
        """Send an order and return the engine's highest fencing number."""
        fetched = await self._post('/orders', order)
        return fetched.bind(_make_decoder(_OrderResponse)).map(
            lambda accepted: accepted.fencing_number
        )

    async def _fetch(
        self, generate_request: GenerateRequest, stream_queue: _StreamQueue
    ) -> None:
        remaining = (
            generate_request.call.deadline - self._clock.read_monotonic()
        )
        request = HTTPRequest(
            f'http://{self._address}/v1/completions',
            method='POST',
            body=_encode_request(generate_request),
            headers={'Content-Type': 'application/json'},
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            request_timeout=max(remaining, _CONTROL_TIMEOUT_SECONDS),
            streaming_callback=stream_queue.put,
        )
        try:
            await self._stream_client.fetch(request)
        except Exception as error:
            stream_queue.messages.put_nowait(classify_error(error))
        else:
            stream_queue.messages.put_nowait(
                AttemptFailure(
                    AttemptEnding.crashed, 'the stream ended early', True
                )
            )

    def _decode_event(
        self, payload: bytes | AttemptFailure
    ) -> Chunk | AttemptFailure:
        if isinstance(payload, AttemptFailure):
            return payload
        try:
            event = self._event_decoder.decode(payload)
        except DECODE_ERRORS as error:
            return AttemptFailure(AttemptEnding.malformed, str(error), True)
        return Chunk(
            event.request_id,
            event.attempt,
            event.offset,
            event.tokens,
            event.finished,
            event.prompt_tokens,
            event.cached_tokens,
        )

    async def _get(self, path: str) -> Result[bytes, AttemptFailure]:
        return await self._send(path, 'GET', None)

    async def _post(
        self, path: str, message: object
    ) -> Result[bytes, AttemptFailure]:
        return await self._send(path, 'POST', json.encode(message))

    async def _send(
        self, path: str, method: str, body: bytes | None
    ) -> Result[bytes, AttemptFailure]:
        request = HTTPRequest(
            f'http://{self._address}{path}',
            method=method,
            body=body,
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            request_timeout=_CONTROL_TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request)
        except CALL_ERRORS as error:
            return Failure(classify_error(error))
        return Success(response.body)


def _encode_request(generate_request: GenerateRequest) -> bytes:
    call = generate_request.call
    return json.encode(
        {
            'request_id': call.request_id,
            'attempt': generate_request.attempt,
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'priority': int(call.priority),
            'seed': call.seed,
            'stream': True,
            'resume_tokens': generate_request.emitted,
            'kv_handle': generate_request.kv_handle,
        }
    )


async def _parse_events(
    received: 'Queue[bytes | AttemptFailure]',
) -> AsyncIterator[bytes | AttemptFailure]:
    buffer = EventBuffer()
    while True:
        message = await received.get()
        if isinstance(message, AttemptFailure):
            yield message
            return
        try:
            payloads = buffer.feed(message)
        except ValueError as error:
            yield AttemptFailure(AttemptEnding.malformed, str(error), True)
            return
        for payload in payloads:
            if payload == _STREAM_END:
                return
            yield payload


def _make_decoder(response_type: Any) -> Any:
    return partial(_decode, json.Decoder(response_type))


def _decode(decoder: Any, body: bytes) -> Result[Any, AttemptFailure]:
    try:
        return Success(decoder.decode(body))
    except DECODE_ERRORS as error:
        return Failure(
            AttemptFailure(AttemptEnding.malformed, str(error), True)
        )
