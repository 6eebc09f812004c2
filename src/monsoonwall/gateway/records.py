"""Declare where gateways read what operators and servers write."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result

from monsoonwall.gateway.model import (
    BackendServer,
    Catalogue,
    Rollout,
    RolloutState,
)
from monsoonwall.platform.objects import StoreFailure


class RecordKind(StrEnum):
    """Name what gateways follow."""

    catalogue = 'catalogue'
    server = 'server'
    rollout = 'rollout'


@dataclass(frozen=True)
class Record:
    """Hold one record as it was written; ``content`` None means removed.

    Revisions grow with each change of any record.
    """

    kind: RecordKind
    name: str
    revision: int
    content: bytes | None


@dataclass(frozen=True)
class Listing:
    """Hold all records of a kind as of a revision."""

    records: tuple[Record, ...]
    revision: int


class RecordSource(ABC):
    """Read and watch records; each call counts."""

    @abstractmethod
    async def list_records(
        self, kind: RecordKind, current: bool
    ) -> Result[Listing, StoreFailure]:
        """Return all records of a kind, as of seconds ago if not current.

        What is not current costs a tenth; a watch brings what it lacks.
        """

    @abstractmethod
    async def watch_records(
        self, kind: RecordKind, after: int, deadline: float
    ) -> Result[Listing, StoreFailure]:
        """Return the changes after a revision as soon as there are some.

        Returns ``missing`` if the changes are no longer known, and none
        when the deadline (monotonic seconds) passes.
        """


class RecordCodec(ABC):
    """Decode records; what cannot be read is None."""

    @abstractmethod
    def decode_catalogue(self, record: Record) -> Catalogue | None:
        """Return the configuration that a record holds."""

    @abstractmethod
    def decode_server(self, record: Record) -> BackendServer | None:
        """Return the server that a record describes."""

    @abstractmethod
    def decode_rollout(self, record: Record) -> Rollout | None:
        """Return the roll-out that a record orders."""


class RolloutWriter(ABC):
    """Tell operators how far roll-outs are."""

    @abstractmethod
    async def write_rollout(
        self, rollout: Rollout, state: RolloutState
    ) -> Result[Record, StoreFailure]:
        """Record a state; a conflict if the record was changed meanwhile."""
