"""Define the interfaces to the records that operators and servers write."""

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
    """Kind of the records that gateways read."""

    catalogue = 'catalogue'
    server = 'server'
    rollout = 'rollout'
    evacuation = 'evacuation'


@dataclass(frozen=True)
class Record:
    """One record as it was written; without ``content`` it was removed.

    Revisions increase with each change of any record within an era. A new era
    begins when the store returns from an older copy of its content. A
    ``listed`` record may have been written in an earlier era than the one in
    which it was read. ``version`` is that of a configuration, else 0.
    """

    kind: RecordKind
    name: str
    revision: int
    content: bytes | None
    era: int = 0
    listed: bool = False
    version: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Return the place of the record in the order of changes."""
        return self.era, self.revision


@dataclass(frozen=True)
class Listing:
    """Records of one kind, as of a revision of an era.

    ``current_at`` is up to when, in monotonic seconds, the store had no later
    changes; minus infinity if that is not known.
    """

    records: tuple[Record, ...]
    revision: int
    era: int = 0
    current_at: float = float('-inf')


class RecordSource(ABC):
    """Read and watch records; the platform limits the number of calls."""

    @abstractmethod
    async def list_records(
        self, kind: RecordKind, current: bool
    ) -> Result[Listing, StoreFailure]:
        """Return all records of a kind.

        Unless ``current``, the listing may be seconds old. Such a listing costs
        a tenth of a current one, and a watch from its revision returns what it
        lacks.
        """

    @abstractmethod
    async def watch_records(
        self, kind: RecordKind, after: int, deadline: float
    ) -> Result[Listing, StoreFailure]:
        """Wait for changes after a revision and return them.

        Fails with ``missing`` if the store no longer has these changes.
        Returns no records when the deadline (monotonic seconds) passes.
        """


class RecordReader(ABC):
    """Read the changes of one kind of record at once."""

    @abstractmethod
    async def refresh(self) -> None:
        """Adopt all changes until now, if the store responds."""


class RecordCodec(ABC):
    """Decode records; malformed ones are decoded as None."""

    @abstractmethod
    def decode_catalogue(self, record: Record) -> Catalogue | None:
        """Decode a configuration."""

    @abstractmethod
    def decode_server(self, record: Record) -> BackendServer | None:
        """Decode a server entry."""

    @abstractmethod
    def decode_rollout(self, record: Record) -> Rollout | None:
        """Decode the order of a roll-out."""


class RolloutWriter(ABC):
    """Write the state of roll-outs for operators."""

    @abstractmethod
    async def write_rollout(
        self, rollout: Rollout, state: RolloutState
    ) -> Result[Record, StoreFailure]:
        """Write a state; fails with ``conflict`` if the record has changed."""
