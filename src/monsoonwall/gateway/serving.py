"""Assemble the components that serve the requests of one gateway."""

from random import Random
from typing import Final

from monsoonwall.clocks import BootClock, Clock
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.gateway.adapters import GatewayAdapters
from monsoonwall.gateway.admission import make_admission_check
from monsoonwall.gateway.dependencies import RequestDependencies
from monsoonwall.gateway.ingress import Ingress
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.proxy import ProxyHandler
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.retrying import RetryPolicy
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.run_moves import RunMover
from monsoonwall.gateway.screening import make_screener
from monsoonwall.gateway.sending import Sender
from monsoonwall.gateway.server_selection import ServerSelector
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.signals import ServerSignals
from monsoonwall.gateway.usage import UsageCounter

# Number of hosts assumed until this host has met another: the larger of the
# present sites has nine.
_ASSUMED_HOSTS: Final = 9


class ServingStack:
    """The request path of a gateway, and its data exchange with other hosts."""

    def __init__(
        self,
        settings: GatewaySettings,
        record_cache: RecordCache,
        mesh: MeshNode,
        adapters: GatewayAdapters,
        clock: Clock,
        random: Random,
    ) -> None:
        self._own_name = settings.host_name
        self._record_cache = record_cache
        self._mesh = mesh
        self._max_hosts = _ASSUMED_HOSTS if settings.seeds else 1
        self._has_met_hosts = False
        self.usage = UsageCounter(
            mesh.board, BootClock(), settings.host_name, settings.bounds
        )
        self.loads = LoadTracker(mesh.board, clock)
        self.screener = make_screener(record_cache, mesh.board, clock)
        self.rollouts = RolloutController(
            record_cache, mesh.board, clock, settings.bounds
        )
        self.admission_check = make_admission_check(
            record_cache, mesh.board, clock, settings, self.count_hosts
        )
        server_selector = ServerSelector(
            record_cache,
            self.loads,
            self.rollouts,
            settings.zone,
            clock,
            random,
            self.count_hosts,
        )
        self.signals = ServerSignals(
            mesh.board, record_cache, self.loads, clock
        )
        sender = Sender(adapters.dialect, clock, self.signals)
        self.pool = sender.pool
        self.run_mover = RunMover(
            record_cache,
            server_selector,
            adapters.engines,
            settings.bounds.drain_seconds,
            clock,
        )
        dependencies = RequestDependencies(
            self.admission_check,
            self.screener,
            server_selector,
            RetryPolicy(settings.bounds, clock, self.count_hosts),
            sender,
            self.loads,
            self.rollouts,
            self.usage,
            self.run_mover.runs,
            adapters.dialect,
            clock,
        )
        self.ingress = Ingress(
            settings.front_address,
            adapters.dialect,
            ProxyHandler(dependencies),
            clock,
            lambda: record_cache.catalogue and record_cache.catalogue.limits,
        )

    def count_hosts(self) -> int:
        """Return the highest number of hosts known at once so far."""
        return self._max_hosts

    def exchange_loads(self) -> None:
        """Read the loads of the other hosts and publish this host's load."""
        self.loads.read_peers(self._own_name)
        self.loads.publish()

    def exchange_grants(self) -> None:
        """Exchange the grants of workspaces and update the number of hosts."""
        reporting_hosts = self.admission_check.exchange_grants()
        # In a large fleet the mesh lists only the hosts of this zone; those of
        # other zones are counted by their grants.
        other_hosts = max(reporting_hosts, len(self._mesh.peers.list_peers()))
        if other_hosts and not self._has_met_hosts:
            self._has_met_hosts = True
            self._max_hosts = 1
        self._max_hosts = max(self._max_hosts, other_hosts + 1)

    def exchange_counts(self) -> None:
        """Exchange usage counts and drop the state of servers that are gone."""
        self.usage.exchange()
        servers = self._record_cache.list_all_servers()
        self.loads.retain(server.name for server in servers)
        self.pool.close_unused(
            server for server in servers if not server.leaving
        )
