"""Serve the HTTP endpoints for callers."""

import asyncio
import math
from contextlib import aclosing, suppress
from typing import Any, Final

from msgspec import json
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from returns.pipeline import is_successful
from tornado.httputil import HTTPMessageDelegate, HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from monsoonwall.entry.requests import RequestTasks, count_refusal
from monsoonwall.entry.responses import (
    SERVICE_UNAVAILABLE,
    choose_status,
    describe_answer,
    describe_refusal,
    format_event,
    make_resume_path,
    parse_event_id,
)
from monsoonwall.entry.state import HostState
from monsoonwall.pipeline.answers import AnswerPiece, ReadPosition
from monsoonwall.pipeline.messages import (
    Effect,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.request_parsing import CallerRequest
from monsoonwall.streams.finding import AnswerFinder, FoundAnswer
from monsoonwall.transport.messages import read_content_length

_JSON: Final = 'application/json'
_INTERNAL_SERVER_ERROR: Final = 500
_BODY_LIMIT_SETTING: Final = 'max_body_bytes'
_MAX_BODY_BYTES: Final = 1_000_000
_MAX_DISCARDED_BYTES: Final = 64_000_000
_SEE_OTHER: Final = 303


class JsonHandler(RequestHandler):
    """Respond in JSON, also with refusals."""

    def refuse(self, refusal: Refusal, request_id: str = '') -> None:
        """End the response with a refusal."""
        count_refusal(refusal)
        self.set_status(choose_status(refusal))
        if refusal.retry_after is not None:
            self.set_header('Retry-After', str(math.ceil(refusal.retry_after)))
        self.write_json(describe_refusal(refusal, request_id))

    def write_json(self, content: Any) -> None:
        """End the response with a JSON body."""
        self.set_header('Content-Type', _JSON)
        self.finish(json.encode(content))

    def write_error(self, status_code: int, **_kwargs: Any) -> None:
        """Send the errors of tornado itself in the format of refusals."""
        is_server_error = status_code >= _INTERNAL_SERVER_ERROR
        # After an exception it is unknown how far the request was processed.
        refusal = (
            Refusal(RefusalReason.internal, Effect.unknown, self._reason)
            if is_server_error
            else Refusal(
                RefusalReason.bad_request, Effect.not_run, self._reason
            )
        )
        count_refusal(refusal)
        self.write_json(describe_refusal(refusal, ''))

    def make_caller_request(self, path: str) -> CallerRequest:
        """Return the caller's request in the form that the parser expects."""
        request = self.request
        return CallerRequest(
            request.method or '', path, request.headers, request.body
        )


class _AnswerHandler(JsonHandler):
    def prepare(self) -> None:
        """Initialize the reference to the task that sends the answer."""
        self._send_task: asyncio.Task[None] | None = None

    async def send_answer(self, found: FoundAnswer, stream: bool) -> None:
        """Send the answer, streamed or whole, until the caller disconnects."""
        self.set_header('X-Request-Id', found.call.request_id)
        work = self._stream(found) if stream else self._send_whole(found)
        self._send_task = asyncio.create_task(work)
        with suppress(asyncio.CancelledError, StreamClosedError):
            await self._send_task

    def on_connection_close(self) -> None:
        """Stop sending the answer; its generation may continue."""
        if self._send_task is not None:
            self._send_task.cancel()

    async def _stream(self, found: FoundAnswer) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        async with aclosing(found.pieces) as pieces:
            async for piece in pieces:
                self.write(format_event(found.call, piece))
                await self.flush()
        self.finish()

    async def _send_whole(self, found: FoundAnswer) -> None:
        tokens: list[str] = []
        last = AnswerPiece(0, ())
        async with aclosing(found.pieces) as pieces:
            async for piece in pieces:
                tokens.extend(piece.tokens)
                last = piece
        if last.handed_over:
            self.redirect(make_resume_path(found.call), status=_SEE_OTHER)
        elif last.refusal is None:
            self.write_json(describe_answer(found.call, tokens, last))
        else:
            self.refuse(last.refusal, found.call.request_id)


class CompletionHandler(_AnswerHandler):
    """Serve completions and chat completions."""

    def initialize(self, tasks: RequestTasks, chat: bool) -> None:
        """Set the objects that the route passes."""
        self._tasks = tasks
        self._chat = chat

    async def post(self) -> None:
        """Start a completion and send its answer, streamed or whole."""
        started = await self._tasks.start_completion(
            self.make_caller_request(self.request.path), self._chat
        )
        if not is_successful(started):
            self.refuse(started.failure())
            return
        answer, stream = started.unwrap()
        found = FoundAnswer(answer.call, answer.follow(ReadPosition()))
        await self.send_answer(found, stream)


class ResumeHandler(_AnswerHandler):
    """Send the rest of an answer to a caller that reconnects."""

    def initialize(self, finder: AnswerFinder) -> None:
        """Set the objects that the route passes."""
        self._finder = finder

    async def get(self, request_id: str) -> None:
        """Send the answer after the last event that the caller received.

        With ``whole=true`` the whole answer is sent as one JSON body.
        """
        whole = self.get_argument('whole', '') == 'true'
        last_event = self.request.headers.get('Last-Event-ID', '')
        seen = ReadPosition() if whole else parse_event_id(last_event)
        found = await self._finder.find(request_id, seen)
        if is_successful(found):
            await self.send_answer(found.unwrap(), stream=not whole)
        else:
            self.refuse(found.failure(), request_id)


class ServiceHandler(JsonHandler):
    """Serve calls to plain services."""

    def initialize(self, tasks: RequestTasks) -> None:
        """Set the objects that the route passes."""
        self._tasks = tasks

    async def serve(self, service: str, path: str) -> None:
        """Run one call and send the reply."""
        query = self.request.query
        target = f'{path}?{query}' if query else path
        outcome = await self._tasks.run_service_call(
            self.make_caller_request(target), service
        )
        if not is_successful(outcome):
            self.refuse(outcome.failure())
            return
        reply = outcome.unwrap()
        self.set_status(reply.status)
        self.set_header('Content-Type', reply.content_type)
        self.finish(reply.body)

    get = serve
    post = serve
    put = serve
    patch = serve
    delete = serve


class HealthHandler(JsonHandler):
    """Report health and readiness to load balancers."""

    def initialize(self, state: HostState, ready: bool) -> None:
        """Set the objects that the route passes.

        ``ready`` states that the route reports readiness, not only health.
        """
        self._state = state
        self._reports_readiness = ready

    def get(self) -> None:
        """Respond with 200, or with 503 on ``/ready`` when not ready."""
        pipeline = self._state.pipeline
        ready = pipeline is not None and not self._state.leaving
        if self._reports_readiness and not ready:
            self.set_status(SERVICE_UNAVAILABLE)
        self.write_json(
            {
                'ready': ready,
                'leaving': self._state.leaving,
                'configuration': pipeline.configuration.number
                if pipeline
                else None,
            }
        )


class MetricsHandler(RequestHandler):
    """Serve the metrics."""

    def get(self) -> None:
        """Respond in the Prometheus text format."""
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        self.finish(generate_latest())


@stream_request_body
class TooLargeHandler(JsonHandler):
    """Refuse a request whose body is too large.

    Up to a limit the body is read and discarded first, because a caller whose
    connection closes while it still sends cannot read the refusal.
    """

    def prepare(self) -> None:
        """Refuse at once a body that is too large even to be discarded."""
        if read_content_length(self.request.headers) > _MAX_DISCARDED_BYTES:
            self._refuse_body()
        else:
            self.request.connection.set_max_body_size(_MAX_DISCARDED_BYTES)

    def data_received(self, chunk: bytes) -> None:
        """Discard a chunk of the body."""

    def _refuse_body(self, *_parts: str) -> None:
        limit = self.settings[_BODY_LIMIT_SETTING]
        self.refuse(
            Refusal(
                RefusalReason.body_too_large,
                Effect.not_run,
                f'send at most {limit} bytes',
            )
        )

    get = _refuse_body
    head = _refuse_body
    post = _refuse_body
    put = _refuse_body
    patch = _refuse_body
    delete = _refuse_body
    options = _refuse_body


class EntryApplication(Application):
    """Choose the handler of a request by its path and body length."""

    def find_handler(
        self, request: HTTPServerRequest, **options: Any
    ) -> HTTPMessageDelegate:
        """Return the handler of a request whose headers have arrived."""
        if (
            read_content_length(request.headers)
            > self.settings[_BODY_LIMIT_SETTING]
        ):
            return self.get_handler_delegate(request, TooLargeHandler)
        return super().find_handler(request, **options)


class NotFoundHandler(JsonHandler):
    """Refuse requests to unknown paths."""

    def prepare(self) -> None:
        """Refuse the request because its path is unknown."""
        self.refuse(
            Refusal(
                RefusalReason.unknown_route,
                Effect.not_run,
                'nothing is served at this path',
            )
        )


def make_routes(
    state: HostState, tasks: RequestTasks, finder: AnswerFinder
) -> list[Any]:
    """Return the HTTP routes for callers."""
    return [
        (
            '/v1/completions',
            CompletionHandler,
            {'tasks': tasks, 'chat': False},
        ),
        (
            '/v1/chat/completions',
            CompletionHandler,
            {'tasks': tasks, 'chat': True},
        ),
        ('/v1/requests/([^/]+)', ResumeHandler, {'finder': finder}),
        ('/services/([^/]+)(/.*)', ServiceHandler, {'tasks': tasks}),
        ('/health', HealthHandler, {'state': state, 'ready': False}),
        ('/ready', HealthHandler, {'state': state, 'ready': True}),
        ('/metrics', MetricsHandler),
    ]


def make_application(
    routes: list[Any], max_body_bytes: int = _MAX_BODY_BYTES
) -> Application:
    """Return the web application of an entry host."""
    return EntryApplication(
        routes,
        default_handler_class=NotFoundHandler,
        log_function=lambda _handler: None,
        max_body_bytes=max_body_bytes,
    )
