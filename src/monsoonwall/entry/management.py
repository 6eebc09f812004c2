"""Compose what one host needs to be operated by its configuration."""

import asyncio
from collections.abc import Callable
from typing import Any

from monsoonwall.clocks import Clock
from monsoonwall.configuration.guard import FreshnessAdmission
from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.peer_notes import HostIdentity
from monsoonwall.entry.admin import make_admin_routes
from monsoonwall.entry.configuring import ConfigurationTask
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.entry.reporting import ReportRegistry
from monsoonwall.entry.routes import RouteExplainer
from monsoonwall.entry.state import HostState
from monsoonwall.pipeline.stages import Admission
from monsoonwall.platform.budgeted import BudgetedObjectStore, CallRates
from monsoonwall.platform.http_objects import HttpObjectStore
from monsoonwall.platform.status import STATUS_PREFIX, StatusWriter
from monsoonwall.settings import EntrySettings
from monsoonwall.transport.channels import MAX_CALL_BYTES
from monsoonwall.transport.clients import make_client

# Waiting watches must not hold other calls to the platform back.
_MAX_PLATFORM_CALLS = 1000


class HostManagement:
    """Own the calls to the platform, the configuration and the reports."""

    def __init__(
        self,
        settings: EntrySettings,
        state: HostState,
        mesh: MeshNode,
        clock: Clock,
        adopt: Callable[[Configuration], None],
    ) -> None:
        self._client = make_client(_MAX_PLATFORM_CALLS, MAX_CALL_BYTES)
        self.store = BudgetedObjectStore(
            HttpObjectStore(settings.platform_address, self._client, clock),
            CallRates(
                settings.platform_reads_per_second,
                settings.platform_writes_per_second,
            ),
            clock,
        )
        identity = HostIdentity(
            settings.host_name, settings.zone, bool(settings.peers)
        )
        self.configuring = ConfigurationTask(
            identity, self.store, mesh, clock, adopt
        )
        self.reports = ReportRegistry()
        self.reports.add_reporter('configuration', self.configuring.describe)
        self._status = StatusWriter(
            f'{STATUS_PREFIX}{settings.zone}',
            self.store,
            self.reports.describe_status,
            self.configuring.leads_zone,
            clock,
        )
        self.reports.add_explainer('route', RouteExplainer(state).explain)

    async def run(self) -> None:
        """Follow the configuration and write the status until cancelled."""
        await asyncio.gather(self.configuring.run(), self._status.run())

    def wrap_admission(self, admission: Admission) -> Admission:
        """Return the rule that refuses what an old configuration must not."""
        return FreshnessAdmission(admission, self.configuring.may_work)

    def make_routes(self) -> list[Any]:
        """Return the paths that operators' commands use."""
        return make_admin_routes(self.configuring, self.reports)

    def close(self) -> None:
        """Close the connections to the platform."""
        self._client.close()
