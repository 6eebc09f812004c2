"""Declare what varies in the request path.

The request path calls these in the order of this module. Each returns at
once, but for the claim, and none owns a socket: what a stage wants to tell
other hosts it publishes on the board.
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
    """Decide whether a call may enter, by workspace limits and load."""

    @abstractmethod
    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the call, or why it is refused."""

    @abstractmethod
    def release(self, call: Call, now: float) -> None:
        """Give back what the call held."""


class Screening(ABC):
    """Keep requests that crash backend servers apart."""

    @abstractmethod
    def screen(self, call: Call, now: float) -> Result[bool, Refusal]:
        """Return whether the call must run apart, or why it is refused."""


class VersionChoice(ABC):
    """Choose the version that serves a call."""

    @abstractmethod
    def choose_version(self, call: Call, now: float) -> str:
        """Return the name of the version."""

    def choose_retry_version(
        self, call: Call, version: str, emitted: int, now: float
    ) -> str:
        """Return the version for a further attempt after a failed one.

        ``emitted`` counts the tokens that the caller may have seen.
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
        """Return the chosen server, or why there is none."""

    @abstractmethod
    def note_dispatch(
        self, call: Call, choice: ServerChoice, now: float
    ) -> None:
        """Count work sent to a server before its load report shows it."""


class RetryPolicy(ABC):
    """Decide what follows a failed attempt."""

    @abstractmethod
    def decide_retry(
        self, call: Call, attempt: int, failure: AttemptFailure, now: float
    ) -> Result[float, Refusal]:
        """Return the time of the next attempt, or the final refusal."""


class Claiming(ABC):
    """Let a call that is not idempotent run at most once."""

    @abstractmethod
    async def claim(self, call: Call) -> Result[ServiceReply | None, Refusal]:
        """Return None for a new claim, or the earlier answer.

        Only the caller that gets None may dispatch, and only once.
        """

    @abstractmethod
    async def conclude(
        self, call: Call, ending: ServiceReply | AttemptFailure
    ) -> None:
        """Record how the claimed call ended."""


class Observer(ABC):
    """Learn from attempts that ended."""

    @abstractmethod
    def observe(self, record: AttemptRecord) -> None:
        """Take in one ended attempt."""
