"""Lease shards of the zone's engines and reconcile their engines.

Reconciling an engine means to send it the orders that bring it to the state
that the configuration declares.
"""

import asyncio
from asyncio import Task
from collections.abc import Callable

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.control.lease_manager import LeaseManager
from monsoonwall.control.orders import RECONCILE_SECONDS, EngineReconciler
from monsoonwall.decisions.freshness import WorkKind
from monsoonwall.decisions.leases import LeaseTiming, choose_candidates
from monsoonwall.decisions.orders import Shard, list_shards
from monsoonwall.mesh.peers import Peers
from monsoonwall.platform.objects import ObjectStore
from monsoonwall.settings import EntrySettings


class _ShardWorker:
    """Manage one shard's lease and reconcile its engines while it is held."""

    def __init__(
        self, lease_manager: LeaseManager, reconciler: EngineReconciler
    ) -> None:
        self.lease_manager = lease_manager
        self.reconciler = reconciler
        self._lease_task = asyncio.create_task(lease_manager.run())
        self._reconcile_task: Task[None] | None = None

    def start_reconciliation(
        self, configuration: Configuration, shard: Shard
    ) -> None:
        """Start a reconciliation unless the last one is still running."""
        if self._reconcile_task is None or self._reconcile_task.done():
            self._reconcile_task = asyncio.create_task(
                self.reconciler.reconcile(configuration, shard)
            )

    async def stop(self) -> None:
        """Wait for a running reconciliation, then release the lease."""
        self._lease_task.cancel()
        if self._reconcile_task is not None:
            await asyncio.wait((self._reconcile_task,))
        await self.lease_manager.release()


class ShardController:
    """Run a worker for each shard that this host may lease."""

    def __init__(
        self,
        settings: EntrySettings,
        store: ObjectStore,
        peers: Peers,
        pool: BackendPool,
        clock: Clock,
        may_work: Callable[[WorkKind], bool],
    ) -> None:
        self._settings = settings
        self._may_work = may_work
        self._timing = LeaseTiming(settings.lease_seconds)
        self._store = store
        self._peers = peers
        self._pool = pool
        self._clock = clock
        self._configuration: Configuration | None = None
        self._workers: dict[str, _ShardWorker] = {}
        self._stopped = False

    def adopt(self, configuration: Configuration) -> None:
        """Use a configuration from now on."""
        self._configuration = configuration

    async def run(self) -> None:
        """Reconcile shards periodically until cancelled or stopped."""
        while not self._stopped:
            # Orders from an outdated configuration could undo newer ones.
            may_order = self._may_work(WorkKind.order)
            if self._configuration is not None and may_order:
                await self._update_workers(self._configuration)
            await asyncio.sleep(RECONCILE_SECONDS)

    async def stop(self) -> None:
        """Stop all workers and release their leases."""
        self._stopped = True
        for name in tuple(self._workers):
            await self._workers.pop(name).stop()

    async def _update_workers(self, configuration: Configuration) -> None:
        zone = self._settings.zone
        candidate_shards = {
            shard.name: shard
            for shard in list_shards(configuration, zone)
            if self._is_candidate(shard)
        }
        for name in set(self._workers) - set(candidate_shards):
            await self._workers.pop(name).stop()
        for name, shard in candidate_shards.items():
            if name not in self._workers:
                self._workers[name] = self._start_worker(name)
            self._workers[name].start_reconciliation(configuration, shard)

    def _is_candidate(self, shard: Shard) -> bool:
        own = self._settings.host_name
        zone_hosts = {
            peer.name
            for peer in self._peers.list_peers()
            if peer.zone == self._settings.zone and not peer.leaving
        }
        return own in choose_candidates(shard.name, {own, *zone_hosts})

    def _start_worker(self, name: str) -> _ShardWorker:
        lease_manager = LeaseManager(
            name,
            self._settings.host_name,
            self._store,
            self._clock,
            self._timing,
        )
        reconciler = EngineReconciler(
            lease_manager,
            self._pool.find_engine,
            self._timing.order_seconds,
            self._clock,
        )
        return _ShardWorker(lease_manager, reconciler)
