"""Define the interfaces of the request path's stages.

Calls are screened before they are admitted. Plain calls that are not
idempotent are then claimed before a version is chosen. All stages return
without blocking, except for claims. No stage owns a socket: what a stage
shares with other hosts is published on the board.
"""

from abc import ABC, abstractmethod

from returns.result import Result

from monsoonwall.pipeline.messages import (
    AttemptFailure,
    AttemptRecord,
    Call,
    Refusal,
    ServerChoice,
    ServiceReply,
)


class Admission(ABC):
    """Admit or refuse calls by workspace limits and load."""

    @abstractmethod
    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the call, or the refusal; count an admitted call."""

    @abstractmethod
    def release(self, call: Call, now: float) -> None:
        """Free the slot of an admitted call that has ended."""


class Screening(ABC):
    """Isolate or refuse requests that crash backend servers."""

    @abstractmethod
    def screen(self, call: Call, now: float) -> Result[bool, Refusal]:
        """Return whether the call must run isolated, or the refusal."""


class VersionChoice(ABC):
    """Choose the version that serves a call."""

    @abstractmethod
    def choose_version(self, call: Call, now: float) -> str:
        """Return the name of the version for a new call."""

    def choose_retry_version(
        self, call: Call, version: str, emitted: int, now: float
    ) -> str:
        """Return the version for the attempt after a failed one.

        ``emitted`` is the number of tokens that the caller may have received.
        """
        return version


class ServerRouting(ABC):
    """Choose the backend server for one attempt."""

    @abstractmethod
    def choose_server(
        self,
        call: Call,
        version: str,
        excluded: frozenset[str],
        isolated: bool,
        now: float,
    ) -> Result[ServerChoice, Refusal]:
        """Return the chosen server, or the refusal if there is none."""

    @abstractmethod
    def record_dispatch(
        self, call: Call, choice: ServerChoice, now: float
    ) -> None:
        """Count work that the server's load report does not show yet."""


class RetryPolicy(ABC):
    """Decide whether and when to retry a failed attempt."""

    @abstractmethod
    def decide_retry(
        self, call: Call, failures: int, failure: AttemptFailure, now: float
    ) -> Result[float, Refusal]:
        """Return the time of the next attempt, or the final refusal.

        ``failures`` counts the failed attempts, including the last one.
        """


class Claiming(ABC):
    """Ensure that a call that is not idempotent runs at most once."""

    @abstractmethod
    async def claim(self, call: Call) -> Result[ServiceReply | None, Refusal]:
        """Return None for a new claim, or the reply of an earlier run.

        Only the caller that gets None may dispatch the call, and only once.
        """

    @abstractmethod
    async def conclude(
        self, call: Call, ending: ServiceReply | AttemptFailure
    ) -> None:
        """Record the outcome of the claimed call."""


class Observer(ABC):
    """Receive the record of each ended attempt."""

    @abstractmethod
    def observe(self, record: AttemptRecord) -> None:
        """Process the record of one ended attempt."""
