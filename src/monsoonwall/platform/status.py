"""Write a zone's status to one object on the platform, in few calls."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

from msgspec import json
from returns.pipeline import is_successful

from monsoonwall.clocks import Clock
from monsoonwall.decisions.budget import Backoff
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoreFailure,
)

STATUS_PREFIX: Final = 'status/'
_WRITE_INTERVAL_SECONDS: Final = 10.0
_MAX_RETRY_SECONDS: Final = 60.0


class StatusWriter:
    """Write status sections periodically while this host is the writer.

    Several hosts may write for a short time, if their views of the zone differ.
    The last write wins, and the next round corrects it.
    """

    def __init__(
        self,
        key: str,
        store: ObjectStore,
        describe_sections: Callable[[], Any],
        is_writer: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._key = key
        self._store = store
        self._describe_sections = describe_sections
        self._is_writer = is_writer
        self._clock = clock
        self._backoff = Backoff(_WRITE_INTERVAL_SECONDS, _MAX_RETRY_SECONDS)
        self._version = 0

    async def run(self) -> None:
        """Write the status periodically until cancelled."""
        while True:
            succeeded = not self._is_writer() or await self.write()
            now = self._clock.read_monotonic()
            next_write_at = now + _WRITE_INTERVAL_SECONDS
            if succeeded:
                self._backoff.reset()
            else:
                next_write_at = self._backoff.record_failure(
                    now, random.random()
                )
            await asyncio.sleep(next_write_at - now)

    async def write(self) -> bool:
        """Replace the zone's status and return whether that succeeded."""
        content = json.encode(
            {
                'written_wall': self._clock.read_wall(),
                'sections': self._describe_sections(),
            }
        )
        failure = await self._put(content)
        if failure is StoreFailure.conflict:
            # Another host has written since: retry with the current version.
            current = await self._store.read(self._key, CallReason.status)
            self._version = current.map(lambda stored: stored.version).value_or(
                0
            )
            failure = await self._put(content)
        return failure is None

    async def _put(self, content: bytes) -> StoreFailure | None:
        if self._version:
            written = await self._store.update(
                self._key, content, self._version, CallReason.status
            )
        else:
            written = await self._store.create(
                self._key, content, CallReason.status
            )
        if not is_successful(written):
            return written.failure()
        self._version = written.unwrap().version
        return None
