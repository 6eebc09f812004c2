"""Execute one move: assign calls, count evidence, log its progress."""

from dataclasses import dataclass

from monsoonwall.configuration.model import Move
from monsoonwall.decisions.evidence import ServerGroups, Side
from monsoonwall.decisions.moves import MoveCourse, Phase
from monsoonwall.decisions.traffic import find_position
from monsoonwall.logs import make_logger
from monsoonwall.metrics import MOVE_CONCLUSIONS, MOVE_SHARE
from monsoonwall.moves.evidence import SharedEvidence
from monsoonwall.pipeline.messages import AttemptRecord, Call

_log = make_logger('moves')


@dataclass
class MoveExecution:
    """Hold one host's state of one move."""

    course: MoveCourse
    evidence: SharedEvidence
    old_groups: ServerGroups
    new_groups: ServerGroups
    logged_state: tuple[object, ...] = ()

    @property
    def move(self) -> Move:
        """Return the configured move."""
        return self.course.plan.move

    @property
    def identity(self) -> str:
        """Return the key of the move's records on the board."""
        return self.course.plan.identity

    def executes_order(self, order: str) -> bool:
        """Return whether the move carries out this order of a roll-out."""
        return self.course.plan.order == order

    @property
    def is_done(self) -> bool:
        """Return whether the new version receives all traffic."""
        conclusion = self.course.conclusion
        return conclusion is not None and conclusion.phase is Phase.done

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the new version was withdrawn."""
        conclusion = self.course.conclusion
        return conclusion is not None and conclusion.phase is Phase.withdrawn

    def assign_to_new(self, call: Call) -> bool:
        """Return whether a call goes to the new version, and count it."""
        if self.is_withdrawn:
            return False
        position = find_position(self.identity, call.request_id)
        new = position < self.course.share
        self.evidence.counter.count_begin(Side.new if new else Side.old)
        return new

    def observe(self, record: AttemptRecord) -> None:
        """Count an ended attempt as evidence on its version."""
        # Isolated requests are suspected of crashing servers themselves, so
        # they are not evidence on a version.
        if self.course.conclusion is not None or record.choice.isolated:
            return
        version = record.choice.version
        server = record.choice.server
        if version == self.move.to_version:
            group = self.new_groups.find(server)
            self.evidence.counter.count_attempt(record, Side.new, group)
        elif version == self.move.from_version:
            group = self.old_groups.find(server)
            self.evidence.counter.count_attempt(record, Side.old, group)

    def log_changes(self, now_wall: float) -> None:
        """Export the share, and log the state of the move if it changed."""
        status = self.course.describe(now_wall)
        MOVE_SHARE.labels(status.name).set(status.share)
        full = status.share >= 1
        state = (status.phase, status.late, full, status.reason)
        if state == self.logged_state:
            return
        if self.course.conclusion is not None:
            MOVE_CONCLUSIONS.labels(status.phase).inc()
        self.logged_state = state
        _log.info(
            'Move changed.',
            move=status.name,
            phase=status.phase.value,
            share=round(status.share, 4),
            late=status.late,
            reason=status.reason,
            requests=status.requests,
        )
