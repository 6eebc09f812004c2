"""Commit write requests to journals, many requests in one write."""

import asyncio
from abc import ABC, abstractmethod
from asyncio import Future, Queue
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.claims.journal import Journal, LoadedHead
from monsoonwall.clocks import Clock
from monsoonwall.decisions.claims import (
    BatchResult,
    WriteRequest,
    WriteResult,
    WriteVerdict,
    apply_requests,
    find_current_records,
)
from monsoonwall.metrics import CLAIM_COMMITS
from monsoonwall.platform.objects import ObjectStore, StoreFailure

MAX_BATCH_REQUESTS: Final = 200
COMMIT_SPACING_SECONDS: Final = 0.05
MAX_COMMIT_TRIES: Final = 8
_RECHECKED_VERDICTS: Final = frozenset((WriteVerdict.held, WriteVerdict.reused))
_UNAVAILABLE: Final = WriteResult(WriteVerdict.unavailable)
_NO_EFFECT_FAILURES: Final = frozenset(
    (
        StoreFailure.unavailable,
        StoreFailure.over_budget,
    )
)


@dataclass(frozen=True)
class _PendingRequest:
    write_request: WriteRequest
    future: 'Future[WriteResult]'


class BaseJournalWriter(ABC):
    """Accept write requests for one journal."""

    @abstractmethod
    async def submit(self, write_request: WriteRequest) -> WriteResult:
        """Return the result of a write request."""


class JournalWriter(BaseJournalWriter):
    """Commit queued write requests to one journal.

    A result other than ``unavailable`` is based on a write or a read that the
    platform confirmed. After ``unavailable`` the request may still take
    effect, because a write in transit cannot be cancelled.
    """

    def __init__(
        self, journal: Journal, clock: Clock, spacing_seconds: float
    ) -> None:
        self._journal = journal
        self._spacing_seconds = spacing_seconds
        self._clock = clock
        self._queue: Queue[_PendingRequest] = Queue()
        self._cached_head: LoadedHead | None = None

    async def submit(self, write_request: WriteRequest) -> WriteResult:
        """Queue a write request and return its result."""
        future: Future[WriteResult] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_PendingRequest(write_request, future))
        return await future

    async def run(self) -> None:
        """Commit queued requests in batches until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < MAX_BATCH_REQUESTS:
                batch.append(self._queue.get_nowait())
            results = await self._commit(
                [pending.write_request for pending in batch]
            )
            for pending, outcome in zip(batch, results, strict=True):
                if not pending.future.done():
                    pending.future.set_result(outcome)
            await self._journal.delete_expired()
            # Requests that arrive during this pause share the next write.
            await asyncio.sleep(self._spacing_seconds)

    async def _commit(
        self, write_requests: Sequence[WriteRequest]
    ) -> Sequence[WriteResult]:
        for _ in range(MAX_COMMIT_TRIES):
            outcome = await self._try_commit(write_requests)
            if is_successful(outcome):
                return outcome.unwrap()
            CLAIM_COMMITS.labels(outcome.failure()).inc()
            self._cached_head = None
            if outcome.failure() in _NO_EFFECT_FAILURES:
                break
        return tuple(_UNAVAILABLE for _ in write_requests)

    async def _try_commit(
        self, write_requests: Sequence[WriteRequest]
    ) -> Result[Sequence[WriteResult], StoreFailure]:
        cached_head = self._cached_head
        loaded = Success(cached_head) if cached_head else await self._load()
        if not is_successful(loaded):
            return Failure(loaded.failure())
        applied = self._apply(loaded.unwrap(), write_requests)
        if applied.records:
            return await self._write(loaded.unwrap(), applied)
        if cached_head and _needs_recheck(applied):
            # The cached head may be stale; refuse only after a fresh read.
            return Failure(StoreFailure.conflict)
        return Success(applied.results)

    async def _load(self) -> Result[LoadedHead, StoreFailure]:
        found = await self._journal.load()
        self._cached_head = found.value_or(None)
        return found

    def _apply(
        self, loaded: LoadedHead, write_requests: Sequence[WriteRequest]
    ) -> BatchResult:
        records = self._journal.list_records(loaded.head)
        return apply_requests(
            find_current_records(records),
            write_requests,
            self._clock.read_wall(),
        )

    async def _write(
        self, loaded: LoadedHead, applied: BatchResult
    ) -> Result[Sequence[WriteResult], StoreFailure]:
        written = await self._journal.append(
            loaded, applied.records, self._clock.read_wall()
        )
        if not is_successful(written):
            return Failure(written.failure())
        self._cached_head = written.unwrap()
        CLAIM_COMMITS.labels('ok').inc()
        return Success(applied.results)


class JournalWriters:
    """Create the writer of each shard when it is first needed."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        spacing_seconds: float = COMMIT_SPACING_SECONDS,
    ) -> None:
        self._store = store
        self._spacing_seconds = spacing_seconds
        self._clock = clock
        self._writers: dict[int, JournalWriter] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def find_writer(self, shard: int) -> JournalWriter:
        """Return the writer of a shard, started if necessary."""
        if shard not in self._writers:
            writer = JournalWriter(
                Journal(self._store, shard), self._clock, self._spacing_seconds
            )
            self._writers[shard] = writer
            self._tasks.append(asyncio.create_task(writer.run()))
        return self._writers[shard]

    def close(self) -> None:
        """Stop all writers."""
        for task in self._tasks:
            task.cancel()


def _needs_recheck(applied: BatchResult) -> bool:
    return any(
        outcome.verdict in _RECHECKED_VERDICTS for outcome in applied.results
    )
