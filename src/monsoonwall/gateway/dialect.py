"""Declare how gateways speak with callers and servers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Result
from tornado.httputil import HTTPHeaders, RequestStartLine

from monsoonwall.gateway.model import BackendServer, CallerRequest
from monsoonwall.pipeline.messages import Refusal
from monsoonwall.transport.messages import Head, OutgoingRequest


@dataclass(frozen=True)
class Continuation:
    """Tell a server where the state of an interrupted run is kept.

    ``handle`` names the state at the server of that address.
    """

    address: str
    handle: str


@dataclass(frozen=True)
class Attempt:
    """Describe one sending of a request; the deadline is monotonic."""

    request: CallerRequest
    server: BackendServer
    deadline: float
    workspace: str | None = None
    priority: int | None = None
    last_event_id: str = ''
    continuation: Continuation | None = None


@dataclass(frozen=True)
class ResponseInfo:
    """Hold what the head of a server's response says.

    ``keep_alive_seconds`` is how long the server keeps the idle channel open,
    ``backoff_seconds`` for how long it wants nothing from this host, and
    ``leaving`` whether it is about to end.
    """

    attempt_id: str
    signed: bool
    not_executed: bool
    closes_channel: bool
    keep_alive_seconds: float | None = None
    backoff_seconds: float | None = None
    leaving: bool = False


class Dialect(ABC):
    """Translate between the gateway's types and what is on the wire."""

    @abstractmethod
    def read_request(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        now: float,
    ) -> Result[CallerRequest, Refusal]:
        """Return a caller's request, decoded, or why it is refused."""

    @abstractmethod
    def read_attempt_id(self, headers: HTTPHeaders) -> str:
        """Return the id that a caller gave its request, or nothing."""

    @abstractmethod
    def write_attempt(self, attempt: Attempt, now: float) -> OutgoingRequest:
        """Return what a server is sent."""

    @abstractmethod
    def read_response(self, head: Head) -> ResponseInfo:
        """Return what the head of a server's response says."""

    @abstractmethod
    def write_response_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers of a server's response for the caller."""

    @abstractmethod
    def write_refusal(
        self, refusal: Refusal, attempt_id: str
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return status, headers and body that tell of a refusal."""
