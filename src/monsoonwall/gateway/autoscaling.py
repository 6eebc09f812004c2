"""Order servers from the platform as demand changes.

Only the lease holder orders, but all hosts measure the demand. On-demand
servers stay until they are released; spot servers are cheaper but may be
reclaimed.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.budget import Backoff
from monsoonwall.decisions.fleet import (
    DemandPeak,
    FleetBounds,
    ZoneFleet,
    estimate_demand,
    plan_zones,
    raise_to_minimum,
)
from monsoonwall.gateway.duties import (
    DutyCalls,
    DutyEnding,
    DutyWorker,
    LeaseHolder,
    ServerOrder,
)
from monsoonwall.gateway.model import Service
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.serving import ServingStack
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.logs import make_logger

# A refused order is retried with exponential backoff between these bounds.
# Until it succeeds, callers are served by too few servers.
_MIN_RETRY_SECONDS: Final = 1.5
_MAX_RETRY_SECONDS: Final = 4.0
# A zone that refused an order for spot servers counts as exhausted until this
# long after the order was due to be retried.
_EXHAUSTED_SECONDS: Final = 12.0
# Ordered servers should have registered this long after their boot time.
_REGISTRATION_SECONDS: Final = 3.0
# On-demand servers are kept this long after they were last needed, since a
# reclaim of one zone is often followed by others within seconds.
_RELEASE_DELAY_SECONDS: Final = 6.0

_log = make_logger('fleet')


@dataclass(frozen=True)
class _ServerPool:
    """The servers of one kind that a service has in a zone."""

    service: str
    zone: str
    spot: bool


class Autoscaler(DutyWorker):
    """Compare the running servers with the plan and order the difference."""

    def __init__(
        self,
        record_cache: RecordCache,
        serving: ServingStack,
        calls: DutyCalls,
        clock: Clock,
        settings: GatewaySettings,
    ) -> None:
        self._record_cache = record_cache
        self._rollouts = serving.rollouts
        self._loads = serving.loads
        self._calls = calls
        self._clock = clock
        self._zones = settings.zones
        self._first_start = settings.first_start
        self._peaks: dict[str, DemandPeak] = {}
        # When on-demand servers may be released, by service and zone.
        self._releasable_at: dict[tuple[str, str], float] = {}
        self._retry_at: dict[_ServerPool, float] = {}
        self._ordered: dict[_ServerPool, int] = {}
        self._refusals: dict[_ServerPool, Backoff] = {}
        # The most on-demand servers of each service seen at once.
        self._max_on_demand: dict[str, int] = {}

    def reset(self) -> None:
        """Discard earlier orders, which another holder may have changed."""
        self._retry_at.clear()
        self._ordered.clear()
        self._refusals.clear()

    def record_demand(self) -> None:
        """Measure the demand for servers, also without holding the lease."""
        now = self._clock.read_monotonic()
        for service in self._list_services():
            servers = self._record_cache.list_servers(service.name)
            on_demand = sum(not server.spot for server in servers)
            max_seen = self._max_on_demand.get(service.name, 0)
            self._max_on_demand[service.name] = max(max_seen, on_demand)
            busy = self._loads.count_busy_servers(service.name, servers)
            peak = self._peaks.setdefault(service.name, DemandPeak())
            peak.record(busy, now)

    async def step(self, holder: LeaseHolder) -> None:
        """Order servers for every service that has no open roll-out."""
        for service in self._list_services():
            # During a roll-out, servers of both versions run at once.
            if not self._rollouts.is_open(service.name):
                await self._scale_service(holder, service)

    def _list_services(self) -> Iterable[Service]:
        catalogue = self._record_cache.catalogue
        if catalogue is None:
            return ()
        return tuple(
            service
            for service in catalogue.services.values()
            if service.scaling is not None
        )

    async def _scale_service(
        self, holder: LeaseHolder, service: Service
    ) -> None:
        running = self._count_servers(service.name)
        max_servers = service.scaling.max_servers
        for zone, wanted in self._plan(service, running).items():
            current = running[zone]
            on_demand = self._choose_on_demand(
                service.name, zone, wanted, current
            )
            # Spot servers are ordered before on-demand servers are released,
            # as far as the zone's bound has room for both.
            ordered = self._ordered.get(
                _ServerPool(service.name, zone, spot=False), current.on_demand
            )
            spot = min(wanted.spot, max_servers - max(on_demand, ordered))
            await self._order_servers(
                holder,
                ServerOrder(service.name, zone, max(0, spot), True),
                current.spot,
                service,
            )
            await self._order_servers(
                holder,
                ServerOrder(service.name, zone, on_demand, False),
                current.on_demand,
                service,
            )

    def _plan(
        self, service: Service, running: Mapping[str, ZoneFleet]
    ) -> Mapping[str, ZoneFleet]:
        """Return the plan of all zones that are not evacuated.

        The servers of evacuated zones are kept until their zone is used again.
        """
        scaling = service.scaling
        zones = self._list_used_zones()
        running = {zone: running[zone] for zone in zones}
        bounds = FleetBounds(
            scaling.min_servers,
            scaling.max_servers,
            scaling.spot_price is not None,
            {zone: scaling.zone_prices.get(zone, 1) for zone in zones},
        )
        peak = self._peaks.setdefault(service.name, DemandPeak())
        now = self._clock.read_monotonic()
        plan = partial(
            plan_zones,
            bounds,
            running,
            exhausted=self._list_exhausted(service.name, now).intersection(
                zones
            ),
            evacuated=len(self._zones) - len(zones),
        )
        if peak.is_established(now):
            return plan(peak.read())
        if self._first_start:
            expected = estimate_demand(self._max_on_demand.get(service.name, 0))
            return plan(max(expected, peak.read()))
        # After a restart of all hosts, the running servers match the demand
        # before it; until the demand is known, the plan only adds to them.
        if not peak.read():
            return running
        minimum_plan = plan(peak.read())
        return {
            zone: raise_to_minimum(bounds, running[zone], minimum_plan[zone])
            for zone in bounds.prices
        }

    def _list_used_zones(self) -> tuple[str, ...]:
        evacuated = self._record_cache.evacuations.zones
        return tuple(zone for zone in self._zones if zone not in evacuated)

    def _list_exhausted(self, service: str, now: float) -> frozenset[str]:
        """Return the zones that have recently refused to start spot servers."""
        return frozenset(
            pool.zone
            for pool in self._refusals
            if pool == _ServerPool(service, pool.zone, spot=True)
            and now < self._retry_at[pool] + _EXHAUSTED_SECONDS
        )

    def _choose_on_demand(
        self, service: str, zone: str, wanted: ZoneFleet, current: ZoneFleet
    ) -> int:
        """Return how many on-demand servers to order.

        Surplus ones are kept for a while, and as long as any zone refuses to
        start spot servers.
        """
        now = self._clock.read_monotonic()
        key = (service, zone)
        if wanted.on_demand >= current.on_demand:
            self._releasable_at[key] = now + _RELEASE_DELAY_SECONDS
        elif now < self._releasable_at.get(key, now) or self._list_exhausted(
            service, now
        ):
            return current.on_demand
        return wanted.on_demand

    def _count_servers(self, service: str) -> dict[str, ZoneFleet]:
        counted: Counter[tuple[str, bool]] = Counter(
            (server.zone, server.spot)
            for server in self._record_cache.list_servers(service)
            if not server.leaving
        )
        return {
            zone: ZoneFleet(counted[zone, False], counted[zone, True])
            for zone in self._zones
        }

    async def _order_servers(
        self,
        holder: LeaseHolder,
        order: ServerOrder,
        running: int,
        service: Service,
    ) -> None:
        pool = _ServerPool(order.service, order.zone, order.spot)
        now = self._clock.read_monotonic()
        is_ordered = self._ordered.get(pool) == order.count
        if (is_ordered and running >= order.count) or running == order.count:
            return
        if now < self._retry_at.get(pool, now):
            return
        ending = await self._calls.order_servers(holder, order)
        if ending is DutyEnding.done:
            self._ordered[pool] = order.count
            self._refusals.pop(pool, None)
            registered_after = (
                service.scaling.boot_seconds + _REGISTRATION_SECONDS
            )
            self._retry_at[pool] = now + registered_after
        else:
            self._retry_at[pool] = self._schedule_retry(pool, ending, now)
        _log.info(
            'Server order sent.',
            service=order.service,
            zone=order.zone,
            spot=order.spot,
            wanted=order.count,
            running=running,
            ending=ending,
        )

    def _schedule_retry(
        self, pool: _ServerPool, ending: DutyEnding, now: float
    ) -> float:
        """Return when to retry an order that was not carried out."""
        if ending is not DutyEnding.refused:
            return now + _MIN_RETRY_SECONDS
        backoff = self._refusals.setdefault(
            pool, Backoff(_MIN_RETRY_SECONDS, _MAX_RETRY_SECONDS)
        )
        return backoff.record_failure(now, 1)
