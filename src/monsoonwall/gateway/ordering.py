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
    Holder,
    ServerOrder,
)
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.model import Service
from monsoonwall.gateway.serving import Serving
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.logs import make_logger

# A refused order is tried again after a pause that doubles from the first of
# these to the last. Meanwhile callers are served by too few servers.
_FIRST_REFUSED_SECONDS: Final = 1.5
_MOST_REFUSED_SECONDS: Final = 4.0
# A zone counts as exhausted until an order has not been refused for so long.
_EXHAUSTED_SECONDS: Final = 12.0
# What was ordered has to show this long after the time that booting takes.
_SHOW_SECONDS: Final = 3.0
# Reclaims of other zones follow within seconds, so that lasting servers are
# kept for as long.
_KEEP_SECONDS: Final = 6.0

_log = make_logger('fleet')


@dataclass(frozen=True)
class _Place:
    """Name what an order is about: a service's servers of a kind in a zone."""

    service: str
    zone: str
    spot: bool


class FleetOrderer(DutyWorker):
    """Compare what runs with the plan and order the difference."""

    def __init__(
        self,
        knowledge: Knowledge,
        serving: Serving,
        calls: DutyCalls,
        clock: Clock,
        settings: GatewaySettings,
    ) -> None:
        self._knowledge = knowledge
        self._rollouts = serving.rollouts
        self._loads = serving.loads
        self._calls = calls
        self._clock = clock
        self._zones = settings.zones
        self._first_start = settings.first_start
        self._peaks: dict[str, DemandPeak] = {}
        self._kept: dict[tuple[str, str], float] = {}
        self._again_at: dict[_Place, float] = {}
        self._ordered: dict[_Place, int] = {}
        self._refusals: dict[_Place, Backoff] = {}
        # The most lasting servers of each service that were ever found.
        self._found: dict[str, int] = {}

    def forget(self) -> None:
        """Order anew what another holder may have changed."""
        self._again_at.clear()
        self._ordered.clear()
        self._refusals.clear()

    def observe(self) -> None:
        """Take in the demand, whoever holds the duty."""
        now = self._clock.read_monotonic()
        for service in self._list_services():
            servers = self._knowledge.list_servers(service.name)
            lasting = sum(not server.spot for server in servers)
            found = self._found.get(service.name, 0)
            self._found[service.name] = max(found, lasting)
            busy = self._loads.count_busy(service.name, servers)
            peak = self._peaks.setdefault(service.name, DemandPeak())
            peak.record(busy, now)

    async def step(self, holder: Holder) -> None:
        """Order what differs from the plan."""
        for service in self._list_services():
            # The servers of both versions stand while one is rolled out.
            if not self._rollouts.is_open(service.name):
                await self._adjust(holder, service)

    def _list_services(self) -> Iterable[Service]:
        catalogue = self._knowledge.catalogue
        if catalogue is None:
            return ()
        return tuple(
            service
            for service in catalogue.services.values()
            if service.scaling is not None
        )

    async def _adjust(self, holder: Holder, service: Service) -> None:
        running = self._count(service.name)
        most = service.scaling.most
        for zone, wanted in self._plan(service, running).items():
            has = running[zone]
            lasting = self._keep(service.name, zone, wanted, has)
            # Reclaimable servers come before others are given up, as far as
            # the zone has room for both.
            ordered = self._ordered.get(
                _Place(service.name, zone, spot=False), has.on_demand
            )
            spot = min(wanted.spot, most - max(lasting, ordered))
            await self._order(
                holder,
                ServerOrder(service.name, zone, max(0, spot), True),
                has.spot,
                service,
            )
            await self._order(
                holder,
                ServerOrder(service.name, zone, lasting, False),
                has.on_demand,
                service,
            )

    def _plan(
        self, service: Service, running: Mapping[str, ZoneFleet]
    ) -> Mapping[str, ZoneFleet]:
        scaling = service.scaling
        bounds = FleetBounds(
            scaling.least,
            scaling.most,
            scaling.spot_price is not None,
            {zone: scaling.zone_prices.get(zone, 1) for zone in self._zones},
        )
        peak = self._peaks.setdefault(service.name, DemandPeak())
        now = self._clock.read_monotonic()
        exhausted = self._list_exhausted(service.name, now)
        if peak.is_established(now):
            return plan_zones(bounds, running, peak.read(), exhausted)
        if self._first_start:
            expected = estimate_demand(self._found.get(service.name, 0))
            return plan_zones(
                bounds, running, max(expected, peak.read()), exhausted
            )
        # After a restart of all hosts, what runs was ordered by demand.
        if not peak.read():
            return running
        least = plan_zones(bounds, running, peak.read(), exhausted)
        return {
            zone: raise_to_minimum(bounds, running[zone], least[zone])
            for zone in bounds.prices
        }

    def _list_exhausted(self, service: str, now: float) -> frozenset[str]:
        """Return the zones that have no reclaimable servers to give."""
        return frozenset(
            place.zone
            for place in self._refusals
            if place == _Place(service, place.zone, spot=True)
            and now < self._again_at[place] + _EXHAUSTED_SECONDS
        )

    def _keep(
        self, service: str, zone: str, wanted: ZoneFleet, has: ZoneFleet
    ) -> int:
        """Return how many lasting servers to order.

        They are kept for a while, and until reclaimable ones can be had.
        """
        now = self._clock.read_monotonic()
        place = (service, zone)
        if wanted.on_demand >= has.on_demand:
            self._kept[place] = now + _KEEP_SECONDS
        elif now < self._kept.get(place, now) or self._list_exhausted(
            service, now
        ):
            return has.on_demand
        return wanted.on_demand

    def _count(self, service: str) -> dict[str, ZoneFleet]:
        counted: Counter[tuple[str, bool]] = Counter(
            (server.zone, server.spot)
            for server in self._knowledge.list_servers(service)
            if not server.leaving
        )
        return {
            zone: ZoneFleet(counted[zone, False], counted[zone, True])
            for zone in self._zones
        }

    async def _order(
        self,
        holder: Holder,
        order: ServerOrder,
        running: int,
        service: Service,
    ) -> None:
        place = _Place(order.service, order.zone, order.spot)
        now = self._clock.read_monotonic()
        same = self._ordered.get(place) == order.count
        if (same and running >= order.count) or running == order.count:
            return
        if now < self._again_at.get(place, now):
            return
        ending = await self._calls.order_servers(holder, order)
        if ending is DutyEnding.done:
            self._ordered[place] = order.count
            self._refusals.pop(place, None)
            shown = service.scaling.boot_seconds + _SHOW_SECONDS
            self._again_at[place] = now + shown
        else:
            self._again_at[place] = self._delay(place, ending, now)
        _log.info(
            'Servers ordered.',
            service=order.service,
            zone=order.zone,
            spot=order.spot,
            wanted=order.count,
            running=running,
            ending=ending,
        )

    def _delay(self, place: _Place, ending: DutyEnding, now: float) -> float:
        """Return when to try an order again that was not carried out."""
        if ending is not DutyEnding.refused:
            return now + _FIRST_REFUSED_SECONDS
        backoff = self._refusals.setdefault(
            place, Backoff(_FIRST_REFUSED_SECONDS, _MOST_REFUSED_SECONDS)
        )
        return backoff.fail(now, 1)
