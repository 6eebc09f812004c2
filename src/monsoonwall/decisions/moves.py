"""Control the move of a service's traffic from one version to another.

A move's course sets the new version's share of the requests from the evidence
so far and the time. It ends when this host or another one concludes the move.
A withdrawal overrides the conclusion that the move is done.
"""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from msgspec import msgpack
from xxhash import xxh3_64_hexdigest

from monsoonwall.configuration.model import Move
from monsoonwall.decisions.evidence import Increment
from monsoonwall.decisions.sequential_comparison import (
    ComparisonVerdict,
    SequentialComparison,
)
from monsoonwall.decisions.small_sample_comparison import SmallSampleComparison
from monsoonwall.decisions.traffic import (
    ExposureBound,
    MoveProgress,
    find_confirmation_time,
    is_proven,
    plan_share,
)

# Time constant of the average request rate, which is unknown until requests
# have been counted for the minimum time.
_RATE_SECONDS: Final = 60.0
_MIN_RATE_SECONDS: Final = 2.0
# Time constant for forgetting unanswered requests. A request that has not ended
# after several of these was lost with its host and must not block the move.
_UNANSWERED_DECAY_SECONDS: Final = 120.0
_MORE_BAD_ANSWERS: Final = 'more bad answers than the old version gives'


class Phase(StrEnum):
    """List the phases of a move."""

    planned = 'planned'
    under_way = 'under_way'
    done = 'done'
    withdrawn = 'withdrawn'


@dataclass(frozen=True)
class Conclusion:
    """Record how a move ended, for all hosts and permanently.

    ``requests`` counts the requests sent to the new version until then.
    """

    phase: Phase
    reason: str
    decided_wall: float
    requests: int


@dataclass(frozen=True)
class MoveStatus:
    """Report the state of one move to operators; times are Unix seconds.

    ``judged`` counts the new version's attempts that serve as evidence, and
    ``suspicion`` is the e-value of the evidence against it.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    phase: Phase
    share: float
    late: bool
    reason: str
    requests: int
    judged: int
    suspicion: float
    begin_wall: float
    deadline_wall: float
    concluded_wall: float | None


@dataclass(frozen=True)
class MovePlan:
    """Hold a move, its name and the number of its versions' servers.

    ``order`` identifies the order that the move carries out, if any.
    ``bound`` further limits the requests that a bad version may get.
    """

    name: str
    move: Move
    old_servers: int
    new_servers: int
    order: str = ''
    bound: ExposureBound | None = None

    @property
    def identity(self) -> str:
        """Return a key that changes if an operator changes the move."""
        if self.order:
            return f'{self.name}@{self.order}'
        return f'{self.name}@{xxh3_64_hexdigest(msgpack.encode(self.move))}'

    @property
    def fair_share(self) -> float:
        """Return the share at which servers of both versions get equal load."""
        servers = self.old_servers + self.new_servers
        return self.new_servers / servers if self.new_servers else 0


class MoveCourse:
    """Set the share of one move over time, until the move is concluded.

    The share is the new version's part of the requests, from 0 to 1.
    """

    def __init__(self, plan: MovePlan) -> None:
        self.plan = plan
        self.conclusion: Conclusion | None = None
        self.share: float = 0
        self._sequential = SequentialComparison(
            plan.old_servers,
            plan.new_servers,
            plan.move.begin_wall,
            plan.move.deadline_wall,
        )
        self._verdict = self._sequential.decide()
        self._small_sample = SmallSampleComparison()
        self._traffic = _TrafficMeter()
        self._full_since_wall: float | None = None
        self._held = False

    def replan(self, plan: MovePlan) -> None:
        """Set new numbers of servers for the same move."""
        self.plan = plan
        self._sequential.set_server_counts(plan.old_servers, plan.new_servers)

    def advance(
        self, increment: Increment, now_wall: float, may_increase: bool = True
    ) -> None:
        """Add evidence, then set the share or conclude the move.

        Without ``may_increase`` the share does not grow and the move is not
        concluded as done; it may still be withdrawn.
        """
        if self.conclusion is not None:
            return
        self._traffic.add(increment, now_wall)
        if increment.cells and self._sequential.add(increment, now_wall):
            self._verdict = self._sequential.decide()
        if self.plan.bound is not None:
            self._small_sample.add(increment)
            if self._small_sample.measure().worse:
                reason = _MORE_BAD_ANSWERS
                self.conclude(
                    self._make_conclusion(Phase.withdrawn, reason, now_wall)
                )
                return
        if self._verdict.worse:
            reason = _describe_finding(self._verdict)
            self.conclude(
                self._make_conclusion(Phase.withdrawn, reason, now_wall)
            )
            return
        self._held = not may_increase
        progress = self._make_progress()
        planned = plan_share(progress, now_wall) if progress.fair_share else 0
        self.share = min(self.share, planned) if self._held else planned
        self._confirm(progress, now_wall)

    def conclude(self, conclusion: Conclusion) -> bool:
        """Adopt a conclusion; return whether it changes the move."""
        earlier = self.conclusion
        if earlier is not None and (
            earlier.phase is Phase.withdrawn or conclusion.phase is Phase.done
        ):
            return False
        self.conclusion = conclusion
        self.share = 1 if conclusion.phase is Phase.done else 0
        return True

    def conclude_at_deadline(self, now_wall: float) -> None:
        """Conclude the move on the evidence so far."""
        if self.conclusion is not None:
            return
        if self.share >= 1:
            conclusion = self._make_conclusion(
                Phase.done, 'no fault found', now_wall
            )
        else:
            reason = f'not proven in time: {self._explain_wait(now_wall)}'
            conclusion = self._make_conclusion(
                Phase.withdrawn, reason, now_wall
            )
        self.conclude(conclusion)

    def describe(self, now_wall: float) -> MoveStatus:
        """Return the status of the move."""
        move = self.plan.move
        conclusion = self.conclusion
        concluded_wall = conclusion.decided_wall if conclusion else None
        ended_wall = now_wall if concluded_wall is None else concluded_wall
        return MoveStatus(
            self.plan.name,
            move.service,
            move.from_version,
            move.to_version,
            self._find_phase(now_wall),
            self.share,
            ended_wall > move.deadline_wall,
            conclusion.reason if conclusion else self._explain_wait(now_wall),
            conclusion.requests if conclusion else self._traffic.begun_new,
            self._sequential.trials,
            self._verdict.e_value,
            move.begin_wall,
            move.deadline_wall,
            concluded_wall,
        )

    def _find_phase(self, now_wall: float) -> Phase:
        if self.conclusion is not None:
            return self.conclusion.phase
        if now_wall < self.plan.move.begin_wall:
            return Phase.planned
        return Phase.under_way

    def _explain_wait(self, now_wall: float) -> str:
        if now_wall < self.plan.move.begin_wall:
            return ''
        if self._held:
            return 'held: the configuration may be out of date'
        if self._verdict.suspected:
            return f'more evidence needed: {_describe_finding(self._verdict)}'
        return self._explain_missing_evidence()

    def _explain_missing_evidence(self) -> str:
        if not self.plan.new_servers:
            return 'no backend server runs the new version'
        if not self._sequential.trials:
            return 'no answer from the new version yet'
        if self._small_sample.measure().suspected:
            return _MORE_BAD_ANSWERS
        if not is_proven(self._make_progress()):
            return 'too few answers from the new version to judge it'
        return ''

    def _confirm(self, progress: MoveProgress, now_wall: float) -> None:
        if self.share < 1 or self._held:
            self._full_since_wall = None
            return
        if self._full_since_wall is None:
            self._full_since_wall = now_wall
        if now_wall >= find_confirmation_time(progress, self._full_since_wall):
            self.conclude(
                self._make_conclusion(Phase.done, 'no fault found', now_wall)
            )

    def _make_conclusion(
        self, phase: Phase, reason: str, now_wall: float
    ) -> Conclusion:
        return Conclusion(phase, reason, now_wall, self._traffic.begun_new)

    def _make_progress(self) -> MoveProgress:
        move = self.plan.move
        return MoveProgress(
            move.begin_wall,
            move.deadline_wall,
            self._traffic.rate,
            self.plan.fair_share,
            self._traffic.unanswered,
            self._sequential.trials,
            self._verdict.suspected or self._small_sample.measure().suspected,
            self.plan.bound,
            self._traffic.begun_new,
        )


class _TrafficMeter:
    """Measure the request rate and the number of unanswered requests."""

    def __init__(self) -> None:
        self.begun_new = 0
        self.unanswered: float = 0
        self._recent_requests: float = 0
        self._recent_seconds: float = 0
        self._last_wall: float | None = None

    @property
    def rate(self) -> float | None:
        """Return the recent requests per second, or None if not known yet."""
        if self._recent_seconds < _MIN_RATE_SECONDS:
            return None
        return self._recent_requests / self._recent_seconds

    def add(self, increment: Increment, now_wall: float) -> None:
        """Count the requests since the previous call."""
        if self._last_wall is None:
            self._last_wall = now_wall
        elapsed = max(0, now_wall - self._last_wall)
        self._last_wall = now_wall
        requests = increment.begun_old + increment.begun_new
        rate_decay = math.exp(-elapsed / _RATE_SECONDS)
        self._recent_requests = self._recent_requests * rate_decay + requests
        self._recent_seconds = self._recent_seconds * rate_decay + elapsed
        self.begun_new += increment.begun_new
        unanswered_decay = math.exp(-elapsed / _UNANSWERED_DECAY_SECONDS)
        unanswered = self.unanswered * unanswered_decay
        unanswered += increment.begun_new - increment.ended_new
        self.unanswered = max(0, unanswered)


def _describe_finding(verdict: ComparisonVerdict) -> str:
    finding = verdict.finding
    if finding is None:
        return ''
    where = f'on route {finding.route}' if finding.route else 'on all routes'
    return f'{finding.regression} {where}, compared with the old version'
