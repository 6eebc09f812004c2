"""Hold the parts of an HTTP exchange."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from tornado.httputil import HTTPHeaders


@dataclass(frozen=True)
class OutgoingRequest:
    """Hold one request; ``target`` is the path with its query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''

    def make_headers(self) -> HTTPHeaders:
        """Return the headers with the body's length."""
        new_headers = HTTPHeaders()
        for name, content in self.headers:
            new_headers.add(name, content)
        if self.body or self.method not in {'GET', 'HEAD', 'DELETE'}:
            new_headers['Content-Length'] = str(len(self.body))
        return new_headers


@dataclass(frozen=True)
class Head:
    """Hold the status and headers of a response."""

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True)
class BodyChunk:
    """Hold some bytes of a body."""

    content: bytes


class ResponseEnding(StrEnum):
    """Name how reading a response ended.

    An ``unframed`` body had no length and ended with its channel, in order.
    """

    complete = 'complete'
    unframed = 'unframed'
    broken = 'broken'


@dataclass(frozen=True)
class Reply:
    """Hold a whole response."""

    head: Head
    body: bytes
    ending: ResponseEnding


def is_framed(headers: HTTPHeaders) -> bool:
    """Tell whether a response says where its body ends."""
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def copy_headers(headers: HTTPHeaders, dropped: Iterable[str]) -> HTTPHeaders:
    """Return the headers without some, named in lower case."""
    new_headers = HTTPHeaders()
    dropped_names = frozenset(dropped)
    for name, content in headers.get_all():
        if name.lower() not in dropped_names:
            new_headers.add(name, content)
    return new_headers
