"""Know which servers are cold, and how many requests they take meanwhile.

Servers are cold for some seconds after they start, and may become cold again.
Hosts learn it from the servers' entries and responses. They assume it of the
servers of a zone whose evacuation ends, and of servers that did not accept a
connection, since news of these may arrive after requests could be sent again.
"""

from dataclasses import dataclass, replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.server_limits import ColdStart
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.logs import make_logger
from monsoonwall.metrics import GATEWAY_COLD_SERVERS

_NEVER: Final = float('-inf')

_log = make_logger('servers')


@dataclass(frozen=True)
class _ColdPeriod:
    """When one incarnation of a server stops being cold (monotonic seconds).

    ``announced_until`` is what the server last said, ``assumed_until`` what
    this host concluded.
    """

    born: int
    announced_until: float = _NEVER
    assumed_until: float = _NEVER

    @property
    def ends_at(self) -> float:
        """Return the later of the two."""
        return max(self.announced_until, self.assumed_until)


class ColdServers:
    """Track the cold servers of the services that have a cold start."""

    def __init__(
        self, record_cache: RecordCache, fleet: FleetView, clock: Clock
    ) -> None:
        self._record_cache = record_cache
        self._fleet = fleet
        self._clock = clock
        self._periods: dict[str, _ColdPeriod] = {}
        record_cache.subscribe(self._observe_record)

    def find_limit(self, server: BackendServer) -> float | None:
        """Return the requests per second a server takes, None if it is warm.

        Until this host knows the fleet, no other limit is safe than 0.
        """
        period = self._periods.get(server.name)
        if period is None or period.born != server.born:
            return None
        cold_start = self._find_cold_start(server.service)
        if cold_start is None:
            return None
        limit = cold_start.compute_limit(
            period.ends_at, self._clock.read_monotonic()
        )
        return 0 if limit and not self._fleet.is_settled else limit

    def record_announcement(
        self, server: BackendServer, seconds: float
    ) -> None:
        """Record how long a server says that it stays cold."""
        period = self._find_period(server)
        if not seconds and period.announced_until == _NEVER:
            return
        until = self._clock.read_monotonic() + seconds
        self._update(server, replace(period, announced_until=until))

    def assume_cold(self, server: BackendServer) -> None:
        """Assume that a server is cold from now on, as after a start."""
        cold_start = self._find_cold_start(server.service)
        if cold_start is None:
            return
        until = self._clock.read_monotonic() + cold_start.seconds
        period = self._find_period(server)
        self._update(server, replace(period, assumed_until=until))

    def drop_warm(self) -> None:
        """Drop the servers that are gone or have warmed up."""
        servers = {
            server.name: server
            for server in self._record_cache.list_all_servers()
        }
        self._periods = {
            name: period
            for name, period in self._periods.items()
            if name in servers and self.find_limit(servers[name]) is not None
        }
        GATEWAY_COLD_SERVERS.set(len(self._periods))

    def _observe_record(self, record: Record) -> None:
        if record.kind is RecordKind.server:
            server = self._record_cache.find_server(record.name)
            if server is not None:
                self.record_announcement(server, server.cold_seconds)
        elif record.kind is RecordKind.evacuation and record.content is None:
            self._assume_cold_zone(record.name)

    def _assume_cold_zone(self, zone: str) -> None:
        for server in self._record_cache.list_all_servers():
            if server.zone == zone:
                self.assume_cold(server)

    def _find_cold_start(self, service_name: str) -> ColdStart | None:
        catalogue = self._record_cache.catalogue
        if catalogue is None:
            return None
        service = catalogue.services.get(service_name)
        return service and service.cold_start

    def _find_period(self, server: BackendServer) -> _ColdPeriod:
        period = self._periods.get(server.name)
        if period is None or period.born != server.born:
            return _ColdPeriod(server.born)
        return period

    def _update(self, server: BackendServer, period: _ColdPeriod) -> None:
        now = self._clock.read_monotonic()
        was_cold = now < self._find_period(server).ends_at
        self._periods[server.name] = period
        if not was_cold and now < period.ends_at:
            _log.info(
                'Server is cold.',
                server=server.name,
                born=server.born,
                seconds=round(period.ends_at - now, 2),
                assumed=period.assumed_until > period.announced_until,
            )
