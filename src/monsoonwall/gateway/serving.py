"""Compose the request path of one gateway."""

from random import Random
from typing import Final

from monsoonwall.clocks import BootClock, Clock
from monsoonwall.entry.meshing import Mesh
from monsoonwall.gateway.admission import make_admission_check
from monsoonwall.gateway.ingress import Ingress
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.loads import LoadBook
from monsoonwall.gateway.outside import Outside
from monsoonwall.gateway.parts import Parts
from monsoonwall.gateway.proxy import ProxyHandler
from monsoonwall.gateway.retrying import RetryPolicy
from monsoonwall.gateway.rollouts import RolloutBook
from monsoonwall.gateway.run_moves import RunMover
from monsoonwall.gateway.screening import make_screener
from monsoonwall.gateway.sending import Sender
from monsoonwall.gateway.server_selection import ServerSelector
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.signals import ServerSignals
from monsoonwall.gateway.usage import UsageBook

# Hosts that are assumed before any of the others was met: as many as the
# larger of today's sites has.
_UNKNOWN_HOSTS: Final = 9


class Serving:
    """Own what serves callers, and what its hosts tell each other."""

    def __init__(
        self,
        settings: GatewaySettings,
        knowledge: Knowledge,
        mesh: Mesh,
        outside: Outside,
        clock: Clock,
        random: Random,
    ) -> None:
        self._own_name = settings.host_name
        self._knowledge = knowledge
        self._mesh = mesh
        self._hosts = _UNKNOWN_HOSTS if settings.seeds else 1
        self._met = False
        self.usage = UsageBook(
            mesh.board, BootClock(), settings.host_name, settings.bounds
        )
        self.loads = LoadBook(mesh.board, clock)
        self.screener = make_screener(knowledge, mesh.board, clock)
        self.rollouts = RolloutBook(
            knowledge, mesh.board, clock, settings.bounds
        )
        self.entrance = make_admission_check(
            knowledge, mesh.board, clock, settings, self.count_hosts
        )
        placer = ServerSelector(
            knowledge,
            self.loads,
            self.rollouts,
            settings.zone,
            clock,
            random,
            self.count_hosts,
        )
        self.signals = ServerSignals(mesh.board, knowledge, self.loads, clock)
        sender = Sender(outside.dialect, clock, self.signals)
        self.pool = sender.pool
        self.evacuator = RunMover(
            knowledge,
            placer,
            outside.engines,
            settings.bounds.drain_seconds,
            clock,
        )
        parts = Parts(
            self.entrance,
            self.screener,
            placer,
            RetryPolicy(settings.bounds, clock, self.count_hosts),
            sender,
            self.loads,
            self.rollouts,
            self.usage,
            self.evacuator.runs,
            outside.dialect,
            clock,
        )
        self.ingress = Ingress(
            settings.front_address,
            outside.dialect,
            ProxyHandler(parts),
            clock,
            lambda: knowledge.catalogue and knowledge.catalogue.limits,
        )

    def count_hosts(self) -> int:
        """Return the most hosts that were known at once."""
        return self._hosts

    def exchange_loads(self) -> None:
        """Tell the other hosts of the work here and hear of theirs."""
        self.loads.listen(self._own_name)
        self.loads.publish()

    def exchange_grants(self) -> None:
        """Exchange what workspaces were granted, and count the hosts."""
        heard = self.entrance.exchange_grants()
        # In a wide fleet, only hosts of the own zone are known one by one.
        others = max(heard, len(self._mesh.peers.list_peers()))
        if others and not self._met:
            self._met = True
            self._hosts = 1
        self._hosts = max(self._hosts, others + 1)

    def exchange_counts(self) -> None:
        """Exchange usage, and forget servers that are gone."""
        self.usage.exchange()
        servers = self._knowledge.list_all_servers()
        self.loads.forget_all_but(server.name for server in servers)
        self.pool.close_unused(
            server for server in servers if not server.leaving
        )
