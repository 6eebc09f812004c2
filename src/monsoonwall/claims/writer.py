"""Commit the wishes of one host to one journal, many in one write."""

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
    Verdict,
    WriteRequest,
    WriteResult,
    apply_requests,
    find_current_records,
)
from monsoonwall.metrics import CLAIM_COMMITS
from monsoonwall.platform.objects import ObjectStore, StoreFailure

MAX_BATCH: Final = 200
COMMIT_SPACING_SECONDS: Final = 0.05
MAX_TRIES: Final = 8
_DOUBTFUL: Final = frozenset((Verdict.held, Verdict.reused))
_UNAVAILABLE: Final = WriteResult(Verdict.unavailable)
_DEFINITE: Final = frozenset(
    (
        StoreFailure.unavailable,
        StoreFailure.over_budget,
    )
)


@dataclass(frozen=True)
class _Pending:
    wish: WriteRequest
    done: 'Future[WriteResult]'


class WishTaker(ABC):
    """Take wishes for one journal."""

    @abstractmethod
    async def submit(self, wish: WriteRequest) -> WriteResult:
        """Return what became of a wish."""


class JournalWriter(WishTaker):
    """Own one journal on this host and take wishes by message.

    A result other than ``unavailable`` rests on a write or a read that the
    platform answered. After ``unavailable`` the wish may still take effect,
    since a write on its way cannot be called back.
    """

    def __init__(
        self, journal: Journal, clock: Clock, spacing_seconds: float
    ) -> None:
        self._journal = journal
        self._spacing_seconds = spacing_seconds
        self._clock = clock
        self._queue: Queue[_Pending] = Queue()
        self._loaded: LoadedHead | None = None

    async def submit(self, wish: WriteRequest) -> WriteResult:
        """Return what became of a wish."""
        done: Future[WriteResult] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Pending(wish, done))
        return await done

    async def run(self) -> None:
        """Commit batch after batch until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < MAX_BATCH:
                batch.append(self._queue.get_nowait())
            results = await self._commit([one.wish for one in batch])
            for pending, outcome in zip(batch, results, strict=True):
                if not pending.done.done():
                    pending.done.set_result(outcome)
            await self._journal.clean()
            # What comes meanwhile shares the next write.
            await asyncio.sleep(self._spacing_seconds)

    async def _commit(
        self, wishes: Sequence[WriteRequest]
    ) -> Sequence[WriteResult]:
        for _ in range(MAX_TRIES):
            outcome = await self._try_commit(wishes)
            if is_successful(outcome):
                return outcome.unwrap()
            CLAIM_COMMITS.labels(outcome.failure()).inc()
            self._loaded = None
            if outcome.failure() in _DEFINITE:
                break
        return tuple(_UNAVAILABLE for _ in wishes)

    async def _try_commit(
        self, wishes: Sequence[WriteRequest]
    ) -> Result[Sequence[WriteResult], StoreFailure]:
        remembered = self._loaded
        loaded = Success(remembered) if remembered else await self._load()
        if not is_successful(loaded):
            return Failure(loaded.failure())
        applied = self._apply(loaded.unwrap(), wishes)
        if applied.records:
            return await self._write(loaded.unwrap(), applied)
        if remembered and _is_doubtful(applied):
            # What is remembered may be old; read it again before saying no.
            return Failure(StoreFailure.conflict)
        return Success(applied.results)

    async def _load(self) -> Result[LoadedHead, StoreFailure]:
        found = await self._journal.load()
        self._loaded = found.value_or(None)
        return found

    def _apply(
        self, loaded: LoadedHead, wishes: Sequence[WriteRequest]
    ) -> BatchResult:
        records = self._journal.list_records(loaded.head)
        return apply_requests(
            find_current_records(records), wishes, self._clock.read_wall()
        )

    async def _write(
        self, loaded: LoadedHead, applied: BatchResult
    ) -> Result[Sequence[WriteResult], StoreFailure]:
        written = await self._journal.append(
            loaded, applied.records, self._clock.read_wall()
        )
        if not is_successful(written):
            return Failure(written.failure())
        self._loaded = written.unwrap()
        CLAIM_COMMITS.labels('ok').inc()
        return Success(applied.results)


class JournalWriters:
    """Start the writer of a shard when it is first needed."""

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
        """Return the running writer of a shard."""
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


def _is_doubtful(applied: BatchResult) -> bool:
    return any(outcome.verdict in _DOUBTFUL for outcome in applied.results)
