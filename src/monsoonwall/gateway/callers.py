"""Declare the interface for writing a response to a caller."""

from abc import ABC, abstractmethod

from tornado.httputil import HTTPHeaders


class Caller(ABC):
    """Write one HTTP response to a caller."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Return whether the response head has been written."""

    @abstractmethod
    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Write the status line and the headers."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Write a part of the body."""

    @abstractmethod
    async def drain(self) -> None:
        """Wait until the caller has read most of what was written."""

    @abstractmethod
    def finish(self) -> None:
        """Complete the response."""

    @abstractmethod
    def abort(self) -> None:
        """Close the channel so that the caller detects a truncated response."""
