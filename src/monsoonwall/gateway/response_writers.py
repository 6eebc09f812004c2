"""Pass successful answers on to callers."""

from collections.abc import Callable

from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.events import EventSplitter
from monsoonwall.gateway.sending import ResponseWriter
from monsoonwall.transport.messages import Ending, Head

StartCallback = Callable[[], None]


class BufferedResponseWriter(ResponseWriter):
    """Pass an answer on once it is whole."""

    def __init__(
        self, caller: Caller, dialect: Dialect, on_start: StartCallback
    ) -> None:
        self._caller = caller
        self._dialect = dialect
        self._on_start = on_start
        self._head: Head | None = None
        self._pieces: list[bytes] = []

    def start(self, head: Head) -> None:
        """Keep the head."""
        self._head = head
        self._on_start()

    def write(self, content: bytes) -> None:
        """Keep a part of the body."""
        self._pieces.append(content)

    def finish(self, ending: Ending) -> bool:
        """Pass a whole answer on."""
        if ending is Ending.broken or self._head is None:
            return False
        body = b''.join(self._pieces)
        headers = self._dialect.write_response_headers(self._head)
        headers['Content-Length'] = str(len(body))
        self._caller.start(self._head.status, headers)
        self._caller.write(body)
        self._caller.finish()
        return True


class StreamProgress:
    """Hold how much of a stream has been passed on, over all attempts."""

    def __init__(self) -> None:
        self.events = 0
        self.last_event_id = ''

    def is_new(self, event_id: str | None) -> bool:
        """Tell whether an event follows the last one that was passed on."""
        if event_id is None or not self.last_event_id:
            return True
        if not event_id.isdecimal() or not self.last_event_id.isdecimal():
            return True
        return int(event_id) > int(self.last_event_id)


class EventStreamWriter(ResponseWriter):
    """Pass events on as they arrive, each of them whole."""

    def __init__(
        self,
        caller: Caller,
        dialect: Dialect,
        progress: StreamProgress,
        on_start: StartCallback,
    ) -> None:
        self._caller = caller
        self._dialect = dialect
        self._progress = progress
        self._on_start = on_start
        self._splitter = EventSplitter()
        self._head: Head | None = None

    def start(self, head: Head) -> None:
        """Keep the head until there is an event."""
        self._head = head

    def write(self, content: bytes) -> None:
        """Pass on the events that these bytes complete."""
        for event in self._splitter.feed(content):
            self._send_head()
            if self._progress.is_new(event.event_id):
                self._progress.events += 1
                if event.event_id is not None:
                    self._progress.last_event_id = event.event_id
                self._caller.write(event.content)

    def finish(self, ending: Ending) -> bool:
        """End the caller's stream if the server's ended whole."""
        if ending is not Ending.complete or self._splitter.partial:
            return False
        self._send_head()
        self._caller.finish()
        return True

    def _send_head(self) -> None:
        self._on_start()
        if not self._caller.started and self._head is not None:
            headers = self._dialect.write_response_headers(self._head)
            # Attempts may continue each other within one answer.
            headers.pop('Content-Length', None)
            self._caller.start(self._head.status, headers)
