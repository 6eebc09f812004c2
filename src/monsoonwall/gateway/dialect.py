"""Declare the wire protocol between gateways, callers and servers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Result
from tornado.httputil import HTTPHeaders, RequestStartLine

from monsoonwall.gateway.model import BackendServer, CallerRequest
from monsoonwall.pipeline.messages import Refusal
from monsoonwall.transport.messages import Head, OutgoingRequest


@dataclass(frozen=True)
class Continuation:
    """Locate the saved state from which a server resumes a run.

    ``handle`` names the state at the server with this ``address``.
    """

    address: str
    handle: str


@dataclass(frozen=True)
class Attempt:
    """Describe one attempt of a request; the deadline is monotonic.

    ``used_channels`` holds the serials of the channels that carried earlier
    attempts of the request and are still open.
    """

    request: CallerRequest
    server: BackendServer
    deadline: float
    workspace: str | None = None
    priority: int | None = None
    last_event_id: str = ''
    continuation: Continuation | None = None
    used_channels: frozenset[int] = frozenset()


@dataclass(frozen=True)
class ResponseInfo:
    """Hold the protocol fields of a server's response head.

    ``attempt_id`` is the id of the request that it responds to, or an empty
    string. ``signed`` tells whether the response carries a signature,
    ``not_executed`` whether the server refused without running the request,
    ``closes_channel`` whether the server closes the channel after the response,
    ``keep_alive_seconds`` how long the server keeps an idle channel open,
    ``backoff_seconds`` how long this host must send it no requests,
    ``leaving`` whether the server is shutting down, ``requests_per_second``
    how many requests it accepts from all hosts together, None if it names no
    limit, ``cold_seconds`` how long it stays cold, and
    ``rejections_per_second`` how many requests it can reject without failing,
    None if it does not say.
    """

    attempt_id: str
    signed: bool
    not_executed: bool
    closes_channel: bool
    keep_alive_seconds: float | None = None
    backoff_seconds: float | None = None
    leaving: bool = False
    requests_per_second: float | None = None
    cold_seconds: float | None = None
    rejections_per_second: float | None = None


class Dialect(ABC):
    """Translate between the gateway's types and HTTP messages."""

    @abstractmethod
    def read_request(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        now: float,
    ) -> Result[CallerRequest, Refusal]:
        """Return a caller's decoded request, or why it is refused."""

    @abstractmethod
    def read_attempt_id(self, headers: HTTPHeaders) -> str:
        """Return the id that a caller gave its request, or an empty string."""

    @abstractmethod
    def read_key(self, headers: HTTPHeaders) -> str:
        """Return the key that a caller sent, or an empty string."""

    @abstractmethod
    def write_attempt(self, attempt: Attempt, now: float) -> OutgoingRequest:
        """Return the HTTP request of an attempt; ``now`` is monotonic."""

    @abstractmethod
    def read_response(self, head: Head) -> ResponseInfo:
        """Return the protocol fields of a server's response head."""

    @abstractmethod
    def write_response_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers that the caller receives with a response."""

    @abstractmethod
    def write_refusal(
        self, refusal: Refusal, attempt_id: str
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return the status, headers and body of a refusal."""
