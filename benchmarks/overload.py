"""Measure goodput before, at and after an overload, with and without limits.

Goodput counts the calls whose first token came within a bound that their
callers still wait for. Usage: PYTHONPATH=src:. python -m benchmarks.overload
"""

import sys
import time
from dataclasses import replace
from functools import partial

from benchmarks.mixes import (
    ASSOCIATION,
    DRAFT_TARGET_SECONDS,
    CallMaker,
    make_configuration,
    make_specs,
)
from benchmarks.policies import Weighed
from benchmarks.queueing import Cluster, is_short, measure_quantile

SEED = 3
PHASE_SECONDS = 60
SETTLE_SECONDS = 20
BEGINS = (0, 60, 120)
# The calls a second that the engines can just carry; see the ramp's rows.
PEAK_FACTOR = 6.0
RAMP = (2, 4, 6, 8, 12)
SHORT_PATIENCE_SECONDS = 2.0
DRAFT_PATIENCE_SECONDS = 4 * DRAFT_TARGET_SECONDS


def run_phases(phases, admitting: bool):
    """Return the cluster's outcome and the number of calls offered."""
    configuration = make_configuration(ASSOCIATION)
    make_policy = partial(Weighed, configuration, admitting=admitting)
    policies = [make_policy(host) for host in range(ASSOCIATION.hosts)]
    jobs = CallMaker(ASSOCIATION, SEED).make_jobs(phases)
    cluster = Cluster(make_specs(ASSOCIATION), policies, SEED)
    until = sum(seconds for seconds, _ in phases) + 600
    return cluster.run([replace(job) for job in jobs], until)


def measure_window(outcome, begin: float, end: float) -> tuple[float, float]:
    """Return goodput a second and the short calls' p95 of a window."""
    inside = [job for job in outcome.jobs if begin <= job.arrived < end]
    good = sum(_is_good(job) for job in inside)
    waits = [job.first_token - job.arrived for job in inside if is_short(job)]
    return good / (end - begin), measure_quantile(waits, 0.95)


def measure_fairness(outcome) -> list[float]:
    """Return the calls served a second of each workspace, largest first."""
    served: dict[str, int] = {}
    for job in outcome.jobs:
        name = job.call.workspace
        served[name] = served.get(name, 0) + 1
    return [served.get(name, 0) for name in sorted(served)]


def _is_good(job) -> bool:
    patience = (
        SHORT_PATIENCE_SECONDS if is_short(job) else DRAFT_PATIENCE_SECONDS
    )
    return job.first_token - job.arrived <= patience


def main() -> None:
    """Print the ramp, then a wave of overload."""
    print(f'{"limits":8} {"load":>5} {"goodput/s":>10} {"short p95":>10}')
    for admitting in (False, True):
        for times in RAMP:
            outcome = run_phases(((PHASE_SECONDS, times),), admitting)
            good, wait = measure_window(outcome, SETTLE_SECONDS, PHASE_SECONDS)
            print(
                f'{_name(admitting):8} {times:>4}x {good:>10.1f} {wait:>9.3f}s'
                f' refused {outcome.refused}'
            )
    print('wave: half of the peak, twice the peak, half of the peak')
    factors = (PEAK_FACTOR / 2, PEAK_FACTOR * 2, PEAK_FACTOR / 2)
    phases = tuple((PHASE_SECONDS, factor) for factor in factors)
    for admitting in (False, True):
        outcome = run_phases(phases, admitting)
        for number, begin in enumerate(BEGINS):
            early = measure_window(outcome, begin, begin + 10)
            late = measure_window(
                outcome, begin + SETTLE_SECONDS, begin + PHASE_SECONDS
            )
            print(
                f'{_name(admitting):8} phase {number} first 10 s '
                f'{early[0]:.1f}/s {early[1]:.3f}s, from {SETTLE_SECONDS} s on '
                f'{late[0]:.1f}/s {late[1]:.3f}s'
            )
        print(f'{_name(admitting):8} served {measure_fairness(outcome)}')


def _name(admitting: bool) -> str:
    return 'on' if admitting else 'off'


if __name__ == '__main__':
    started = time.monotonic()
    main()
    print(f'took {time.monotonic() - started:.0f} s', file=sys.stderr)
