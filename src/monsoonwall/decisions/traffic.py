"""Share traffic between two versions, alike on every host.

A request is on the new version when its hash lies below the share. As the
share grows, requests only ever change from the old to the new version.
"""

from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

_HASH_BITS: Final = 64
_HASH_SPAN: Final = float(1 << _HASH_BITS)

# The plan of a move, in parts of the time between its begin and deadline.
_FAIR_SHARE_AT: Final = 0.35
_FULL_SHARE_AT: Final = 0.82
_CONFIRMATION_PART: Final = 0.1
_FIRST_STEP_PART: Final = 0.05

FIRST_REQUESTS: Final = 8
# A step sends at most as many requests as were judged so far, over a part of
# the move that covers the spread of evidence and the usual length of an
# answer when there is time for that.
_STEP_PART: Final = 0.01
_SHORTEST_STEP_SECONDS: Final = 0.5
_LONGEST_STEP_SECONDS: Final = 15.0
_MIN_TRIALS: Final = 40
# A bounded move has to do with this part of all its requests, or this many.
_BOUNDED_TRIALS_PART: Final = 0.3
_MIN_BOUNDED_TRIALS: Final = 10
# The part of the bound on exposure that is used before all requests go to the
# new version; the rest covers a fault that shows only then.
_GRADUAL_EXPOSURE_PART: Final = 0.7


@dataclass(frozen=True)
class ExposureBound:
    """Bound what a bad version may get of a move's requests.

    That is ``share`` of all of them and ``slack`` requests besides.
    """

    share: float
    slack: float


@dataclass(frozen=True)
class MoveProgress:
    """Hold what the next share of a move is made from.

    Times are Unix seconds. ``rate`` is in requests a second of the service,
    over both versions, None while it is unknown; ``fair_share`` is the new
    version's part of the servers. ``unanswered`` counts the requests lately
    given to the new version that have not ended, ``judged`` those that ended
    and count. ``exposed`` counts all that the new version was given.
    """

    begin_wall: float
    deadline_wall: float
    rate: float | None
    fair_share: float
    unanswered: float
    judged: int
    suspected: bool
    bound: ExposureBound | None = None
    exposed: int = 0


def find_position(move: str, request_id: str) -> float:
    """Return where a request lies in a move's traffic, from 0 up to 1."""
    content = f'{move}\0{request_id}'.encode()
    return xxh3_64_intdigest(content) / _HASH_SPAN


def plan_share(progress: MoveProgress, now_wall: float) -> float:
    """Return the part of the requests that goes to the new version now."""
    if now_wall < progress.begin_wall or progress.rate is None:
        return 0
    span = max(1.0, progress.deadline_wall - progress.begin_wall)
    elapsed = (now_wall - progress.begin_wall) / span
    if elapsed >= _FULL_SHARE_AT and is_proven(progress):
        return 1
    if progress.unanswered >= _limit_unanswered(progress):
        # What was sent has not been answered yet, so nothing is known of it.
        return 0
    return min(
        _grow_share(progress, span, elapsed),
        _limit_step(progress, span),
        _limit_exposure(progress, span, elapsed),
        progress.fair_share,
    )


def is_proven(progress: MoveProgress) -> bool:
    """Tell whether the new version may take all requests."""
    return (
        progress.judged >= _count_needed_trials(progress)
        and not progress.suspected
    )


def find_confirmation_time(progress: MoveProgress, full_wall: float) -> float:
    """Return when a version that took all at ``full_wall`` has proven good."""
    span = progress.deadline_wall - progress.begin_wall
    confirmed = full_wall + max(0, span * _CONFIRMATION_PART)
    # A bounded move is short, so that all of its time is used for evidence.
    return (
        max(confirmed, progress.deadline_wall) if progress.bound else confirmed
    )


def _count_needed_trials(progress: MoveProgress) -> float:
    if progress.bound is None or progress.rate is None:
        return _MIN_TRIALS
    expected = progress.rate * (progress.deadline_wall - progress.begin_wall)
    part = _BOUNDED_TRIALS_PART * expected
    return max(_MIN_BOUNDED_TRIALS, min(_MIN_TRIALS, part))


def _limit_unanswered(progress: MoveProgress) -> int:
    # Under suspicion the next answers are awaited before more is sent.
    judged = 0 if progress.suspected else progress.judged
    return max(FIRST_REQUESTS, judged)


def _grow_share(progress: MoveProgress, span: float, elapsed: float) -> float:
    # The share grows by a constant factor a second, so that each step is as
    # large against what is known as the one before, and fits the time left.
    first_share = FIRST_REQUESTS / max(
        progress.rate * span * _FIRST_STEP_PART, 1
    )
    first_share = min(first_share, progress.fair_share)
    if elapsed <= _FIRST_STEP_PART:
        return first_share
    growth = min(
        1, (elapsed - _FIRST_STEP_PART) / (_FAIR_SHARE_AT - _FIRST_STEP_PART)
    )
    return first_share * (progress.fair_share / first_share) ** growth


def _limit_step(progress: MoveProgress, span: float) -> float:
    requests = max(FIRST_REQUESTS, progress.judged)
    step = min(
        max(span * _STEP_PART, _SHORTEST_STEP_SECONDS), _LONGEST_STEP_SECONDS
    )
    return requests / max(progress.rate * step, 1)


def _limit_exposure(
    progress: MoveProgress, span: float, elapsed: float
) -> float:
    if progress.bound is None:
        return 1
    expected = (
        progress.bound.share * progress.rate * span + progress.bound.slack
    )
    unused = _GRADUAL_EXPOSURE_PART * expected - progress.exposed
    seconds = max(span * (_FULL_SHARE_AT - elapsed), _SHORTEST_STEP_SECONDS)
    return min(1, max(0, unused / max(progress.rate * seconds, 1)))
