"""Move services between versions, in step with the other entry hosts.

The task counts evidence, decides on all hosts' counters and publishes how
moves end. It holds no lock and has no leader: every host decides alike on the
same evidence, and whichever sees enough of it first ends the move for all.
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
    MoveStatus,
    Plan,
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
_MILLISECONDS: Final = 1000


class MovingTask(Observer):
    """Carry out the moves of the configuration in force.

    ``may_work`` tells what may be done under one that may be out of date.
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
        self._epoch = int(clock.read_wall() * _MILLISECONDS)
        self._carried: dict[str, MoveExecution] = {}
        self._services: dict[str, tuple[MoveExecution, ...]] = {}
        self._keeper = ConclusionSync(
            self._conclusions, ConclusionStore(store), clock, host_name
        )
        self._guard = PauseDetector(clock.read_monotonic())
        self._started = False

    def adopt(self, configuration: Configuration) -> None:
        """Follow the moves of a configuration; known ones go on."""
        carried = [
            self._carry(configuration, name, move)
            for name, move in configuration.moves.items()
        ]
        carried.sort(key=_find_begin)
        self._carried = {one.identity: one for one in carried}
        self._services = {
            service: tuple(
                one
                for one in carried
                if one.course.plan.move.service == service
            )
            for service in configuration.services
        }
        if not self._started:
            # Any of these may have ended while no host was left to tell.
            self._keeper.schedule_read(self._carried)
            self._started = True
        self._adopt_conclusions()

    def choose_version(self, call: Call, active: str) -> str:
        """Return the version of a call whose service runs ``active``."""
        version = active
        # A host that was paused waits until it has heard of withdrawals.
        settled = self._guard.is_settled(self._clock.read_monotonic())
        for one in self._list_moves(call.service, version):
            if one.is_done:
                version = one.move.to_version
            elif settled and one.assign_to_new(call):
                return one.move.to_version
        return version

    def choose_retry_version(
        self, call: Call, version: str, emitted: int
    ) -> str:
        """Return the version for a call whose attempt failed.

        An answer that has begun stays on its version, so that it is of one
        piece, unless the version was withdrawn since. One that has not
        begun goes to the old version, which is the one known to work.
        """
        for one in self._services.get(call.service, ()):
            leaves = one.is_withdrawn or not (emitted or one.is_done)
            if one.move.to_version == version and leaves:
                return one.move.from_version
        return version

    def observe(self, record: AttemptRecord) -> None:
        """Count an ended attempt for the moves of its service."""
        for one in self._services.get(record.call.service, ()):
            one.observe(record)

    def describe_moves(self) -> tuple[MoveStatus, ...]:
        """Return the status of every move, in the order of their begins."""
        now_wall = self._clock.read_wall()
        return tuple(
            one.course.describe(now_wall) for one in self._carried.values()
        )

    async def run(self) -> None:
        """Decide and publish until cancelled."""
        await asyncio.gather(
            self._keep_deciding(),
            self._follow_conclusions(),
            self._keeper.run(),
        )

    def decide(self) -> None:
        """Exchange evidence and advance every move once."""
        now_wall = self._clock.read_wall()
        self._guard.check(self._clock.read_monotonic())
        for one in self._carried.values():
            if one.course.conclusion is None:
                self._advance(one, now_wall)
            one.log_changes(now_wall)

    def _carry(
        self, configuration: Configuration, name: str, move: Move
    ) -> MoveExecution:
        servers = configuration.backend_servers
        old = ServerGroups(servers, move.service, move.from_version)
        new = ServerGroups(servers, move.service, move.to_version)
        plan = Plan(name, move, len(old), len(new))
        known = self._carried.get(plan.identity)
        if known is None:
            evidence = SharedEvidence(self._board, plan.identity, self._epoch)
            return MoveExecution(MoveCourse(plan), evidence, old, new)
        known.course.replan(plan)
        return MoveExecution(
            known.course, known.evidence, old, new, known.logged_state
        )

    def _list_moves(self, service: str, active: str) -> Iterator[MoveExecution]:
        version = active
        for one in self._services.get(service, ()):
            if one.move.from_version == version:
                yield one
                version = one.move.to_version if one.is_done else version

    def _advance(self, one: MoveExecution, now_wall: float) -> None:
        one.evidence.publish()
        increment = one.evidence.collect()
        one.course.advance(
            increment, now_wall, self._may_work(WorkKind.move_step)
        )
        conclusion = one.course.conclusion
        if conclusion is None and self._keeper.is_read_pending(one.identity):
            # The version may have been withdrawn before all hosts restarted.
            one.course.share = 0
        if conclusion is not None:
            self._conclusions.publish_conclusion(one.identity, conclusion)
            self._keeper.schedule_write(one.identity, conclusion)

    def _adopt_conclusions(self) -> None:
        for identity, conclusion in self._conclusions.read().items():
            self._adopt_conclusion(identity, conclusion)

    def _adopt_conclusion(self, identity: str, conclusion: Conclusion) -> None:
        one = self._carried.get(identity)
        if one is None or not one.course.conclude(conclusion):
            return
        self._keeper.schedule_backup_write(identity, conclusion)
        one.log_changes(self._clock.read_wall())

    async def _keep_deciding(self) -> None:
        while True:
            self.decide()
            await asyncio.sleep(_TICK_SECONDS)

    async def _follow_conclusions(self) -> None:
        arriving = self._board.subscribe(CONCLUSION_KIND)
        self._adopt_conclusions()
        while True:
            record: Entry | Fact = await arriving.get()
            if isinstance(record, Fact):
                self._adopt_conclusion(
                    record.key, self._conclusions.decode(record)
                )


class MovingVersionChoice(VersionChoice):
    """Choose versions by the moves and one configuration."""

    def __init__(
        self, configuration: Configuration, moving: MovingTask
    ) -> None:
        self._services = configuration.services
        self._moving = moving

    def choose_version(self, call: Call, now: float) -> str:
        """Return the version that serves a new call."""
        active = self._services[call.service].active_version
        return self._moving.choose_version(call, active)

    def choose_retry_version(
        self, call: Call, version: str, emitted: int, now: float
    ) -> str:
        """Return the version for a further attempt after a failed one."""
        return self._moving.choose_retry_version(call, version, emitted)


def _find_begin(carried: MoveExecution) -> tuple[float, str]:
    plan = carried.course.plan
    return plan.move.begin_wall, plan.name
