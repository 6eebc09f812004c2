"""Send no requests to servers that may have left for too long.

Asked when a request is about to be written: what was known when its server was
chosen may be outdated since.
"""

from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_bound import RecordBound
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.logs import make_logger
from monsoonwall.metrics import (
    GATEWAY_DEPARTURE_DELAY,
    GATEWAY_SENDING_RECORD_AGE,
    GATEWAY_UNSENT_REQUESTS,
)

_MAX_DEPARTED: Final = 10_000
_MILLISECONDS_PER_SECOND: Final = 1000

_log = make_logger('servers')


class DepartureBound:
    """Tell whether a request may still be sent to a server."""

    def __init__(
        self, record_cache: RecordCache, record_bound: RecordBound, clock: Clock
    ) -> None:
        self._record_cache = record_cache
        self._record_bound = record_bound
        self._clock = clock
        # Until when servers that are leaving or gone may be sent requests.
        self._latest_sendings: dict[str, float] = {}
        # When the last request was sent to each server that is in use.
        self._sent_at: dict[str, float] = {}
        record_cache.subscribe(self._observe_record)

    async def allows(self, server: BackendServer) -> bool:
        """Return whether a request may be sent to a chosen server now.

        Reads the store if it is not known whether the server is leaving.
        """
        if self._is_in_use(server):
            await self._record_bound.ensure_recent()
        allowed = self._is_in_use(server) or (
            self._clock.read_monotonic()
            <= self._latest_sendings.get(server.name, float('-inf'))
        )
        if not allowed:
            GATEWAY_UNSENT_REQUESTS.inc()
        return allowed

    def record_sending(self, server: BackendServer) -> None:
        """Record that a request is sent to a server."""
        if server.name in self._latest_sendings:
            _log.info('Request sent to a leaving server.', server=server.name)
        else:
            self._sent_at[server.name] = self._clock.read_monotonic()
        age = self._record_bound.find_age()
        GATEWAY_SENDING_RECORD_AGE.observe(age)
        if age > self._record_bound.seconds:
            _log.info(
                'Request sent by old records.',
                server=server.name,
                age_ms=_to_milliseconds(age),
            )

    def _is_in_use(self, server: BackendServer) -> bool:
        known = self._record_cache.find_server(server.name)
        return (
            known is not None
            and not known.leaving
            and known.born == server.born
        )

    def _observe_record(self, record: Record) -> None:
        if record.kind is not RecordKind.server:
            return
        server = self._record_cache.find_server(record.name)
        if server is not None and not server.leaving:
            self._latest_sendings.pop(record.name, None)
        elif record.name not in self._latest_sendings:
            self._add_departed(record.name)

    def _add_departed(self, name: str) -> None:
        self._latest_sendings[name] = self._record_bound.find_latest_use()
        if len(self._latest_sendings) > _MAX_DEPARTED:
            self._latest_sendings.pop(next(iter(self._latest_sendings)))
        delay = self._record_bound.find_age()
        GATEWAY_DEPARTURE_DELAY.observe(delay)
        sent_at = self._sent_at.pop(name, None)
        _log.info(
            'Departure known.',
            server=name,
            at_most_ms=_to_milliseconds(delay),
            last_sent_ms=sent_at
            and _to_milliseconds(self._clock.read_monotonic() - sent_at),
        )


def _to_milliseconds(seconds: float) -> int:
    return round(_MILLISECONDS_PER_SECOND * seconds)
