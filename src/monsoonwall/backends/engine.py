"""Define the interface to a model engine."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result

from monsoonwall.pipeline.messages import AttemptFailure, Call, Chunk


@dataclass(frozen=True)
class GenerateRequest:
    """Request to generate a completion, or the rest of one.

    ``emitted`` holds the tokens that earlier attempts generated. ``kv_handle``
    identifies a KV cache imported before, and is empty if there is none.
    """

    call: Call
    attempt: int
    emitted: tuple[str, ...] = ()
    kv_handle: str = ''


@dataclass(frozen=True)
class LoadReport:
    """Load that an engine reports; it may be out of date.

    ``running``, ``waiting`` and ``capacity`` are numbers of requests.
    ``measured_wall`` is when the engine measured it, in Unix seconds.
    """

    running: int
    waiting: int
    capacity: int
    cached_tokens: int
    versions: tuple[str, ...]
    leaving: bool
    measured_wall: float


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix was added to an engine's cache or evicted from it."""

    number: int
    stored: bool
    prefix_key: str
    tokens: int


class OrderKind(StrEnum):
    """Kind of a control order to an engine."""

    load_version = 'load_version'
    unload_version = 'unload_version'
    load_adapter = 'load_adapter'
    change_role = 'change_role'
    drain = 'drain'


@dataclass(frozen=True)
class EngineOrder:
    """Control order to an engine, with the fencing number of the lease.

    ``subject`` names what the order is about, for example a version.
    """

    kind: OrderKind
    subject: str
    fencing_number: int


@dataclass(frozen=True)
class KvExport:
    """An exported KV cache, identified by the engine's handle."""

    request_id: str
    tokens: int
    handle: str


class ModelEngine(ABC):
    """Interface to one model engine."""

    @abstractmethod
    def generate(
        self, generate_request: GenerateRequest
    ) -> AsyncIterator[Chunk | AttemptFailure]:
        """Yield chunks up to the finished one, or up to a failure."""

    @abstractmethod
    async def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt; does nothing if it is not running."""

    @abstractmethod
    async def read_load(self) -> Result[LoadReport, AttemptFailure]:
        """Fetch the engine's load report."""

    @abstractmethod
    async def read_cache_events(
        self, after: int
    ) -> Result[tuple[CacheEvent, ...], AttemptFailure]:
        """Fetch the cache events with numbers above ``after``."""

    @abstractmethod
    async def export_kv(
        self, request_id: str
    ) -> Result[KvExport, AttemptFailure]:
        """Export the KV cache of a running request."""

    @abstractmethod
    async def import_kv(self, export: KvExport) -> Result[str, AttemptFailure]:
        """Import a KV cache and return its handle for ``generate``."""

    @abstractmethod
    async def send_order(
        self, order: EngineOrder
    ) -> Result[int, AttemptFailure]:
        """Send an order and return the engine's highest fencing number."""
