"""Declare the platform's object API as monsoonwall uses it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result

MAX_OBJECT_BYTES = 1_000_000


class StoreFailure(StrEnum):
    """Name why a call to the object API gave no object.

    After ``unavailable`` the call certainly had no effect; after ``lost``
    it may have had one, and the object must be read back.
    """

    missing = 'missing'
    conflict = 'conflict'
    too_large = 'too_large'
    unavailable = 'unavailable'
    lost = 'lost'
    over_budget = 'over_budget'


class CallReason(StrEnum):
    """Name what a platform call is for; calls are counted by it."""

    configuration = 'configuration'
    claim = 'claim'
    lease = 'lease'
    status = 'status'
    membership = 'membership'
    fleet = 'fleet'


@dataclass(frozen=True)
class StoredObject:
    """Hold one object; ``version`` grows with each write of its key."""

    key: str
    version: int
    content: bytes


class ObjectStore(ABC):
    """Read, write and watch objects; each call and watch counts."""

    @abstractmethod
    async def read(
        self, key: str, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Return the object under a key."""

    @abstractmethod
    async def list_objects(
        self, prefix: str, reason: CallReason
    ) -> Result[tuple[StoredObject, ...], StoreFailure]:
        """Return the objects whose keys begin with a prefix."""

    @abstractmethod
    async def create(
        self, key: str, content: bytes, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Write a new object; a conflict if the key is taken."""

    @abstractmethod
    async def update(
        self, key: str, content: bytes, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Replace the object of the given version; else a conflict."""

    @abstractmethod
    async def delete(
        self, key: str, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Remove the object of the given version; else a conflict."""

    @abstractmethod
    async def watch(
        self, key: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Wait until the object's version is above ``after``.

        Returns ``missing`` when the deadline (monotonic seconds) passes
        without a newer version.
        """
