"""Order servers while this host holds the duty."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
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

# A refused order is tried again after a pause that doubles from the first of
# these to the last. Meanwhile callers are served by too few servers.
_MIN_RETRY_SECONDS: Final = 1.5
_MAX_RETRY_SECONDS: Final = 4.0
# A zone counts as exhausted until an order has not been refused for so long.
_EXHAUSTED_SECONDS: Final = 12.0
# What was ordered has to show this long after the time that booting takes.
_REGISTRATION_SECONDS: Final = 3.0
# Reclaims of other zones follow within seconds, so that lasting servers are
# kept for as long.
_ON_DEMAND_HOLD_SECONDS: Final = 6.0

_log = make_logger('fleet')


@dataclass(frozen=True)
class _ServerPool:
    """Name what an order is about: a service's servers of a kind in a zone."""

    service: str
    zone: str
    spot: bool


class Autoscaler(DutyWorker):
    """Compare what runs with the plan and order the difference."""

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
        self._held_until: dict[tuple[str, str], float] = {}
        self._retry_at: dict[_ServerPool, float] = {}
        self._ordered: dict[_ServerPool, int] = {}
        self._refusals: dict[_ServerPool, Backoff] = {}
        # The most lasting servers of each service that were ever found.
        self._max_on_demand: dict[str, int] = {}

    def reset(self) -> None:
        """Order anew what another holder may have changed."""
        self._retry_at.clear()
        self._ordered.clear()
        self._refusals.clear()

    def record_demand(self) -> None:
        """Take in the demand, whoever holds the duty."""
        now = self._clock.read_monotonic()
        for service in self._list_services():
            servers = self._record_cache.list_servers(service.name)
            lasting = sum(not server.spot for server in servers)
            max_seen = self._max_on_demand.get(service.name, 0)
            self._max_on_demand[service.name] = max(max_seen, lasting)
            busy = self._loads.count_busy_servers(service.name, servers)
            peak = self._peaks.setdefault(service.name, DemandPeak())
            peak.record(busy, now)

    async def step(self, holder: LeaseHolder) -> None:
        """Order what differs from the plan."""
        for service in self._list_services():
            # The servers of both versions stand while one is rolled out.
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
            lasting = self._choose_on_demand(
                service.name, zone, wanted, current
            )
            # Reclaimable servers come before others are given up, as far as
            # the zone has room for both.
            ordered = self._ordered.get(
                _ServerPool(service.name, zone, spot=False), current.lasting
            )
            spot = min(wanted.spot, max_servers - max(lasting, ordered))
            await self._order_servers(
                holder,
                ServerOrder(service.name, zone, max(0, spot), True),
                current.spot,
                service,
            )
            await self._order_servers(
                holder,
                ServerOrder(service.name, zone, lasting, False),
                current.lasting,
                service,
            )

    def _plan(
        self, service: Service, running: Mapping[str, ZoneFleet]
    ) -> Mapping[str, ZoneFleet]:
        scaling = service.scaling
        bounds = FleetBounds(
            scaling.min_servers,
            scaling.max_servers,
            scaling.spot_price is not None,
            {zone: scaling.zone_prices.get(zone, 1) for zone in self._zones},
        )
        peak = self._peaks.setdefault(service.name, DemandPeak())
        now = self._clock.read_monotonic()
        exhausted = self._list_exhausted(service.name, now)
        if peak.is_established(now):
            return plan_zones(bounds, running, peak.read(), exhausted)
        if self._first_start:
            expected = estimate_demand(self._max_on_demand.get(service.name, 0))
            return plan_zones(
                bounds, running, max(expected, peak.read()), exhausted
            )
        # After a restart of all hosts, what runs was ordered by demand.
        if not peak.read():
            return running
        min_servers = plan_zones(bounds, running, peak.read(), exhausted)
        return {
            zone: raise_to_minimum(bounds, running[zone], min_servers[zone])
            for zone in bounds.prices
        }

    def _list_exhausted(self, service: str, now: float) -> frozenset[str]:
        """Return the zones that have no reclaimable servers to give."""
        return frozenset(
            pool.zone
            for pool in self._refusals
            if pool == _ServerPool(service, pool.zone, spot=True)
            and now < self._retry_at[pool] + _EXHAUSTED_SECONDS
        )

    def _choose_on_demand(
        self, service: str, zone: str, wanted: ZoneFleet, current: ZoneFleet
    ) -> int:
        """Return how many lasting servers to order.

        They are kept for a while, and until reclaimable ones can be had.
        """
        now = self._clock.read_monotonic()
        pool = (service, zone)
        if wanted.on_demand >= current.on_demand:
            self._held_until[pool] = now + _ON_DEMAND_HOLD_SECONDS
        elif now < self._held_until.get(pool, now) or self._list_exhausted(
            service, now
        ):
            return current.lasting
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
        same = self._ordered.get(pool) == order.count
        if (same and running >= order.count) or running == order.count:
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
            'Servers ordered.',
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
        """Return when to try an order again that was not carried out."""
        if ending is not DutyEnding.refused:
            return now + _MIN_RETRY_SECONDS
        backoff = self._refusals.setdefault(
            pool, Backoff(_MIN_RETRY_SECONDS, _MAX_RETRY_SECONDS)
        )
        return backoff.fail(now, 1)
