"""Split traffic between two versions in the same way on every host.

A request goes to the new version if its hash, scaled to [0, 1), is below the
share. So while the share grows, a request can only change from the old to the
new version.
"""

from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

_HASH_BITS: Final = 64
_HASH_SPAN: Final = float(1 << _HASH_BITS)

# Fractions of the time between a move's start and deadline. The first two say
# when the fair share is reached and when all requests go to the new version,
# the others how long that must last to confirm the version, and how long the
# first step takes.
_FAIR_SHARE_AT: Final = 0.35
_FULL_SHARE_AT: Final = 0.82
_CONFIRMATION_PART: Final = 0.1
_FIRST_STEP_PART: Final = 0.05

# Requests that the new version may get in the first step, and before it has
# answered any.
FIRST_REQUESTS: Final = 8
# Within a step, the new version gets at most as many requests as it has
# already answered. A step takes this part of the move, within the bounds below.
# If the move is long enough, that covers the usual time of an answer and of
# sending the evidence to all hosts.
_STEP_PART: Final = 0.01
_SHORTEST_STEP_SECONDS: Final = 0.5
_LONGEST_STEP_SECONDS: Final = 15.0
# Answers needed before all requests go to the new version.
_MIN_TRIALS: Final = 40
# A move with an exposure bound needs answers to this part of its requests if
# those are fewer, but at least the minimum below.
_BOUNDED_TRIALS_PART: Final = 0.3
_MIN_BOUNDED_TRIALS: Final = 10
# The part of the exposure bound that may be used before all requests go to the
# new version. The rest is kept for a fault that only shows under full load.
_GRADUAL_EXPOSURE_PART: Final = 0.7


@dataclass(frozen=True)
class ExposureBound:
    """Bound the number of a move's requests that a bad version may get.

    The bound is ``share`` of all requests plus ``slack`` requests.
    """

    share: float
    slack: float


@dataclass(frozen=True)
class MoveProgress:
    """Hold the inputs from which the next share of a move is computed.

    Times are Unix seconds. ``rate`` is the number of requests per second to
    both versions of the service, None while it is unknown. ``fair_share`` is
    the new version's part of the servers. ``exposed`` counts all requests
    that were sent to the new version, ``unanswered`` the recent ones of these
    that have not ended, and ``judged`` those whose results count as evidence.
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
    """Return a request's hash within a move, scaled to [0, 1)."""
    content = f'{move}\0{request_id}'.encode()
    return xxh3_64_intdigest(content) / _HASH_SPAN


def plan_share(progress: MoveProgress, now_wall: float) -> float:
    """Return the share of requests that goes to the new version now."""
    if now_wall < progress.begin_wall or progress.rate is None:
        return 0
    span = max(1.0, progress.deadline_wall - progress.begin_wall)
    elapsed_part = (now_wall - progress.begin_wall) / span
    if elapsed_part >= _FULL_SHARE_AT and is_proven(progress):
        return 1
    if progress.unanswered >= _limit_unanswered(progress):
        # Wait for answers to the requests already sent.
        return 0
    return min(
        _grow_share(progress, span, elapsed_part),
        _limit_step(progress, span),
        _limit_exposure(progress, span, elapsed_part),
        progress.fair_share,
    )


def is_proven(progress: MoveProgress) -> bool:
    """Return whether the new version may get all requests."""
    return (
        progress.judged >= _count_needed_trials(progress)
        and not progress.suspected
    )


def find_confirmation_time(progress: MoveProgress, full_wall: float) -> float:
    """Return when the new version is confirmed.

    It has received all requests since ``full_wall``.
    """
    span = progress.deadline_wall - progress.begin_wall
    confirmed = full_wall + max(0, span * _CONFIRMATION_PART)
    # A move with an exposure bound is short: it needs all of its time to
    # collect enough evidence.
    return (
        max(confirmed, progress.deadline_wall) if progress.bound else confirmed
    )


def _count_needed_trials(progress: MoveProgress) -> float:
    if progress.bound is None or progress.rate is None:
        return _MIN_TRIALS
    requests = progress.rate * (progress.deadline_wall - progress.begin_wall)
    trials = _BOUNDED_TRIALS_PART * requests
    return max(_MIN_BOUNDED_TRIALS, min(_MIN_TRIALS, trials))


def _limit_unanswered(progress: MoveProgress) -> int:
    # While the version is suspected, wait for answers before sending more.
    judged = 0 if progress.suspected else progress.judged
    return max(FIRST_REQUESTS, judged)


def _grow_share(
    progress: MoveProgress, span: float, elapsed_part: float
) -> float:
    # The share grows exponentially, so that each step is as large in
    # proportion to the evidence so far as the one before, and it reaches the
    # fair share at the planned time.
    first_share = FIRST_REQUESTS / max(
        progress.rate * span * _FIRST_STEP_PART, 1
    )
    first_share = min(first_share, progress.fair_share)
    if elapsed_part <= _FIRST_STEP_PART:
        return first_share
    growth = min(
        1,
        (elapsed_part - _FIRST_STEP_PART) / (_FAIR_SHARE_AT - _FIRST_STEP_PART),
    )
    return first_share * (progress.fair_share / first_share) ** growth


def _limit_step(progress: MoveProgress, span: float) -> float:
    requests = max(FIRST_REQUESTS, progress.judged)
    step_seconds = min(
        max(span * _STEP_PART, _SHORTEST_STEP_SECONDS), _LONGEST_STEP_SECONDS
    )
    return requests / max(progress.rate * step_seconds, 1)


def _limit_exposure(
    progress: MoveProgress, span: float, elapsed_part: float
) -> float:
    if progress.bound is None:
        return 1
    bound_requests = (
        progress.bound.share * progress.rate * span + progress.bound.slack
    )
    unused = _GRADUAL_EXPOSURE_PART * bound_requests - progress.exposed
    seconds = max(
        span * (_FULL_SHARE_AT - elapsed_part), _SHORTEST_STEP_SECONDS
    )
    return min(1, max(0, unused / max(progress.rate * seconds, 1)))
