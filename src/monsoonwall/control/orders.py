"""Bring the model engines of one shard to their declared state."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.backends.engine import LoadReport, ModelEngine
from monsoonwall.configuration.model import Configuration
from monsoonwall.control.keeper import LeaseKeeper
from monsoonwall.decisions.orders import PlannedOrder, Shard, plan_orders
from monsoonwall.logs import make_logger
from monsoonwall.metrics import ORDERS

LOOK_SECONDS: Final = 2.0

_log = make_logger('orders')


class OrderSender:
    """Look at a shard's engines, and order what they lack."""

    def __init__(
        self,
        keeper: LeaseKeeper,
        find_engine: Callable[[str], ModelEngine | None],
        order_seconds: float,
    ) -> None:
        self._keeper = keeper
        self._find_engine = find_engine
        self._order_seconds = order_seconds

    async def look(self, configuration: Configuration, shard: Shard) -> None:
        """Look once, order, and leave it to the next look to read back."""
        if self._keeper.get_term() is None:
            return
        reports = await self._read_reports(shard)
        term = self._keeper.get_term()
        if term is None:
            return
        planned = plan_orders(
            configuration, shard, reports, term.fencing_number
        )
        await asyncio.gather(*map(self._send, planned))

    async def _read_reports(self, shard: Shard) -> Mapping[str, LoadReport]:
        engines = {name: self._find_engine(name) for name in shard.servers}
        reached = {
            name: engine.read_load()
            for name, engine in engines.items()
            if engine is not None
        }
        answers = await asyncio.gather(*reached.values())
        return {
            name: answer.unwrap()
            for name, answer in zip(reached, answers, strict=True)
            if is_successful(answer)
        }

    async def _send(self, planned: PlannedOrder) -> None:
        engine = self._find_engine(planned.server)
        # Nothing may come between this check and the sending.
        term = self._keeper.get_term()
        if engine is None or term is None:
            ORDERS.labels(planned.order.kind, 'lease_lost').inc()
            return
        try:
            async with asyncio.timeout(self._order_seconds):
                answer = await engine.send_order(planned.order)
        except TimeoutError:
            ORDERS.labels(planned.order.kind, 'timed_out').inc()
            return
        ending = 'done' if is_successful(answer) else answer.failure().ending
        ORDERS.labels(planned.order.kind, ending).inc()
        _log.info('Order given.', server=planned.server, ending=ending)
