"""Relay successful responses to callers."""

from collections.abc import Awaitable, Callable

from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.events import EventSplitter
from monsoonwall.gateway.sending import ResponseWriter
from monsoonwall.transport.messages import Head, ResponseEnding

StartCallback = Callable[[], None]
# Returns whether the run may have been stopped before its end.
StopCheck = Callable[[], Awaitable[bool]]


class BufferedResponseWriter(ResponseWriter):
    """Buffer a response, and relay it once it is complete."""

    def __init__(
        self, caller: Caller, dialect: Dialect, on_start: StartCallback
    ) -> None:
        self._caller = caller
        self._dialect = dialect
        self._on_start = on_start
        self._head: Head | None = None
        self._pieces: list[bytes] = []

    def start(self, head: Head) -> None:
        """Store the head."""
        self._head = head
        self._on_start()

    def write(self, content: bytes) -> None:
        """Buffer a part of the body."""
        self._pieces.append(content)

    async def drain(self) -> None:
        """Return at once: the caller gets nothing before the end."""

    async def finish(self, ending: ResponseEnding) -> bool:
        """Relay the response if it is complete."""
        if ending is ResponseEnding.broken or self._head is None:
            return False
        body = b''.join(self._pieces)
        headers = self._dialect.write_response_headers(self._head)
        headers['Content-Length'] = str(len(body))
        self._caller.start(self._head.status, headers)
        self._caller.write(body)
        self._caller.finish()
        return True


class StreamProgress:
    """Track how much of a stream was relayed, over all attempts."""

    def __init__(self) -> None:
        self.events = 0
        self.last_event_id = ''

    def is_new(self, event_id: str | None) -> bool:
        """Return whether an event comes after the last relayed one.

        Without decimal ids on both, every event counts as new.
        """
        if event_id is None or not self.last_event_id:
            return True
        if not event_id.isdecimal() or not self.last_event_id.isdecimal():
            return True
        return int(event_id) > int(self.last_event_id)


class EventStreamWriter(ResponseWriter):
    """Relay server-sent events one by one as they are completed."""

    def __init__(
        self,
        caller: Caller,
        dialect: Dialect,
        progress: StreamProgress,
        on_start: StartCallback,
        may_have_been_stopped: StopCheck,
    ) -> None:
        self._caller = caller
        self._dialect = dialect
        self._progress = progress
        self._on_start = on_start
        self._may_have_been_stopped = may_have_been_stopped
        self._splitter = EventSplitter()
        self._has_events = False
        self._head: Head | None = None

    def start(self, head: Head) -> None:
        """Store the head until the first event arrives."""
        self._head = head

    def write(self, content: bytes) -> None:
        """Relay the new events among those that these bytes complete."""
        for event in self._splitter.feed(content):
            self._has_events = True
            self._send_head()
            if self._progress.is_new(event.event_id):
                self._progress.events += 1
                if event.event_id is not None:
                    self._progress.last_event_id = event.event_id
                self._caller.write(event.content)

    async def drain(self) -> None:
        """Wait until the caller has read most of the events."""
        await self._caller.drain()

    async def finish(self, ending: ResponseEnding) -> bool:
        """Complete the caller's stream if the server's stream is complete."""
        if ending is ResponseEnding.broken or self._splitter.partial:
            return False
        if ending is ResponseEnding.unframed and not await self._is_whole():
            return False
        self._send_head()
        self._caller.finish()
        return True

    async def _is_whole(self) -> bool:
        """Return whether an unframed stream without a partial event is whole.

        A server that breaks off such a stream ends it inside an event, or
        before the first one. A run that is stopped for a move ends its stream
        between two events as well.
        """
        return self._has_events and not await self._may_have_been_stopped()

    def _send_head(self) -> None:
        self._on_start()
        if not self._caller.started and self._head is not None:
            headers = self._dialect.write_response_headers(self._head)
            # Later attempts may append to this response: its length is unknown.
            headers.pop('Content-Length', None)
            self._caller.start(self._head.status, headers)
