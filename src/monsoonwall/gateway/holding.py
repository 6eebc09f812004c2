"""Hold the lease of the duties on one host at a time."""

import asyncio
from collections.abc import Sequence
from typing import Final

from monsoonwall.clocks import BootClock, Clock
from monsoonwall.control.keeper import LeaseKeeper
from monsoonwall.decisions.leases import LeaseTiming, choose_candidates
from monsoonwall.gateway.convicted_requests import ConvictedRequestStore
from monsoonwall.gateway.duties import DutyWorker, Holder
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.ordering import FleetOrderer
from monsoonwall.gateway.outside import Outside
from monsoonwall.gateway.rollout_states import RolloutStateRecorder
from monsoonwall.gateway.serving import Serving
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.usage import UsageReporter
from monsoonwall.logs import make_logger
from monsoonwall.mesh.peers import Peers
from monsoonwall.platform.objects import ObjectStore

_SHARD: Final = 'duties'
_STEP_SECONDS: Final = 0.5

_log = make_logger('duty')


class DutyTask:
    """Want the lease if this host is a candidate, and do its work."""

    def __init__(
        self,
        own_name: str,
        peers: Peers,
        store: ObjectStore,
        timing: LeaseTiming,
        workers: Sequence[DutyWorker],
        orderer: FleetOrderer | None,
    ) -> None:
        self._own_name = own_name
        self._peers = peers
        self._keeper = LeaseKeeper(_SHARD, own_name, store, BootClock(), timing)
        self._workers = workers
        self._orderer = orderer
        self._keeping: asyncio.Task[None] | None = None
        self._number = 0
        self._leaving = False

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            self._follow_candidates()
            if self._orderer is not None:
                self._orderer.observe()
            holder = self._find_holder()
            if holder is not None:
                await self._work(holder)
            await asyncio.sleep(_STEP_SECONDS)

    async def release(self) -> None:
        """Let another host take over at once, and want no more."""
        self._leaving = True
        if self._keeping is not None:
            self._keeping.cancel()
            self._keeping = None
            await self._keeper.release()

    def _follow_candidates(self) -> None:
        hosts = [
            peer.name for peer in self._peers.list_peers() if not peer.leaving
        ]
        candidates = choose_candidates(_SHARD, (*hosts, self._own_name))
        if self._keeping is None:
            if self._own_name in candidates and not self._leaving:
                self._keeping = asyncio.create_task(self._keeper.run())
            return
        if self._keeping.done():
            _log.error(
                'Keeping the lease failed.',
                reason=repr(self._keeping.exception()),
            )
            self._keeping = None
        elif self._own_name not in candidates:
            self._stop_wanting(self._keeping)

    def _stop_wanting(self, keeping: asyncio.Task[None]) -> None:
        # A holder goes on, so that the duties do not change hands for less.
        if self._keeper.get_term() is None:
            keeping.cancel()
            self._keeping = None

    def _find_holder(self) -> Holder | None:
        term = self._keeper.get_term()
        if term is None:
            return None
        if term.fencing_number != self._number:
            self._number = term.fencing_number
            for worker in self._workers:
                worker.forget()
        return Holder(self._own_name, term.fencing_number)

    async def _work(self, holder: Holder) -> None:
        for worker in self._workers:
            # The lease may have ended meanwhile.
            if self._find_holder() == holder:
                await worker.step(holder)


def make_duties(
    settings: GatewaySettings,
    outside: Outside,
    knowledge: Knowledge,
    serving: Serving,
    peers: Peers,
    clock: Clock,
) -> DutyTask:
    """Return the task of the duties that the settings name."""
    reporter = UsageReporter(
        serving.usage, outside.objects, outside.duties, settings.bounds
    )
    orderer = FleetOrderer(knowledge, serving, outside.duties, clock, settings)
    workers: list[DutyWorker] = [
        RolloutStateRecorder(
            knowledge, serving.rollouts, serving.loads, outside.rollouts
        )
    ]
    if settings.reports_usage:
        workers.append(reporter)
    if settings.orders_servers:
        workers.append(orderer)
    workers.append(
        ConvictedRequestStore(serving.screener.screening, outside.objects)
    )
    return DutyTask(
        settings.host_name,
        peers,
        outside.objects,
        LeaseTiming(settings.bounds.lease_seconds),
        workers,
        orderer if settings.orders_servers else None,
    )
