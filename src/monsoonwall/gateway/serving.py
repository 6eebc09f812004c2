"""Assemble the components that serve the requests of one gateway."""

from random import Random

from monsoonwall.clocks import BootClock, Clock
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.gateway.adapters import GatewayAdapters
from monsoonwall.gateway.admission import make_admission_check
from monsoonwall.gateway.dependencies import RequestDependencies
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.ingress import Ingress
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.proxy import ProxyHandler
from monsoonwall.gateway.record_service import RecordService
from monsoonwall.gateway.retrying import RetryPolicy
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.run_moves import RunMover
from monsoonwall.gateway.screening import make_screener
from monsoonwall.gateway.sending import Sender, ServerConnector
from monsoonwall.gateway.server_selection import ServerSelector
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.signals import ServerSignals
from monsoonwall.gateway.usage import UsageCounter


class ServingStack:
    """The request path of a gateway, and its data exchange with other hosts."""

    def __init__(
        self,
        settings: GatewaySettings,
        records: RecordService,
        mesh: MeshNode,
        adapters: GatewayAdapters,
        connector: ServerConnector,
        clock: Clock,
        random: Random,
    ) -> None:
        self._own_name = settings.host_name
        record_cache = records.cache
        self._record_cache = record_cache
        self._fleet = FleetView(
            mesh.peers,
            settings.host_name,
            settings.zone,
            alone=not settings.seeds,
        )
        self.usage = UsageCounter(
            mesh.board, BootClock(), settings.host_name, settings.bounds
        )
        self.loads = LoadTracker(mesh.board, clock)
        self.screener = make_screener(
            record_cache, mesh.board, clock, connector
        )
        self.rollouts = RolloutController(
            record_cache, mesh.board, clock, settings.bounds
        )
        self.admission_check = make_admission_check(
            record_cache, mesh.board, clock, settings, self._fleet.count_hosts
        )
        self.signals = ServerSignals(
            mesh.board, record_cache, self.loads, self._fleet, clock
        )
        server_selector = ServerSelector(
            record_cache,
            self.loads,
            self.rollouts,
            self.signals.limits,
            self._fleet,
            clock,
            random,
        )
        sender = Sender(
            adapters.dialect,
            clock,
            self.signals,
            connector,
            records.departure_bound,
        )
        self.pool = sender.pool
        self.run_mover = RunMover(
            record_cache,
            server_selector,
            adapters.engines,
            connector,
            settings.bounds.drain_seconds,
            clock,
        )
        dependencies = RequestDependencies(
            records.configuration_bound,
            self.admission_check,
            self.screener,
            server_selector,
            RetryPolicy(settings.bounds, clock, self._fleet.count_hosts),
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
            settings.intake,
        )

    def exchange_loads(self) -> None:
        """Read the loads of the other hosts and publish this host's load."""
        self.loads.read_peers(self._own_name)
        self.loads.publish()

    def exchange_grants(self) -> None:
        """Exchange the grants of workspaces and update the number of hosts."""
        limiter = self.admission_check.limiter
        limiter.exchange()
        self._fleet.update(limiter.reporting_hosts, limiter.fleet_hosts)

    def exchange_counts(self) -> None:
        """Exchange usage counts and drop the state of servers that are gone."""
        self.usage.exchange()
        self.signals.limits.drop_expired()
        self.signals.cold_servers.drop_warm()
        servers = self._record_cache.list_all_servers()
        names = frozenset(server.name for server in servers)
        self.signals.limits.retain(names)
        self.loads.retain(names)
        self.pool.close_unused(
            server for server in servers if not server.leaving
        )
