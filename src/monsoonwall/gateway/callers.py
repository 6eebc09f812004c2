"""Declare the side of a request that leads to its caller."""

from abc import ABC, abstractmethod

from tornado.httputil import HTTPHeaders


class Caller(ABC):
    """Write one answer to a caller."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Tell whether the head of an answer has been written."""

    @abstractmethod
    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Write the head of the answer."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Write a part of the body."""

    @abstractmethod
    def finish(self) -> None:
        """End a whole answer."""

    @abstractmethod
    def abort(self) -> None:
        """Close the channel, so that the answer is seen to be not whole."""
