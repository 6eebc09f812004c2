"""Poll engines, and exchange loads and demand with the other entry hosts.

Each engine is polled by two entry hosts of its zone, in case one of them fails.
Only the first of the two in rank publishes the results. Each host publishes
one entry on the board, with its poll results, its dispatch counts and its
demand.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from msgspec import Struct, msgpack
from returns.pipeline import is_successful

from monsoonwall.backends.engine import ModelEngine
from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.decisions.cache import ChangeBatch, PrefixChange, is_sampled
from monsoonwall.decisions.load import ServerCounts, ServerReport
from monsoonwall.decisions.polling import choose_message_period, rank_poller
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.entry.liveness import LivenessTask
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry
from monsoonwall.mesh.peers import Peers
from monsoonwall.pipeline.admission import DemandTable, HostDemand
from monsoonwall.pipeline.routing import CostBasedRouting
from monsoonwall.pipeline.server_view import ServerView

LOAD_KIND: Final = 'load'
_ROUND_SECONDS: Final = 0.5
_POLL_TIMEOUT_SECONDS: Final = 1.0

_log = make_logger('loads')


class PolledServer(Struct, frozen=True, array_like=True):
    """Hold the result of polling a server.

    It is encoded as an array, which keeps the message small.
    """

    server: str
    in_flight: int
    capacity: int
    measured_wall: float
    batch: ChangeBatch | None


class HostLoad(Struct, frozen=True, array_like=True):
    """Hold the poll results, dispatch counts and demand of one host.

    ``silent`` names the servers whose polls failed. ``published_wall`` is in
    Unix seconds.
    """

    published_wall: float
    polled: tuple[PolledServer, ...]
    silent: tuple[str, ...]
    counts: dict[str, ServerCounts]
    demand: HostDemand


@dataclass(frozen=True)
class LoadDependencies:
    """Hold the objects that the load task uses."""

    server_view: ServerView
    demands: DemandTable
    routing: CostBasedRouting
    liveness: LivenessTask
    pool: BackendPool
    board: Board
    peers: Peers


class LoadTask:
    """Keep this host's view of loads and demand up to date."""

    def __init__(
        self,
        host_name: str,
        zone: str,
        dependencies: LoadDependencies,
        clock: Clock,
    ) -> None:
        self._host_name = host_name
        self._zone = zone
        self._dependencies = dependencies
        self._clock = clock
        self._load_entries = dependencies.board.subscribe(LOAD_KIND)
        self._polled: dict[str, PolledServer] = {}
        self._unresponsive: set[str] = set()
        self._next_publish_at: float = 0

    async def run(self) -> None:
        """Poll and publish until cancelled."""
        while True:
            try:
                await self._run_round()
            except Exception as error:
                # Routing continues with older loads, but polling must not stop.
                _log.opt(exception=error).error('Polling round failed.')
            await asyncio.sleep(_ROUND_SECONDS)

    async def _run_round(self) -> None:
        polls = [
            self._poll(name, engine)
            for name, engine in self._dependencies.pool.list_engines().items()
            if self._rank_poller(name) is not None
        ]
        await asyncio.gather(*polls)
        self._merge_peer_loads()
        now = self._clock.read_monotonic()
        self._dependencies.routing.close_overdue_attempts(now)
        if now >= self._next_publish_at:
            self._publish(now)

    def _rank_poller(self, server: str) -> int | None:
        servers = self._dependencies.server_view.configuration.backend_servers
        server_configuration = servers.get(server)
        if server_configuration is None:
            return None
        zones = {
            peer.name: peer.zone
            for peer in self._dependencies.peers.list_peers()
            if not peer.leaving
        }
        zones[self._host_name] = self._zone
        zone_hosts = [
            name
            for name, zone in zones.items()
            if zone == server_configuration.zone
        ]
        # Engines of a zone without entry hosts are polled from other zones.
        return rank_poller(server, self._host_name, zone_hosts or list(zones))

    async def _poll(self, name: str, engine: ModelEngine) -> None:
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_SECONDS):
                await self._read_engine(name, engine)
        except TimeoutError:
            self._record_failure(name)

    async def _read_engine(self, name: str, engine: ModelEngine) -> None:
        result = await engine.read_load()
        if not is_successful(result):
            self._record_failure(name)
            return
        report = result.unwrap()
        self._dependencies.server_view.availability.record_response(name)
        if report.leaving:
            self._dependencies.liveness.report_leaving(name)
        polled = PolledServer(
            name,
            report.running + report.waiting,
            report.capacity,
            report.measured_wall,
            await self._read_changes(name, engine),
        )
        self._record_poll(polled)
        self._unresponsive.discard(name)
        if self._rank_poller(name) == 0:
            self._polled[name] = polled

    async def _read_changes(
        self, name: str, engine: ModelEngine
    ) -> ChangeBatch | None:
        after = self._dependencies.server_view.caches.find(name).number
        result = await engine.read_cache_events(after)
        if not is_successful(result) or not result.unwrap():
            return None
        events = result.unwrap()
        last = events[-1].number
        return ChangeBatch(
            after,
            last,
            max(0, last - after - len(events)),
            tuple(
                PrefixChange(event.stored, event.prefix_key)
                for event in events
                if is_sampled(event.prefix_key)
            ),
        )

    def _record_failure(self, name: str) -> None:
        if self._rank_poller(name) == 0:
            self._unresponsive.add(name)
        self._dependencies.server_view.availability.record_failure(
            name, self._clock.read_monotonic()
        )

    def _record_poll(self, polled: PolledServer) -> None:
        server_view = self._dependencies.server_view
        server_view.loads.find(polled.server).record_report(
            ServerReport(
                polled.in_flight,
                polled.capacity,
                self._convert_to_monotonic(polled.measured_wall),
            )
        )
        if polled.batch is not None:
            server_view.caches.find(polled.server).apply_batch(polled.batch)

    def _merge_peer_loads(self) -> None:
        while not self._load_entries.empty():
            record = self._load_entries.get_nowait()
            if isinstance(record, Entry) and record.origin != self._host_name:
                self._merge_peer_load(record)

    def _merge_peer_load(self, entry: Entry) -> None:
        try:
            load = msgpack.decode(entry.payload, type=HostLoad)
        except DECODE_ERRORS as error:
            _log.error('Cannot decode a load entry.', error=str(error))
            return
        configured = (
            self._dependencies.server_view.configuration.backend_servers
        )
        now = self._clock.read_monotonic()
        for polled in load.polled:
            if polled.server in configured:
                self._record_poll(polled)
        for server in load.silent:
            self._dependencies.server_view.availability.record_failure(
                server, now
            )
        published_at = self._convert_to_monotonic(load.published_wall)
        for server, counts in load.counts.items():
            if server in configured:
                tracker = self._dependencies.server_view.loads.find(server)
                tracker.record_peer_counts(entry.origin, counts, published_at)
        self._dependencies.demands.record_peer(entry.origin, load.demand, now)

    def _publish(self, now: float) -> None:
        payload = msgpack.encode(
            HostLoad(
                self._clock.read_wall(),
                tuple(self._polled.values()),
                tuple(self._unresponsive),
                dict(self._dependencies.server_view.loads.collect_counts()),
                self._dependencies.demands.collect_own(now),
            )
        )
        self._polled.clear()
        self._unresponsive.clear()
        self._dependencies.board.publish_entry(LOAD_KIND, '', payload)
        hosts = 1 + len(self._dependencies.peers.list_peers())
        self._next_publish_at = now + choose_message_period(len(payload), hosts)

    def _convert_to_monotonic(self, wall: float) -> float:
        age = max(0, self._clock.read_wall() - wall)
        return self._clock.read_monotonic() - age
