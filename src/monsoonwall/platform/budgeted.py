"""Rate limit for a host's calls to the platform's object store."""

from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result

from monsoonwall.clocks import Clock
from monsoonwall.decisions.budget import CallBudget
from monsoonwall.metrics import PLATFORM_CALLS
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

_BURST_SECONDS: Final = 2.0


@dataclass(frozen=True)
class CallRates:
    """Calls per second that this host may make."""

    reads: float
    writes: float


class BudgetedObjectStore(ObjectStore):
    """Object store with a rate limit.

    Calls beyond the limit fail at once with ``over_budget``.
    """

    def __init__(
        self, store: ObjectStore, rates: CallRates, clock: Clock
    ) -> None:
        now = clock.read_monotonic()
        self._store = store
        self._clock = clock
        self._read_budget = _make_budget(rates.reads, now)
        self._write_budget = _make_budget(rates.writes, now)

    @property
    def era(self) -> int:
        """Return how often the store has returned from an older copy."""
        return self._store.era

    async def read(
        self, key: str, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Fetch the object with a key."""
        if not self._allow_call(self._read_budget, reason):
            return Failure(StoreFailure.over_budget)
        return await self._store.read(key, reason)

    async def list_objects(
        self, prefix: str, reason: CallReason
    ) -> Result[tuple[StoredObject, ...], StoreFailure]:
        """Fetch all objects whose keys start with a prefix."""
        if not self._allow_call(self._read_budget, reason):
            return Failure(StoreFailure.over_budget)
        return await self._store.list_objects(prefix, reason)

    async def create(
        self, key: str, content: bytes, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Write a new object; fails with ``conflict`` if the key exists."""
        if not self._allow_call(self._write_budget, reason):
            return Failure(StoreFailure.over_budget)
        return await self._store.create(key, content, reason)

    async def update(
        self, key: str, content: bytes, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; ``conflict`` if it has another version."""
        if not self._allow_call(self._write_budget, reason):
            return Failure(StoreFailure.over_budget)
        return await self._store.update(key, content, version, reason)

    async def delete(
        self, key: str, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Delete an object; ``conflict`` if it has another version."""
        if not self._allow_call(self._write_budget, reason):
            return Failure(StoreFailure.over_budget)
        return await self._store.delete(key, version, reason)

    async def watch(
        self, key: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Wait until the object's version is above ``after``, return it."""
        if not self._allow_call(self._read_budget, reason):
            return Failure(StoreFailure.over_budget)
        return await self._store.watch(key, after, deadline, reason)

    def _allow_call(self, budget: CallBudget, reason: CallReason) -> bool:
        allowed = budget.try_spend(reason, self._clock.read_monotonic())
        if not allowed:
            PLATFORM_CALLS.labels(reason, StoreFailure.over_budget).inc()
        return allowed


def _make_budget(rate: float, now: float) -> CallBudget:
    # Even at a low rate, the burst must let single calls of each reason pass,
    # in spite of the reserves for more urgent reasons.
    return CallBudget(rate, max(10, rate * _BURST_SECONDS), now)
