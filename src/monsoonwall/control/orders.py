"""Bring the model engines of one shard to their declared state."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.backends.engine import LoadReport, ModelEngine
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.control.lease_manager import LeaseManager
from monsoonwall.decisions.orders import PlannedOrder, Shard, plan_orders
from monsoonwall.logs import make_logger
from monsoonwall.metrics import ENGINE_ORDERS

RECONCILE_SECONDS: Final = 2.0
# Interval between checks while all engines match their declared state.
_SETTLED_INTERVAL_SECONDS: Final = 10.0

_log = make_logger('orders')


class EngineReconciler:
    """Compare a shard's engines with their declared state and send orders.

    Orders are sent only while this host holds the shard's lease.
    """

    def __init__(
        self,
        lease_manager: LeaseManager,
        find_engine: Callable[[str], ModelEngine | None],
        order_timeout_seconds: float,
        clock: Clock,
    ) -> None:
        self._lease_manager = lease_manager
        self._find_engine = find_engine
        self._order_timeout_seconds = order_timeout_seconds
        self._clock = clock
        self._next_check_at = float('-inf')
        self._settled_configuration_number = 0

    async def reconcile(
        self, configuration: Configuration, shard: Shard
    ) -> None:
        """Check the engines once and send the orders that they need.

        The effect of the orders is read back by the next call.
        """
        if self._lease_manager.get_term() is None or self._is_settled(
            configuration
        ):
            return
        reports = await self._read_reports(shard)
        term = self._lease_manager.get_term()
        if term is None:
            return
        planned = plan_orders(
            configuration, shard, reports, term.fencing_number
        )
        await asyncio.gather(*map(self._send, planned))
        if not planned:
            self._settled_configuration_number = configuration.number
            self._next_check_at = (
                self._clock.read_monotonic() + _SETTLED_INTERVAL_SECONDS
            )

    def _is_settled(self, configuration: Configuration) -> bool:
        now = self._clock.read_monotonic()
        return (
            self._settled_configuration_number == configuration.number
            and now < self._next_check_at
        )

    async def _read_reports(self, shard: Shard) -> Mapping[str, LoadReport]:
        engines = {name: self._find_engine(name) for name in shard.servers}
        pending_reads = {
            name: engine.read_load()
            for name, engine in engines.items()
            if engine is not None
        }
        outcomes = await asyncio.gather(*pending_reads.values())
        return {
            name: outcome.unwrap()
            for name, outcome in zip(pending_reads, outcomes, strict=True)
            if is_successful(outcome)
        }

    async def _send(self, planned: PlannedOrder) -> None:
        engine = self._find_engine(planned.server)
        # Await nothing between this check and the send, as the lease could
        # expire meanwhile.
        term = self._lease_manager.get_term()
        if engine is None or term is None:
            ENGINE_ORDERS.labels(planned.order.kind, 'lease_lost').inc()
            return
        try:
            async with asyncio.timeout(self._order_timeout_seconds):
                outcome = await engine.send_order(planned.order)
        except TimeoutError:
            ENGINE_ORDERS.labels(planned.order.kind, 'timed_out').inc()
            return
        ending = 'done' if is_successful(outcome) else outcome.failure().ending
        ENGINE_ORDERS.labels(planned.order.kind, ending).inc()
        _log.info('Order sent.', server=planned.server, ending=ending)
