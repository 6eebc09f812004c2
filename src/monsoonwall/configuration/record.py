"""Read and write the configuration object in the platform's store."""

import asyncio
from dataclasses import dataclass
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.configuration.document import CONFIGURATION_KEY
from monsoonwall.configuration.stored import (
    StoredConfiguration,
    decode_stored,
)
from monsoonwall.findings import Finding
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

STORE_ATTEMPTS: Final = 4
RETRY_PAUSE_SECONDS: Final = 0.3


@dataclass(frozen=True)
class CurrentObject:
    """Hold the object as read; version 0 means that it does not exist."""

    version: int
    stored: StoredConfiguration


class ConfigurationRecord:
    """Read the object, retrying stale reads, and replace it conditionally."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def read(
        self, at_least: int, held: StoredConfiguration | None
    ) -> Result[CurrentObject, tuple[Finding, ...]]:
        """Return the object; retry while its number is below ``at_least``.

        If the number stays lower, that object is returned: should it be
        stale, the platform refuses a conditional write based on it. ``held``
        replaces an object that was removed or overwritten with unreadable
        content.
        """
        current: Result[CurrentObject, tuple[Finding, ...]] = Failure(())
        for attempt in range(STORE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            current = await self._read_once(held)
            number = current.map(lambda found: found.stored.number)
            if number.value_or(-1) >= at_least:
                break
        return current

    async def write(
        self, current: CurrentObject, content: bytes
    ) -> Result[StoredObject, StoreFailure]:
        """Replace the object if it is still the one that was read."""
        if not current.version:
            return await self._store.create(
                CONFIGURATION_KEY, content, CallReason.configuration
            )
        return await self._store.update(
            CONFIGURATION_KEY,
            content,
            current.version,
            CallReason.configuration,
        )

    async def _read_once(
        self, held: StoredConfiguration | None
    ) -> Result[CurrentObject, tuple[Finding, ...]]:
        found = await self._store.read(
            CONFIGURATION_KEY, CallReason.configuration
        )
        if is_successful(found):
            version = found.unwrap().version
            decoded = decode_stored(found.unwrap().content)
            if held is not None:
                decoded = decoded.lash(lambda _faults: Success(held))
            return decoded.map(lambda stored: CurrentObject(version, stored))
        if found.failure() is StoreFailure.missing:
            return Success(CurrentObject(0, held or StoredConfiguration(0, {})))
        reason = f'could not be read ({found.failure()})'
        return Failure((Finding('platform', reason),))
