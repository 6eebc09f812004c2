"""Run the duties on the host that holds the duty lease."""

import asyncio
from collections.abc import Sequence
from typing import Final

from monsoonwall.clocks import BootClock, Clock
from monsoonwall.control.lease_manager import LeaseManager
from monsoonwall.decisions.leases import LeaseTiming, choose_candidates
from monsoonwall.gateway.adapters import GatewayAdapters
from monsoonwall.gateway.autoscaling import Autoscaler
from monsoonwall.gateway.convicted_requests import (
    CONTENTS_KEY,
    PARTS_KEY,
    ConvictedRequestStore,
)
from monsoonwall.gateway.duties import DutyWorker, LeaseHolder
from monsoonwall.gateway.fencing_numbers import FencingNumbers
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.rollout_states import RolloutStateRecorder
from monsoonwall.gateway.serving import ServingStack
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.gateway.usage import UsageReporter
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.mesh.peers import Peers
from monsoonwall.platform.objects import ObjectStore

_SHARD: Final = 'duties'
_STEP_SECONDS: Final = 0.5

_log = make_logger('duty')


class DutyTask:
    """Compete for the duty lease and run the duty workers while holding it."""

    def __init__(
        self,
        own_name: str,
        peers: Peers,
        store: ObjectStore,
        numbers: FencingNumbers,
        timing: LeaseTiming,
        workers: Sequence[DutyWorker],
        autoscaler: Autoscaler | None,
    ) -> None:
        self._own_name = own_name
        self._peers = peers
        self._store = store
        self._numbers = numbers
        self._lease_manager = LeaseManager(
            _SHARD, own_name, store, BootClock(), timing
        )
        self._workers = workers
        self._autoscaler = autoscaler
        self._lease_task: asyncio.Task[None] | None = None
        self._fencing_number = 0
        self._store_era = 0
        self._leaving = False

    async def run(self) -> None:
        """Run the duties until cancelled."""
        while True:
            self._lease_manager.observe(self._numbers.read_latest())
            self._update_candidacy()
            if self._autoscaler is not None:
                self._autoscaler.record_demand()
            holder = self._find_holder()
            if holder is not None:
                await self._run_workers(holder)
            await asyncio.sleep(_STEP_SECONDS)

    async def release(self) -> None:
        """Release the lease for another host and stop competing for it."""
        self._leaving = True
        if self._lease_task is not None:
            self._lease_task.cancel()
            self._lease_task = None
            await self._lease_manager.release()

    def _update_candidacy(self) -> None:
        hosts = [
            peer.name for peer in self._peers.list_peers() if not peer.leaving
        ]
        candidates = choose_candidates(_SHARD, (*hosts, self._own_name))
        if self._lease_task is None:
            if self._own_name in candidates and not self._leaving:
                self._lease_task = asyncio.create_task(
                    self._lease_manager.run()
                )
            return
        if self._lease_task.done():
            _log.error(
                'Lease manager failed.',
                reason=repr(self._lease_task.exception()),
            )
            self._lease_task = None
        elif self._own_name not in candidates:
            self._withdraw_candidacy(self._lease_task)

    def _withdraw_candidacy(self, lease_task: asyncio.Task[None]) -> None:
        # A host that holds the lease keeps it although it is no longer a
        # candidate, to avoid needless handovers.
        if self._lease_manager.get_term() is None:
            lease_task.cancel()
            self._lease_task = None

    def _find_holder(self) -> LeaseHolder | None:
        """Return this host as lease holder, or None without a valid lease.

        Resets the workers first if a new term has begun, or if the store may
        have lost what they wrote.
        """
        term = self._lease_manager.get_term()
        if term is None:
            return None
        if term.fencing_number != self._fencing_number:
            self._numbers.publish(term.fencing_number)
        basis = (term.fencing_number, self._store.era)
        if basis != (self._fencing_number, self._store_era):
            self._fencing_number = term.fencing_number
            self._store_era = self._store.era
            for worker in self._workers:
                worker.reset()
        return LeaseHolder(self._own_name, term.fencing_number)

    async def _run_workers(self, holder: LeaseHolder) -> None:
        for worker in self._workers:
            # The lease may have expired during the previous step.
            if self._find_holder() == holder:
                await worker.step(holder)


def make_duty_task(
    settings: GatewaySettings,
    adapters: GatewayAdapters,
    record_cache: RecordCache,
    serving: ServingStack,
    peers: Peers,
    board: Board,
    clock: Clock,
) -> DutyTask:
    """Return the duty task with the workers that the settings enable."""
    reporter = UsageReporter(
        serving.usage, adapters.objects, adapters.duties, settings.bounds
    )
    autoscaler = Autoscaler(
        record_cache, serving, adapters.duties, clock, settings
    )
    workers: list[DutyWorker] = [
        RolloutStateRecorder(
            record_cache, serving.rollouts, serving.loads, adapters.rollouts
        )
    ]
    if settings.reports_usage:
        workers.append(reporter)
    if settings.orders_servers:
        workers.append(autoscaler)
    screening = serving.screener.screening
    workers += (
        ConvictedRequestStore(screening, adapters.objects, CONTENTS_KEY),
        ConvictedRequestStore(screening.parts, adapters.objects, PARTS_KEY),
    )
    return DutyTask(
        settings.host_name,
        peers,
        adapters.objects,
        FencingNumbers(board, clock),
        LeaseTiming(settings.bounds.lease_seconds),
        workers,
        autoscaler if settings.orders_servers else None,
    )
