"""Use no records that may have been outdated for too long.

Asked where a bound applies. Records that are too old for it are read from the
store first. While it does not respond, they stay in use.
"""

import asyncio
from asyncio import Task
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.record_age import find_latest_use
from monsoonwall.gateway.record_confirmations import RecordConfirmations
from monsoonwall.gateway.records import RecordKind, RecordReader
from monsoonwall.logs import make_logger

# A store that is not disturbed responds within milliseconds. A host that does
# not run for a while may give up the first call although it has the response,
# and misses one poll only.
_POLL_SECONDS: Final = 0.07
_MAX_POLLS: Final = 3
_MAX_READINGS: Final = 2
_MILLISECONDS_PER_SECOND: Final = 1000

_log = make_logger('store')


class RecordBound:
    """Tell whether the records of a kind are recent, and read them if not."""

    def __init__(
        self,
        kind: RecordKind,
        confirmations: RecordConfirmations,
        reader: RecordReader,
        clock: Clock,
        bound_seconds: float,
    ) -> None:
        self._kind = kind
        self._confirmations = confirmations
        self._reader = reader
        self._clock = clock
        self.seconds = bound_seconds
        self._reading: Task[None] | None = None
        self._store_responds = True

    async def ensure_recent(self) -> None:
        """Read the store if the records are old.

        Does nothing if it has not responded since they were recent.
        """
        if self._is_recent() or not self._store_responds:
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        for _ in range(_MAX_POLLS):
            await asyncio.wait({self._reading}, timeout=_POLL_SECONDS)
            if self._reading.done():
                break
        self._store_responds = self._is_recent()
        if not self._store_responds:
            _log.info(
                'Store did not respond in time; old records stay in use.',
                kind=self._kind,
                age_ms=round(_MILLISECONDS_PER_SECOND * self.find_age()),
            )

    def find_latest_use(self) -> float:
        """Return until when the records may be used, in monotonic seconds."""
        confirmation = self._confirmations.find(self._kind)
        if confirmation is None:
            return float('-inf')
        return find_latest_use(confirmation.confirmed_at, self.seconds)

    def find_age(self) -> float:
        """Return the seconds since the records were confirmed.

        Returns 0 if they have not been yet.
        """
        confirmation = self._confirmations.find(self._kind)
        if confirmation is None:
            return 0
        return self._clock.read_monotonic() - confirmation.confirmed_at

    def _is_recent(self) -> bool:
        recent = self._clock.read_monotonic() <= self.find_latest_use()
        self._store_responds = self._store_responds or recent
        return recent

    async def _read(self) -> None:
        for _ in range(_MAX_READINGS):
            await self._reader.refresh()
            if self._is_recent():
                return
