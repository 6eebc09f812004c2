"""Record the state of roll-outs while this host holds the duty lease."""

from typing import Final

from returns.pipeline import is_successful

from monsoonwall.decisions.moves import Phase
from monsoonwall.gateway.duties import DutyWorker, LeaseHolder
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.model import Rollout, RolloutState
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import RolloutWriter
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.logs import make_logger
from monsoonwall.moves.execution import MoveExecution

# A roll-out is recorded as done this long before its time is over, even if
# requests still run at servers of the old version.
_RECORD_MARGIN_SECONDS: Final = 1.0

_log = make_logger('rollout')


class RolloutStateRecorder(DutyWorker):
    """Write the state of each roll-out whose recorded state is outdated."""

    def __init__(
        self,
        record_cache: RecordCache,
        rollouts: RolloutController,
        loads: LoadTracker,
        writer: RolloutWriter,
    ) -> None:
        self._record_cache = record_cache
        self._rollouts = rollouts
        self._loads = loads
        self._writer = writer

    async def step(self, holder: LeaseHolder) -> None:
        """Record the roll-outs whose state has changed."""
        for rollout in self._record_cache.list_rollouts():
            execution = self._rollouts.find(rollout.service)
            # Until it is evaluated, decisions refer to the previous order.
            if execution is None or not execution.executes_order(rollout.order):
                continue
            state = self._choose_state(rollout, execution)
            if state is not rollout.state:
                await self._write(rollout, state)

    def _choose_state(
        self, rollout: Rollout, execution: MoveExecution
    ) -> RolloutState:
        conclusion = execution.course.conclusion
        if conclusion is None:
            return RolloutState.under_way
        if conclusion.phase is Phase.withdrawn:
            return RolloutState.withdrawn
        if rollout.state is RolloutState.done:
            return RolloutState.done
        # Servers of the old version stop as soon as ``done`` is recorded.
        deadline_is_near = self._rollouts.is_deadline_within(
            execution, _RECORD_MARGIN_SECONDS
        )
        if deadline_is_near or self._is_old_version_idle(rollout):
            return RolloutState.done
        return RolloutState.under_way

    def _is_old_version_idle(self, rollout: Rollout) -> bool:
        return not any(
            self._loads.is_busy(server)
            for server in self._record_cache.list_servers(rollout.service)
            if server.version != rollout.version
        )

    async def _write(self, rollout: Rollout, state: RolloutState) -> None:
        written = await self._writer.write_rollout(rollout, state)
        if not is_successful(written):
            _log.warning(
                'Roll-out not recorded.',
                service=rollout.service,
                state=state,
                reason=written.failure(),
            )
            return
        self._record_cache.adopt(written.unwrap())
        _log.info(
            'Roll-out recorded.',
            service=rollout.service,
            version=rollout.version,
            state=state,
            revision=rollout.revision,
        )
