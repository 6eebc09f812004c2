"""React to what servers say of themselves in their response heads."""

import asyncio

from monsoonwall.clocks import Clock
from monsoonwall.decisions.brittle_servers import find_backoff_seconds
from monsoonwall.gateway.cold_servers import ColdServers
from monsoonwall.gateway.departures import Departures
from monsoonwall.gateway.dialect import ResponseInfo
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.sending import ResponseObserver
from monsoonwall.gateway.server_limits import ServerLimits
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board

_log = make_logger('servers')


class ServerSignals(ResponseObserver):
    """Record announced shutdowns, backoffs, limits and cold periods."""

    def __init__(
        self,
        board: Board,
        record_cache: RecordCache,
        loads: LoadTracker,
        fleet: FleetView,
        clock: Clock,
    ) -> None:
        self._departures = Departures(board, record_cache, clock)
        self._loads = loads
        self.cold_servers = ColdServers(record_cache, fleet, clock)
        self.limits = ServerLimits(
            board, clock, fleet, self.cold_servers.find_limit
        )
        self._fleet = fleet
        self._clock = clock

    async def run(self) -> None:
        """Receive what other hosts publish, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._departures.run())
            group.create_task(self.limits.run())

    def observe_response(
        self, server: BackendServer, response_info: ResponseInfo, sent_at: float
    ) -> None:
        """Process a response head as soon as it has arrived."""
        if response_info.leaving:
            self._departures.publish_departure(server)
        if response_info.backoff_seconds is not None:
            until = self._clock.read_monotonic() + response_info.backoff_seconds
            self._loads.find_health(server).record_backoff(until)
            _log.info(
                'Server asks for backoff.',
                server=server.name,
                seconds=response_info.backoff_seconds,
            )
        self._observe_brittleness(server, response_info)
        if response_info.cold_seconds is not None:
            self.cold_servers.record_announcement(
                server, response_info.cold_seconds
            )
        limit = response_info.requests_per_second
        # A refusal that names no limit may come from another process.
        if limit is not None or response_info.signed:
            self.limits.record_response(server, limit, sent_at)

    def _observe_brittleness(
        self, server: BackendServer, response_info: ResponseInfo
    ) -> None:
        rejections = response_info.rejections_per_second
        # A rejection without a signature may come from another process.
        if rejections is not None or response_info.signed:
            self._loads.record_brittleness(
                server.service, brittle=rejections is not None
            )
        if rejections is None or not response_info.not_executed:
            return
        seconds = find_backoff_seconds(self._fleet.count_hosts(), rejections)
        self._loads.find_health(server).record_backoff(
            self._clock.read_monotonic() + seconds
        )
        _log.info(
            'Brittle server rejected a request.',
            server=server.name,
            seconds=seconds,
        )

    def observe_unreachable(self, server: BackendServer) -> None:
        """Expect that a server that cannot be reached returns cold."""
        self.cold_servers.assume_cold(server)
