"""Define the parts of HTTP requests and responses."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from tornado.httputil import HTTPHeaders

_MAX_LENGTH_DIGITS: Final = 15
_FIRST_STATUS: Final = 100
_LAST_STATUS: Final = 599


@dataclass(frozen=True)
class OutgoingRequest:
    """An HTTP request; ``target`` is the path with its query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''

    def make_headers(self) -> HTTPHeaders:
        """Return the headers, with Content-Length where one is needed."""
        new_headers = HTTPHeaders()
        for name, content in self.headers:
            new_headers.add(name, content)
        if self.body or self.method not in {'GET', 'HEAD', 'DELETE'}:
            new_headers['Content-Length'] = str(len(self.body))
        return new_headers


@dataclass(frozen=True)
class Head:
    """Status and headers of a response."""

    status: int
    headers: HTTPHeaders


@dataclass(frozen=True)
class BodyChunk:
    """Some bytes of a response body, as they arrived."""

    content: bytes


class ResponseEnding(StrEnum):
    """How the reading of a response ended.

    An ``unframed`` response had neither Content-Length nor Transfer-Encoding,
    and its body ended when the server closed the connection normally, after
    its system had received the whole request.
    """

    complete = 'complete'
    unframed = 'unframed'
    broken = 'broken'


@dataclass(frozen=True)
class Reply:
    """A response with its body, and how the reading of it ended."""

    head: Head
    body: bytes
    ending: ResponseEnding


def is_framed(headers: HTTPHeaders) -> bool:
    """Return whether headers determine where the body ends."""
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def is_defined_status(status: int) -> bool:
    """Return whether HTTP defines the class of a status (RFC 9110, 15)."""
    return _FIRST_STATUS <= status <= _LAST_STATUS


def read_content_length(headers: HTTPHeaders) -> int:
    """Return the declared length of a body, or 0."""
    # Python raises an error on parsing a number of thousands of digits.
    length = headers.get('Content-Length', '')[:_MAX_LENGTH_DIGITS]
    return int(length) if length.isdecimal() else 0


def copy_headers(headers: HTTPHeaders, dropped: Iterable[str]) -> HTTPHeaders:
    """Copy headers, without ``dropped`` ones (names in lower case)."""
    new_headers = HTTPHeaders()
    dropped_names = frozenset(dropped)
    for name, content in headers.get_all():
        if name.lower() not in dropped_names:
            new_headers.add(name, content)
    return new_headers
