"""Decide which orders bring model engines to their declared version.

Orders are idempotent: they state what an engine should hold, not what to
change. If a stale order has changed an engine's state, the next plan finds the
difference and corrects it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from monsoonwall.backends.engine import EngineOrder, LoadReport, OrderKind
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    ServiceKind,
)
from monsoonwall.decisions.gossip import hash_with_seed

_SERVERS_PER_SHARD: Final = 64
_MAX_ORDERS_PER_PLAN: Final = 4


@dataclass(frozen=True)
class Shard:
    """Group model engines of a zone that one host sends orders to."""

    zone: str
    number: int
    servers: tuple[str, ...]

    @property
    def name(self) -> str:
        """Return the name of the shard's lease."""
        return f'orders/{self.zone}/{self.number}'


@dataclass(frozen=True)
class PlannedOrder:
    """Hold an order for one server."""

    server: str
    order: EngineOrder


def list_shards(configuration: Configuration, zone: str) -> tuple[Shard, ...]:
    """Return a zone's model engines, split by the hash of their names."""
    engines = [
        name
        for name, server in configuration.backend_servers.items()
        if server.zone == zone
        and configuration.services[server.service].kind is ServiceKind.model
    ]
    shard_count = -(-len(engines) // _SERVERS_PER_SHARD)
    shards: list[list[str]] = [[] for _ in range(shard_count)]
    for name in sorted(engines):
        shards[hash_with_seed(name, 0) % shard_count].append(name)
    return tuple(
        Shard(zone, number, tuple(servers))
        for number, servers in enumerate(shards)
    )


def plan_orders(
    configuration: Configuration,
    shard: Shard,
    reports: Mapping[str, LoadReport],
    fencing_number: int,
) -> tuple[PlannedOrder, ...]:
    """Return orders for engines that lack their declared version.

    Engines without a report and leaving ones get none. The number of orders is
    limited, since engines that load weights share the bandwidth of the weight
    store.
    """
    lacking = [
        PlannedOrder(
            name,
            EngineOrder(
                OrderKind.load_version,
                configuration.backend_servers[name].version,
                fencing_number,
            ),
        )
        for name in shard.servers
        if name in configuration.backend_servers
        and _lacks_version(
            reports.get(name), configuration.backend_servers[name]
        )
    ]
    return tuple(lacking[:_MAX_ORDERS_PER_PLAN])


def _lacks_version(report: LoadReport | None, server: BackendServer) -> bool:
    if report is None or report.leaving:
        return False
    return server.version not in report.versions
