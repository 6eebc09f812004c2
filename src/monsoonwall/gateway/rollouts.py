"""Carry out the roll-outs that operators order, together with other hosts.

Every host evaluates the evidence of all hosts. The first that finds it
sufficient concludes the roll-out and publishes the conclusion to the others.
The lease holder writes the outcome for operators.
"""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from monsoonwall.clocks import Clock, SteadyWallClock
from monsoonwall.configuration.model import BackendServer as ConfiguredServer
from monsoonwall.configuration.model import Move
from monsoonwall.decisions.evidence import ServerGroups
from monsoonwall.decisions.moves import Conclusion, MoveCourse, MovePlan, Phase
from monsoonwall.decisions.traffic import ExposureBound
from monsoonwall.gateway.model import (
    BackendServer,
    Rollout,
    RolloutState,
)
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.settings import Bounds
from monsoonwall.mesh.board import Board, Fact
from monsoonwall.moves.evidence import SharedEvidence, register_evidence_merge
from monsoonwall.moves.execution import MoveExecution
from monsoonwall.moves.records import ConclusionBoard
from monsoonwall.pipeline.messages import (
    AttemptRecord,
)

# The last part of a roll-out's time, reserved for all hosts to receive the
# conclusion, requests at the old servers to end and the outcome to be written.
_COMPLETION_SECONDS: Final = 2.5
# A roll-out still undecided is concluded this long before the end of its time,
# so that its outcome is written in time.
_DECISION_SECONDS: Final = 1.5
_BEGIN_KIND: Final = 'rollout-begin'
_BEGIN_BYTES: Final = 8
_MAX_MILLISECONDS: Final = 1_000_000_000_000_000
_FACT_TTL_SECONDS: Final = 3600.0
# Hosts receive a new order within this time of each other. A start time
# that is earlier by less does not restart the evaluation.
_ORDER_SKEW_SECONDS: Final = 1.0
_MILLISECONDS_PER_SECOND: Final = 1000
# Represents all versions but the one being rolled out.
_OTHER_VERSIONS: Final = ''


class RolloutController:
    """Run the roll-out of each service on this host."""

    def __init__(
        self,
        record_cache: RecordCache,
        board: Board,
        clock: Clock,
        bounds: Bounds,
    ) -> None:
        register_evidence_merge(board)
        self._record_cache = record_cache
        self._board = board
        self._clock = clock
        self._steady_clock = SteadyWallClock(clock)
        self._epoch = int(self._steady_clock.read() * _MILLISECONDS_PER_SECOND)
        self._exposure_bound = ExposureBound(
            bounds.exposure_share, bounds.exposure_slack
        )
        self._conclusions = ConclusionBoard(board)
        self._executions: dict[str, MoveExecution] = {}

    def find(self, service: str) -> MoveExecution | None:
        """Return the latest roll-out of a service, if there was one."""
        return self._executions.get(service)

    def is_deadline_within(
        self, execution: MoveExecution, seconds: float
    ) -> bool:
        """Return whether at most ``seconds`` of the roll-out's time remain."""
        deadline_wall = execution.move.deadline_wall + _COMPLETION_SECONDS
        return self._steady_clock.read() >= deadline_wall - seconds

    def is_open(self, service: str) -> bool:
        """Return whether servers of both versions run, or are supposed to."""
        execution = self.find(service)
        if execution is None:
            return False
        # Holds true and false if servers of both versions run.
        runs_new_version = {
            server.version == execution.move.to_version
            for server in self._record_cache.list_servers(service)
            if not server.leaving
        }
        return execution.course.conclusion is None or len(runs_new_version) > 1

    def filter_servers(
        self, request_state: RequestState, servers: Mapping[str, BackendServer]
    ) -> Mapping[str, BackendServer]:
        """Return the servers of the versions that may run a request."""
        execution = self.find(request_state.admitted.service.name)
        if execution is None:
            return servers
        version = execution.move.to_version
        new = {
            name: server
            for name, server in servers.items()
            if server.version == version
        }
        old = {
            name: server for name, server in servers.items() if name not in new
        }
        if execution.is_withdrawn:
            return old
        if execution.is_done:
            return new or old
        if request_state.uses_new_version is None:
            request_state.uses_new_version = execution.assign_to_new(
                request_state.admitted.call
            )
        # Retries prefer the old version, which is known to work.
        if request_state.uses_new_version and not request_state.attempt_endings:
            return new or old
        return old or new

    def record_attempt_end(
        self, record: AttemptRecord, server: BackendServer
    ) -> None:
        """Add an ended attempt to the evidence of an undecided roll-out."""
        execution = self.find(server.service)
        if execution is None or execution.course.conclusion is not None:
            return
        if server.version != execution.move.to_version:
            choice = replace(record.choice, version=_OTHER_VERSIONS)
            record = replace(record, choice=choice)
        execution.observe(record)

    def advance(self) -> None:
        """Apply orders, exchange evidence and conclude roll-outs."""
        rollouts = {
            rollout.service: rollout
            for rollout in self._record_cache.list_rollouts()
        }
        for service in set(self._executions) - set(rollouts):
            self._executions.pop(service)
        concluded = self._conclusions.read()
        now_wall = self._steady_clock.read()
        for rollout in rollouts.values():
            execution = self._update_move(rollout)
            published = concluded.get(execution.identity)
            if published is not None:
                execution.course.conclude(published)
            if execution.course.conclusion is None:
                self._advance(execution, now_wall)
            execution.log_changes(now_wall)

    def _update_move(self, rollout: Rollout) -> MoveExecution:
        begin_wall = self._agree_on_begin(rollout)
        plan = self._make_plan(rollout, begin_wall)
        previous = self._executions.get(rollout.service)
        if previous is None or previous.identity != plan.identity:
            evidence = SharedEvidence(self._board, plan.identity, self._epoch)
            course = MoveCourse(plan)
        elif begin_wall < previous.move.begin_wall - _ORDER_SKEW_SECONDS:
            # Other hosts received the order before this host did.
            evidence = previous.evidence
            course = MoveCourse(plan)
        else:
            previous.course.replan(plan)
            evidence = previous.evidence
            course = previous.course
        _apply_recorded_state(course, rollout, self._steady_clock.read())
        execution = MoveExecution(
            course,
            evidence,
            self._make_server_groups(rollout, _OTHER_VERSIONS),
            self._make_server_groups(rollout, rollout.version),
            previous.logged_state if previous else (),
        )
        self._executions[rollout.service] = execution
        return execution

    def _agree_on_begin(self, rollout: Rollout) -> float:
        key = _make_order_key(rollout)
        begins = [
            _MAX_MILLISECONDS - int.from_bytes(fact.payload, 'big')
            for fact in self._board.read_facts(_BEGIN_KIND)
            if fact.key == key
        ]
        if begins:
            return min(begins) / _MILLISECONDS_PER_SECOND
        begin_wall = self._steady_clock.read()
        # Of several facts the board keeps the greatest payload. Subtracting
        # makes that the earliest start time.
        payload = _MAX_MILLISECONDS - int(begin_wall * _MILLISECONDS_PER_SECOND)
        self._board.publish_fact(
            Fact(
                _BEGIN_KIND,
                key,
                payload.to_bytes(_BEGIN_BYTES, 'big'),
                self._clock.read_wall() + _FACT_TTL_SECONDS,
            )
        )
        return begin_wall

    def _make_plan(self, rollout: Rollout, begin_wall: float) -> MovePlan:
        servers = [
            server
            for server in self._record_cache.list_servers(rollout.service)
            if not server.leaving
        ]
        new_count = sum(server.version == rollout.version for server in servers)
        return MovePlan(
            rollout.name,
            Move(
                rollout.service,
                _OTHER_VERSIONS,
                rollout.version,
                begin_wall,
                begin_wall + max(0, rollout.seconds - _COMPLETION_SECONDS),
            ),
            len(servers) - new_count,
            new_count,
            rollout.order,
            self._exposure_bound,
        )

    def _make_server_groups(
        self, rollout: Rollout, version: str
    ) -> ServerGroups:
        return ServerGroups(
            {
                server.name: ConfiguredServer(
                    server.service,
                    rollout.version
                    if server.version == rollout.version
                    else _OTHER_VERSIONS,
                    server.zone,
                    server.address,
                )
                for server in self._record_cache.list_servers(rollout.service)
            },
            rollout.service,
            version,
        )

    def _advance(self, execution: MoveExecution, now_wall: float) -> None:
        execution.evidence.publish()
        course = execution.course
        course.advance(execution.evidence.collect(), now_wall)
        if self.is_deadline_within(execution, _DECISION_SECONDS):
            course.conclude_at_deadline(now_wall)
        if course.conclusion is not None:
            self._conclusions.publish_conclusion(
                execution.identity, course.conclusion
            )


def _apply_recorded_state(
    course: MoveCourse, rollout: Rollout, now_wall: float
) -> None:
    if rollout.state in {None, RolloutState.under_way}:
        return
    if course.conclusion is None:
        phase = (
            Phase.done
            if rollout.state is RolloutState.done
            else Phase.withdrawn
        )
        course.conclude(Conclusion(phase, 'recorded before', now_wall, 0))


def _make_order_key(rollout: Rollout) -> str:
    return f'{rollout.name}@{rollout.order}'
