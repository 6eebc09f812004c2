"""Define the interface to the platform's object store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result

MAX_OBJECT_BYTES = 1_000_000


class StoreFailure(StrEnum):
    """Reason why a call to the object store returned no object.

    ``missing``: there is no such object or, in a watch, no newer version.
    ``unavailable``: the call had no effect. ``lost``: the call may have taken
    effect, so the object must be read again. ``over_budget``: the call was not
    made, because it exceeded this host's rate limit.
    """

    missing = 'missing'
    conflict = 'conflict'
    too_large = 'too_large'
    unavailable = 'unavailable'
    lost = 'lost'
    over_budget = 'over_budget'


class CallReason(StrEnum):
    """Purpose of a call; calls are counted and limited by purpose."""

    configuration = 'configuration'
    claim = 'claim'
    lease = 'lease'
    status = 'status'
    membership = 'membership'
    fleet = 'fleet'


@dataclass(frozen=True)
class StoredObject:
    """One object; ``version`` increases with each write of its key.

    Versions of different eras of the store (see ``ObjectStore.era``) differ.
    """

    key: str
    version: int
    content: bytes


class ObjectStore(ABC):
    """Interface to read, write and watch objects.

    Each call counts towards the platform's rate limit, watches included.
    """

    @property
    def era(self) -> int:
        """Return how often the store has returned from an older copy.

        Writes acknowledged shortly before a return may be lost. Known from the
        responses to earlier calls.
        """
        return 0

    @abstractmethod
    async def read(
        self, key: str, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Fetch the object with a key."""

    @abstractmethod
    async def list_objects(
        self, prefix: str, reason: CallReason
    ) -> Result[tuple[StoredObject, ...], StoreFailure]:
        """Fetch all objects whose keys start with a prefix."""

    @abstractmethod
    async def create(
        self, key: str, content: bytes, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Write a new object; fails with ``conflict`` if the key exists."""

    @abstractmethod
    async def update(
        self, key: str, content: bytes, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; ``conflict`` if it has another version."""

    @abstractmethod
    async def delete(
        self, key: str, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Delete an object; ``conflict`` if it has another version."""

    @abstractmethod
    async def watch(
        self, key: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Wait until the object's version is above ``after``, return it.

        Fails with ``missing`` if there is no newer version when the deadline
        (monotonic seconds) passes.
        """
