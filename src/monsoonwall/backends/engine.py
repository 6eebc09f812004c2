"""Declare a model engine as monsoonwall uses it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result

from monsoonwall.pipeline.messages import AttemptFailure, Call, Chunk


@dataclass(frozen=True)
class GenerateRequest:
    """Ask an engine for the rest of an answer.

    ``emitted`` holds the tokens that earlier attempts gave. ``kv_handle``
    names a KV cache imported beforehand, empty when there is none.
    """

    call: Call
    attempt: int
    emitted: tuple[str, ...] = ()
    kv_handle: str = ''


@dataclass(frozen=True)
class LoadReport:
    """Hold what an engine says of itself; it lags.

    ``measured_wall`` is when the engine took the figures, Unix seconds.
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
    """Report a prompt prefix that entered or left an engine's cache."""

    number: int
    stored: bool
    prefix_key: str
    tokens: int


class OrderKind(StrEnum):
    """Name what an engine can be told to do."""

    load_version = 'load_version'
    unload_version = 'unload_version'
    load_adapter = 'load_adapter'
    change_role = 'change_role'
    drain = 'drain'


@dataclass(frozen=True)
class EngineOrder:
    """Tell an engine what to hold, under a lease's fencing number."""

    kind: OrderKind
    subject: str
    fencing_number: int


@dataclass(frozen=True)
class KvExport:
    """Hold an exported KV cache, or the engine's handle of it."""

    request_id: str
    tokens: int
    handle: str


class ModelEngine(ABC):
    """Talk to one model engine."""

    @abstractmethod
    def generate(
        self, generate_request: GenerateRequest
    ) -> AsyncIterator[Chunk | AttemptFailure]:
        """Yield chunks until one is finished, or a failure ends them."""

    @abstractmethod
    async def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt; one that is not running is ignored."""

    @abstractmethod
    async def read_load(self) -> Result[LoadReport, AttemptFailure]:
        """Return the engine's load report."""

    @abstractmethod
    async def read_cache_events(
        self, after: int
    ) -> Result[tuple[CacheEvent, ...], AttemptFailure]:
        """Return the cache events numbered above ``after``."""

    @abstractmethod
    async def export_kv(
        self, request_id: str
    ) -> Result[KvExport, AttemptFailure]:
        """Export the KV cache of a running request."""

    @abstractmethod
    async def import_kv(self, export: KvExport) -> Result[str, AttemptFailure]:
        """Import a KV cache and return the handle to generate with."""

    @abstractmethod
    async def send_order(
        self, order: EngineOrder
    ) -> Result[int, AttemptFailure]:
        """Give an order; returns the highest fencing number it has seen."""
