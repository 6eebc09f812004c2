"""Follow changes of the configuration object in the platform."""

import asyncio
import random
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.clocks import Clock
from monsoonwall.configuration.document import CONFIGURATION_KEY
from monsoonwall.configuration.enforcement import Enforcement
from monsoonwall.decisions.budget import Backoff
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

# A watch that ends without a change confirms the configuration in force, so it
# must be much shorter than the time for which a confirmation is valid.
_WATCH_SECONDS: Final = 2.0
_FIRST_RETRY_SECONDS: Final = 0.2
_MAX_RETRY_SECONDS: Final = 3.0


class PlatformFollower:
    """Watch and read the object, and offer it for adoption."""

    def __init__(
        self, store: ObjectStore, enforcement: Enforcement, clock: Clock
    ) -> None:
        self._store = store
        self._enforcement = enforcement
        self._clock = clock
        self._backoff = Backoff(_FIRST_RETRY_SECONDS, _MAX_RETRY_SECONDS)
        self._version = 0

    async def watch(self) -> None:
        """Watch for a change once; back off after a failure or stale read."""
        started_wall = self._clock.read_wall()
        found = await self._store.watch(
            CONFIGURATION_KEY,
            self._version,
            self._clock.read_monotonic() + _WATCH_SECONDS,
            CallReason.configuration,
        )
        if is_successful(found):
            await self.pause(
                await self._process_object(found.unwrap(), started_wall)
            )
            return
        # A watch ends with this failure if the version has not changed.
        unchanged = found.failure() is StoreFailure.missing
        if unchanged:
            self._enforcement.record_platform_response()
            self._enforcement.confirm(
                self._enforcement.active.held.number, started_wall
            )
        await self.pause(unchanged)

    async def read(self) -> None:
        """Read the object once, and offer it for adoption."""
        started_wall = self._clock.read_wall()
        found = await self._store.read(
            CONFIGURATION_KEY, CallReason.configuration
        )
        if is_successful(found):
            await self._process_object(found.unwrap(), started_wall)

    async def pause(self, useful: bool) -> None:
        """Back off before the next call unless the last one was useful."""
        if useful:
            self._backoff.reset()
            return
        now = self._clock.read_monotonic()
        retry_at = self._backoff.record_failure(now, random.random())
        await asyncio.sleep(retry_at - now)

    def record_version(self, version: int) -> None:
        """Record the version of the object that this host wrote."""
        self._version = max(self._version, version)

    async def _process_object(
        self, found: StoredObject, started_wall: float
    ) -> bool:
        """Offer the object unless it is stale; return whether it was not."""
        if found.version < self._version:
            return False
        self._version = found.version
        active = self._enforcement.active
        result = await self._enforcement.process_offer(
            lambda: active.offer_object(found.content), len(found.content)
        )
        self._enforcement.record_platform_response()
        if result is not None and not result.supersedes_held:
            self._enforcement.confirm(active.held.number, started_wall)
        return True
