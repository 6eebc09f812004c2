"""Move services between versions, together with the other entry hosts.

The task counts evidence, decides from the counters of all hosts and publishes
the conclusions of moves. There is no lock and no leader: all hosts make the
same decision from the same evidence, and the first host that has enough of it
concludes the move for all of them.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration, Move
from monsoonwall.decisions.evidence import ServerGroups
from monsoonwall.decisions.freshness import WorkKind
from monsoonwall.decisions.moves import (
    Conclusion,
    MoveCourse,
    MovePlan,
    MoveStatus,
)
from monsoonwall.mesh.board import Board, Entry, Fact
from monsoonwall.moves.conclusion_sync import ConclusionSync
from monsoonwall.moves.evidence import SharedEvidence, register_evidence_merge
from monsoonwall.moves.execution import MoveExecution
from monsoonwall.moves.pauses import PauseDetector
from monsoonwall.moves.records import (
    CONCLUSION_KIND,
    ConclusionBoard,
    ConclusionStore,
)
from monsoonwall.pipeline.messages import AttemptRecord, Call
from monsoonwall.pipeline.stages import Observer, VersionChoice
from monsoonwall.platform.objects import ObjectStore

_TICK_SECONDS: Final = 0.5
_MILLISECONDS_PER_SECOND: Final = 1000


class VersionMoveTask(Observer):
    """Execute the moves of the configuration in force.

    ``may_work`` returns whether the configuration is fresh enough for a kind
    of work.
    """

    def __init__(
        self,
        board: Board,
        store: ObjectStore,
        clock: Clock,
        host_name: str,
        may_work: Callable[[WorkKind], bool],
    ) -> None:
        self._board = board
        self._may_work = may_work
        register_evidence_merge(board)
        self._conclusions = ConclusionBoard(board)
        self._clock = clock
        self._epoch = int(clock.read_wall() * _MILLISECONDS_PER_SECOND)
        self._executions: dict[str, MoveExecution] = {}
        self._service_executions: dict[str, tuple[MoveExecution, ...]] = {}
        self._conclusion_sync = ConclusionSync(
            self._conclusions, ConclusionStore(store), clock, host_name
        )
        self._pause_detector = PauseDetector(clock.read_monotonic())
        self._has_adopted = False

    def adopt(self, configuration: Configuration) -> None:
        """Execute the moves of a configuration; existing ones continue."""
        executions = [
            self._make_execution(configuration, name, move)
            for name, move in configuration.moves.items()
        ]
        executions.sort(key=_get_sort_key)
        self._executions = {
            execution.identity: execution for execution in executions
        }
        self._service_executions = {
            service: tuple(
                execution
                for execution in executions
                if execution.course.plan.move.service == service
            )
            for service in configuration.services
        }
        if not self._has_adopted:
            # A move may have been concluded before all hosts restarted; then
            # only the platform still holds its conclusion.
            self._conclusion_sync.schedule_read(self._executions)
            self._has_adopted = True
        self._adopt_conclusions()

    def choose_version(self, call: Call, active: str) -> str:
        """Return the version for a new call.

        ``active`` is the configured active version of its service.
        """
        version = active
        # After a pause this host may not have received withdrawals yet.
        settled = self._pause_detector.is_settled(self._clock.read_monotonic())
        for execution in self._list_moves(call.service, version):
            if execution.is_done:
                version = execution.move.to_version
            elif settled and execution.assign_to_new(call):
                return execution.move.to_version
        return version

    def choose_retry_version(
        self, call: Call, version: str, emitted: int
    ) -> str:
        """Return the version for the next attempt after a failed one.

        ``emitted`` is the number of tokens sent to the caller so far. An
        answer that has begun stays on its version, so that one version
        generates all of it, unless the version was withdrawn since. One that
        has not begun goes back to the old version, which is known to work,
        unless the move is done.
        """
        for execution in self._service_executions.get(call.service, ()):
            falls_back = execution.is_withdrawn or not (
                emitted or execution.is_done
            )
            if execution.move.to_version == version and falls_back:
                return execution.move.from_version
        return version

    def observe(self, record: AttemptRecord) -> None:
        """Count an ended attempt as evidence for the moves of its service."""
        for execution in self._service_executions.get(record.call.service, ()):
            execution.observe(record)

    def describe_moves(self) -> tuple[MoveStatus, ...]:
        """Return the status of every move, ordered by begin time."""
        now_wall = self._clock.read_wall()
        return tuple(
            execution.course.describe(now_wall)
            for execution in self._executions.values()
        )

    async def run(self) -> None:
        """Advance moves and exchange conclusions until cancelled."""
        await asyncio.gather(
            self._decide_periodically(),
            self._follow_conclusions(),
            self._conclusion_sync.run(),
        )

    def decide(self) -> None:
        """Exchange evidence and advance every move once."""
        now_wall = self._clock.read_wall()
        self._pause_detector.check(self._clock.read_monotonic())
        for execution in self._executions.values():
            if execution.course.conclusion is None:
                self._advance(execution, now_wall)
            execution.log_changes(now_wall)

    def _make_execution(
        self, configuration: Configuration, name: str, move: Move
    ) -> MoveExecution:
        servers = configuration.backend_servers
        old = ServerGroups(servers, move.service, move.from_version)
        new = ServerGroups(servers, move.service, move.to_version)
        plan = MovePlan(name, move, len(old), len(new))
        existing = self._executions.get(plan.identity)
        if existing is None:
            evidence = SharedEvidence(self._board, plan.identity, self._epoch)
            return MoveExecution(MoveCourse(plan), evidence, old, new)
        existing.course.replan(plan)
        return MoveExecution(
            existing.course, existing.evidence, old, new, existing.logged_state
        )

    def _list_moves(self, service: str, active: str) -> Iterator[MoveExecution]:
        """Yield the moves from the active version, in order of begin time.

        After a move that is done, those from its new version follow.
        """
        version = active
        for execution in self._service_executions.get(service, ()):
            if execution.move.from_version == version:
                yield execution
                version = (
                    execution.move.to_version if execution.is_done else version
                )

    def _advance(self, execution: MoveExecution, now_wall: float) -> None:
        execution.evidence.publish()
        increment = execution.evidence.collect()
        execution.course.advance(
            increment, now_wall, self._may_work(WorkKind.move_step)
        )
        conclusion = execution.course.conclusion
        if conclusion is None and self._conclusion_sync.is_read_pending(
            execution.identity
        ):
            # Until the platform has been read, the version may have been
            # withdrawn before all hosts restarted.
            execution.course.share = 0
        if conclusion is not None:
            self._conclusions.publish_conclusion(execution.identity, conclusion)
            self._conclusion_sync.schedule_write(execution.identity, conclusion)

    def _adopt_conclusions(self) -> None:
        for identity, conclusion in self._conclusions.read().items():
            self._adopt_conclusion(identity, conclusion)

    def _adopt_conclusion(self, identity: str, conclusion: Conclusion) -> None:
        execution = self._executions.get(identity)
        if execution is None or not execution.course.conclude(conclusion):
            return
        self._conclusion_sync.schedule_backup_write(identity, conclusion)
        execution.log_changes(self._clock.read_wall())

    async def _decide_periodically(self) -> None:
        while True:
            self.decide()
            await asyncio.sleep(_TICK_SECONDS)

    async def _follow_conclusions(self) -> None:
        incoming = self._board.subscribe(CONCLUSION_KIND)
        self._adopt_conclusions()
        while True:
            record: Entry | Fact = await incoming.get()
            if isinstance(record, Fact):
                self._adopt_conclusion(
                    record.key, self._conclusions.decode(record)
                )


class MoveVersionChoice(VersionChoice):
    """Choose versions by one configuration and its moves."""

    def __init__(
        self, configuration: Configuration, move_task: VersionMoveTask
    ) -> None:
        self._services = configuration.services
        self._move_task = move_task

    def choose_version(self, call: Call, now: float) -> str:
        """Return the version that serves a new call."""
        active = self._services[call.service].active_version
        return self._move_task.choose_version(call, active)

    def choose_retry_version(
        self, call: Call, version: str, emitted: int, now: float
    ) -> str:
        """Return the version for a further attempt after a failed one."""
        return self._move_task.choose_retry_version(call, version, emitted)


def _get_sort_key(execution: MoveExecution) -> tuple[float, str]:
    plan = execution.course.plan
    return plan.move.begin_wall, plan.name
