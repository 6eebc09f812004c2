"""Check what callers and servers saw against the rules of the platform."""

from collections import Counter, defaultdict
from dataclasses import dataclass

# A request that was answered so has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
PROPAGATION_SECONDS = 3.0
CONVICTING_CRASHES = 3
MAX_LATE_ARRIVALS = 3
MAX_REQUESTS_OVER_LIMIT = 3
MAX_LOST_RESPONSES = 3
MIN_RECOVERED_SHARE = 0.25
MAX_MEMORY_KB = 300_000
EXITED = -1


@dataclass(frozen=True)
class Outcome:
    """Tell how one attempt of a caller ended.

    ``status`` is 0 where the channel closed without an answer; ``content``
    names what callers send again under other ids.
    """

    attempt_id: str
    kind: str
    content: str
    crashing: bool
    sent_at: float
    ended_at: float
    status: int
    body: bytes


@dataclass(frozen=True)
class Observations:
    """Hold what one run showed from outside; times are monotonic.

    ``disruptions`` holds the begin and end of each trouble of hosts or store.
    """

    outcomes: tuple[Outcome, ...]
    runs: tuple
    disruptions: tuple[tuple[float, float], ...]
    last_fault_at: float
    recovery_seconds: float
    memory_kb: tuple[int, ...] = ()
    max_attempts: int = 2

    def is_undisrupted(self, since, until):
        """Tell whether hosts and store were left alone, and long enough."""
        return not any(
            begin < until and since < end + PROPAGATION_SECONDS
            for begin, end in self.disruptions
        )


def find_violations(observations):
    """Return a line for each broken rule."""
    return [
        f'{name}: {violation}'
        for name, check in CHECKS.items()
        for violation in check(observations)
    ]


def check_executed_twice(observations):
    """Find calls that must not repeat and ran more than once."""
    runs = Counter(run.attempt_id for run in observations.runs)
    for outcome in observations.outcomes:
        if outcome.kind == 'reserve' and runs[outcome.attempt_id] > 1:
            yield f'{outcome.attempt_id} ran {runs[outcome.attempt_id]} times'


def check_refused(observations):
    """Find refusals that promise that a call has not run, though it has."""
    ran = {run.attempt_id for run in observations.runs}
    for outcome in observations.outcomes:
        reported_not_run = (
            outcome.kind == 'reserve' and outcome.status in NOT_RUN_STATUSES
        )
        if reported_not_run and outcome.attempt_id in ran:
            yield f'{outcome.attempt_id} ran, answered {outcome.status}'


def check_mixed(observations):
    """Find successes that are not the answer to their own request."""
    for outcome in observations.outcomes:
        expected = f'found for {outcome.attempt_id}'.encode()
        if outcome.status == 200 and outcome.body != expected:
            yield f'{outcome.attempt_id} got {outcome.body!r}'


def check_attempts(observations):
    """Find requests that ran at more servers than their route allows."""
    runs = Counter(run.attempt_id for run in observations.runs)
    over_limit = [
        attempt_id
        for attempt_id, count in runs.items()
        if count > observations.max_attempts
    ]
    if len(over_limit) > MAX_REQUESTS_OVER_LIMIT:
        yield f'{len(over_limit)} requests, as {over_limit[0]}'


def check_crashing(observations):
    """Find requests sent on long after three servers ended under them."""
    moments_by_content = defaultdict(list)
    moments = defaultdict(list)
    for run in observations.runs:
        moments[run.attempt_id].append(run.moment)
    for outcome in observations.outcomes:
        if outcome.crashing:
            moments_by_content[outcome.content] += moments[outcome.attempt_id]
    for name, arrived in moments_by_content.items():
        late = _list_late_arrivals(observations, sorted(arrived))
        if len(late) > MAX_LATE_ARRIVALS:
            yield f'{name} arrived {len(late)} times, last at {late[-1]}'


def _list_late_arrivals(observations, moments):
    convicted_at = moments[:CONVICTING_CRASHES][-1]
    return [
        moment
        for moment in moments
        if moment > convicted_at + PROPAGATION_SECONDS
        and observations.is_undisrupted(moment - PROPAGATION_SECONDS, moment)
    ]


def check_lost(observations):
    """Find requests that a server got and nobody answered, in calm times."""
    ran = {run.attempt_id for run in observations.runs}
    lost = [
        outcome
        for outcome in observations.outcomes
        if not outcome.status
        and not outcome.crashing
        and outcome.attempt_id in ran
        and observations.is_undisrupted(outcome.sent_at, outcome.ended_at)
    ]
    if len(lost) > MAX_LOST_RESPONSES:
        yield f'{len(lost)} requests, as {lost[0]}'


def check_recovered(observations):
    """Find too few successes after the last trouble."""
    since = observations.last_fault_at + observations.recovery_seconds
    successes = [
        outcome.status == 200
        for outcome in observations.outcomes
        if outcome.sent_at > since and not outcome.crashing
    ]
    if sum(successes) < MIN_RECOVERED_SHARE * max(1, len(successes)):
        yield f'{sum(successes)} of {len(successes)} were served'


def check_memory(observations):
    """Find hosts above the memory of a machine, or that ended by themselves."""
    for used in observations.memory_kb:
        if used == EXITED:
            yield 'a host ended by itself'
        if used > MAX_MEMORY_KB:
            yield f'{used} kB'


CHECKS = {
    'TWICE': check_executed_twice,
    'REFUSED': check_refused,
    'MIXED': check_mixed,
    'BUDGET, attempts': check_attempts,
    'BUDGET, crashing requests': check_crashing,
    'LOST': check_lost,
    'RECOVER': check_recovered,
    'memory': check_memory,
}
