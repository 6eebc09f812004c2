"""Assemble what keeps a gateway's records up to date."""

from collections.abc import Awaitable, Callable, Iterable
from random import Random

from monsoonwall.clocks import Clock
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.gateway.adapters import GatewayAdapters
from monsoonwall.gateway.departure_bound import DepartureBound
from monsoonwall.gateway.record_bound import RecordBound
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_gossip import RecordGossip
from monsoonwall.gateway.record_watchers import WatchSchedule, make_watchers
from monsoonwall.gateway.records import RecordKind
from monsoonwall.gateway.settings import GatewaySettings


class RecordService:
    """Cache the records of the store and of the other hosts."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapters: GatewayAdapters,
        mesh: MeshNode,
        clock: Clock,
        random: Random,
    ) -> None:
        bounds = settings.bounds
        self.cache = RecordCache(adapters.codec, clock, bounds.drain_seconds)
        schedule = WatchSchedule(
            mesh.board,
            mesh.peers,
            clock,
            settings.host_name,
            settings.zone,
            bounds,
        )
        self._watchers = make_watchers(
            adapters.records,
            self.cache,
            clock,
            random,
            schedule,
            settings.first_start,
            _choose_record_kinds(settings),
        )
        self._gossip = RecordGossip(
            mesh.board, self.cache, clock, random, schedule.confirmations
        )
        self._confirmations = schedule.confirmations
        self._clock = clock
        self.configuration_bound = self._make_bound(
            RecordKind.catalogue, bounds.configuration_seconds
        )
        self.departure_bound = DepartureBound(
            self.cache,
            self._make_bound(RecordKind.server, bounds.drain_seconds),
            clock,
        )

    def list_runs(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks to run in the background, by name."""
        return {
            **{f'watch-{watch.kind}': watch.run for watch in self._watchers},
            'records': self._gossip.run,
        }

    def _make_bound(self, kind: RecordKind, seconds: float) -> RecordBound:
        reader = next(
            watcher for watcher in self._watchers if watcher.kind is kind
        )
        return RecordBound(
            kind, self._confirmations, reader, self._clock, seconds
        )


def _choose_record_kinds(settings: GatewaySettings) -> Iterable[RecordKind]:
    """Return the kinds of records that exist in this deployment."""
    if settings.bounds.evacuate_seconds:
        return RecordKind
    return tuple(
        kind for kind in RecordKind if kind is not RecordKind.evacuation
    )
