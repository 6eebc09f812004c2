"""React to shutdown and backoff signals in servers' response heads."""

from monsoonwall.clocks import Clock
from monsoonwall.gateway.departures import Departures
from monsoonwall.gateway.dialect import ResponseInfo
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.sending import ResponseObserver
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board

_log = make_logger('servers')


class ServerSignals(ResponseObserver):
    """Mark servers that announce a shutdown or ask for backoff."""

    def __init__(
        self,
        board: Board,
        record_cache: RecordCache,
        loads: LoadTracker,
        clock: Clock,
    ) -> None:
        self._departures = Departures(board, record_cache, clock)
        self._loads = loads
        self._clock = clock

    async def run(self) -> None:
        """Receive departures that other hosts publish, until cancelled."""
        await self._departures.run()

    def observe_response(
        self, server: BackendServer, response_info: ResponseInfo
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
        if response_info.requests_per_second is not None:
            _log.info(
                'Server limits its requests.',
                server=server.name,
                born=server.born,
                requests_per_second=response_info.requests_per_second,
            )
