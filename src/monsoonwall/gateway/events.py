"""Split a byte stream of server-sent events into complete events."""

from dataclasses import dataclass
from typing import Final

_ID_FIELD: Final = b'id:'
_TERMINATORS: Final = (b'\n\n', b'\r\n\r\n')


@dataclass(frozen=True)
class Event:
    """Hold the bytes of one event and its id, if any."""

    content: bytes
    event_id: str | None


class EventSplitter:
    """Buffer bytes until they complete an event."""

    def __init__(self) -> None:
        self._partial = b''

    @property
    def partial(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._partial

    def feed(self, content: bytes) -> list[Event]:
        """Add bytes, and return the events that they complete."""
        buffered = self._partial + content
        events = []
        while True:
            end = _find_end(buffered)
            if end is None:
                self._partial = buffered
                return events
            events.append(Event(buffered[:end], _read_id(buffered[:end])))
            buffered = buffered[end:]


def _find_end(buffered: bytes) -> int | None:
    ends = [
        position + len(terminator)
        for terminator in _TERMINATORS
        if (position := buffered.find(terminator)) >= 0
    ]
    return min(ends, default=None)


def _read_id(content: bytes) -> str | None:
    for line in content.splitlines():
        if line.startswith(_ID_FIELD):
            event_id = line[len(_ID_FIELD) :].strip()
            return event_id.decode('utf-8', errors='replace')
    return None
