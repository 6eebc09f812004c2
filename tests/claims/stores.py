"""Emulate the object API in memory and inject faults."""

import asyncio
from collections import deque

from returns.result import Failure, Success

from monsoonwall.platform.objects import (
    ObjectStore,
    StoredObject,
    StoreFailure,
)

FAULTS = ('ok', 'unavailable', 'lost_done', 'lost_undone', 'late', 'stall')


class FaultyStore(ObjectStore):
    """Store objects in memory; each write consumes the next queued fault.

    Writes succeed if no fault is queued. A read consumes the next fault only
    if it is ``unavailable``. A write fails as ``lost`` after it was applied
    with ``lost_done``, and unapplied with ``lost_undone``. With ``late`` it
    fails as ``lost`` and is applied by ``apply_delayed``, if its condition
    still holds then. With ``stall`` its caller waits until then for the result.
    """

    def __init__(self):
        self.objects = {}
        self.faults = deque()
        self.writes = 0
        self._delayed = []
        self._version = 0

    def apply_delayed(self):
        """Apply the delayed writes whose condition still holds."""
        delayed = self._delayed
        self._delayed = []
        for write, applied in delayed:
            outcome = self._put(*write)
            if applied is not None and not applied.done():
                applied.set_result(outcome)

    async def read(self, key, reason):
        if self._next_fault(('unavailable',)) == 'unavailable':
            return Failure(StoreFailure.unavailable)
        if key not in self.objects:
            return Failure(StoreFailure.missing)
        return Success(self.objects[key])

    async def list_objects(self, prefix, reason):
        raise NotImplementedError

    async def create(self, key, content, reason):
        return await self._write(key, content, 0)

    async def update(self, key, content, version, reason):
        return await self._write(key, content, version)

    async def delete(self, key, version, reason):
        found = self.objects.pop(key, None)
        return Success(found) if found else Failure(StoreFailure.missing)

    async def watch(self, key, after, deadline, reason):
        raise NotImplementedError

    def _next_fault(self, allowed):
        if self.faults and self.faults[0] in allowed:
            return self.faults.popleft()
        return 'ok'

    async def _write(self, key, content, version):
        self.writes += 1
        fault = self._next_fault(FAULTS)
        write = (key, content, version)
        if fault == 'unavailable':
            return Failure(StoreFailure.unavailable)
        if fault == 'stall':
            applied = asyncio.get_running_loop().create_future()
            self._delayed.append((write, applied))
            return await applied
        if fault == 'late':
            self._delayed.append((write, None))
        if fault in {'late', 'lost_undone'}:
            return Failure(StoreFailure.lost)
        outcome = self._put(*write)
        return Failure(StoreFailure.lost) if fault == 'lost_done' else outcome

    def _put(self, key, content, version):
        found = self.objects.get(key)
        if (found.version if found else 0) != version:
            return Failure(StoreFailure.conflict)
        self._version += 1
        self.objects[key] = StoredObject(key, self._version, content)
        return Success(self.objects[key])
