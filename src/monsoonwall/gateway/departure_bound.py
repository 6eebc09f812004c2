"""Send no requests to servers that may have left for too long.

Asked when a request is about to be written: what was known when its server was
chosen may be outdated since. The records of servers may be old, too. Then the
store is read first. While it does not respond, the servers stay in use.
"""

import asyncio
from asyncio import Task
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.record_age import find_latest_sending
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_confirmations import RecordConfirmations
from monsoonwall.gateway.records import Record, RecordKind, RecordReader
from monsoonwall.logs import make_logger
from monsoonwall.metrics import (
    GATEWAY_DEPARTURE_DELAY,
    GATEWAY_SENDING_RECORD_AGE,
    GATEWAY_UNSENT_REQUESTS,
)

# A store that is not disturbed responds within milliseconds. A host that does
# not run for a while may give up the first call although it has the response,
# and misses one poll only.
_POLL_SECONDS: Final = 0.1
_MAX_POLLS: Final = 6
_MAX_READINGS: Final = 2
_MAX_DEPARTED: Final = 10_000
_MILLISECONDS_PER_SECOND: Final = 1000

_log = make_logger('servers')


class DepartureBound:
    """Tell whether a request may still be sent to a server."""

    def __init__(
        self,
        record_cache: RecordCache,
        confirmations: RecordConfirmations,
        reader: RecordReader,
        clock: Clock,
        drain_seconds: float,
    ) -> None:
        self._record_cache = record_cache
        self._confirmations = confirmations
        self._reader = reader
        self._clock = clock
        self._drain_seconds = drain_seconds
        # Until when servers that are leaving or gone may be sent requests.
        self._latest_sendings: dict[str, float] = {}
        self._reading: Task[None] | None = None
        self._store_responds = True
        record_cache.subscribe(self._observe_record)

    async def allows(self, server: BackendServer) -> bool:
        """Return whether a request may be sent to a chosen server now.

        Reads the store if it is not known whether the server is leaving.
        """
        if self._is_in_use(server) and not self._is_recent():
            await self._read_store()
        allowed = self._is_in_use(server) or (
            self._clock.read_monotonic()
            <= self._latest_sendings.get(server.name, float('-inf'))
        )
        if not allowed:
            GATEWAY_UNSENT_REQUESTS.inc()
        return allowed

    def record_sending(self, server: BackendServer) -> None:
        """Record that a request is sent to a server."""
        age = self._find_age()
        GATEWAY_SENDING_RECORD_AGE.observe(age)
        if age > self._drain_seconds:
            _log.info(
                'Request sent by old records.',
                server=server.name,
                age_ms=round(_MILLISECONDS_PER_SECOND * age),
            )

    def _is_in_use(self, server: BackendServer) -> bool:
        known = self._record_cache.find_server(server.name)
        return (
            known is not None
            and not known.leaving
            and known.born == server.born
        )

    def _is_recent(self) -> bool:
        """Return whether servers in use may be sent requests now."""
        recent = self._clock.read_monotonic() <= self._find_latest_sending()
        self._store_responds = self._store_responds or recent
        return recent

    async def _read_store(self) -> None:
        """Read the store, unless it has not responded since the last time."""
        if not self._store_responds:
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._refresh())
        for _ in range(_MAX_POLLS):
            await asyncio.wait({self._reading}, timeout=_POLL_SECONDS)
            if self._reading.done():
                break
        self._store_responds = self._is_recent()

    async def _refresh(self) -> None:
        for _ in range(_MAX_READINGS):
            await self._reader.refresh()
            if self._is_recent():
                return

    def _observe_record(self, record: Record) -> None:
        if record.kind is not RecordKind.server:
            return
        server = self._record_cache.find_server(record.name)
        if server is not None and not server.leaving:
            self._latest_sendings.pop(record.name, None)
        elif record.name not in self._latest_sendings:
            self._latest_sendings[record.name] = self._find_latest_sending()
            if len(self._latest_sendings) > _MAX_DEPARTED:
                self._latest_sendings.pop(next(iter(self._latest_sendings)))
            delay = self._find_age()
            GATEWAY_DEPARTURE_DELAY.observe(delay)
            _log.info(
                'Departure known.',
                server=record.name,
                at_most_ms=round(_MILLISECONDS_PER_SECOND * delay),
            )

    def _find_latest_sending(self) -> float:
        confirmation = self._confirmations.find(RecordKind.server)
        if confirmation is None:
            return float('-inf')
        return find_latest_sending(
            confirmation.confirmed_at, self._drain_seconds
        )

    def _find_age(self) -> float:
        """Return the seconds since the records of servers were confirmed."""
        confirmation = self._confirmations.find(RecordKind.server)
        if confirmation is None:
            return 0
        return self._clock.read_monotonic() - confirmation.confirmed_at
