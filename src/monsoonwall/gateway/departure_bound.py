"""Observe how old the records are by which requests are sent to servers."""

from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_confirmations import RecordConfirmations
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.logs import make_logger
from monsoonwall.metrics import (
    GATEWAY_DEPARTURE_DELAY,
    GATEWAY_SENDING_RECORD_AGE,
)

_MILLISECONDS_PER_SECOND: Final = 1000

_log = make_logger('servers')


class DepartureBound:
    """Tell since when this host does not know whether servers are leaving."""

    def __init__(
        self,
        record_cache: RecordCache,
        confirmations: RecordConfirmations,
        clock: Clock,
        drain_seconds: float,
    ) -> None:
        self._record_cache = record_cache
        self._confirmations = confirmations
        self._clock = clock
        self._drain_seconds = drain_seconds
        self._departed: set[str] = set()
        record_cache.subscribe(self._observe_record)

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

    def _observe_record(self, record: Record) -> None:
        """Log by how much a departure may have been known too late."""
        if record.kind is not RecordKind.server:
            return
        server = self._record_cache.find_server(record.name)
        if server is not None and not server.leaving:
            self._departed.discard(record.name)
        elif record.name not in self._departed:
            self._departed.add(record.name)
            delay = self._find_age()
            GATEWAY_DEPARTURE_DELAY.observe(delay)
            _log.info(
                'Departure known.',
                server=record.name,
                at_most_ms=round(_MILLISECONDS_PER_SECOND * delay),
            )

    def _find_age(self) -> float:
        """Return the seconds since the records of servers were confirmed."""
        confirmation = self._confirmations.find(RecordKind.server)
        if confirmation is None:
            return 0
        return self._clock.read_monotonic() - confirmation.confirmed_at
