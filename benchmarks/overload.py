"""Measure goodput before, during and after overload, with limits on and off.

Goodput counts the calls whose first token arrives while their callers still
wait for it.

    PYTHONPATH=src:. python -m benchmarks.overload
"""

import sys
import time
from dataclasses import replace
from functools import partial

from benchmarks.mixes import (
    ASSOCIATION,
    DRAFT_TARGET_SECONDS,
    WorkloadGenerator,
    make_configuration,
    make_engine_specs,
)
from benchmarks.policies import CostBasedPolicy
from benchmarks.queueing import Cluster, is_short, measure_quantile

SEED = 3
PHASE_SECONDS = 60
SETTLE_SECONDS = 20
PHASE_STARTS = (0, 60, 120)
# The engines' capacity, as a factor on the mix's rate; see the ramp's rows.
CAPACITY_FACTOR = 6.0
RAMP = (2, 4, 6, 8, 12)
SHORT_PATIENCE_SECONDS = 2.0
DRAFT_PATIENCE_SECONDS = 4 * DRAFT_TARGET_SECONDS


def run_phases(phases, enforce_limits: bool):
    """Run a cluster through phases of load and return its outcome."""
    configuration = make_configuration(ASSOCIATION)
    make_policy = partial(
        CostBasedPolicy, configuration, enforce_limits=enforce_limits
    )
    policies = [make_policy(host) for host in range(ASSOCIATION.hosts)]
    jobs = WorkloadGenerator(ASSOCIATION, SEED).make_jobs(phases)
    cluster = Cluster(make_engine_specs(ASSOCIATION), policies, SEED)
    until = sum(seconds for seconds, _ in phases) + 600
    return cluster.run([replace(job) for job in jobs], until)


def measure_window(outcome, begin: float, end: float) -> tuple[float, float]:
    """Return a window's goodput per second and p95 wait of short calls."""
    inside = [job for job in outcome.jobs if begin <= job.arrived < end]
    goodput = sum(_is_good(job) for job in inside)
    waits = [job.first_token - job.arrived for job in inside if is_short(job)]
    return goodput / (end - begin), measure_quantile(waits, 0.95)


def measure_fairness(outcome) -> list[float]:
    """Return the number of calls served per workspace, in name order."""
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
    """Print a ramp of rising load, then a wave of overload."""
    print(f'{"limits":8} {"load":>5} {"goodput/s":>10} {"short p95":>10}')
    for enforce_limits in (False, True):
        for load_factor in RAMP:
            outcome = run_phases(
                ((PHASE_SECONDS, load_factor),), enforce_limits
            )
            goodput, short_p95 = measure_window(
                outcome, SETTLE_SECONDS, PHASE_SECONDS
            )
            print(
                f'{_format_limits(enforce_limits):8} {load_factor:>4}x '
                f'{goodput:>10.1f} {short_p95:>9.3f}s refused {outcome.refused}'
            )
    print('wave: half the capacity, twice the capacity, half the capacity')
    factors = (CAPACITY_FACTOR / 2, CAPACITY_FACTOR * 2, CAPACITY_FACTOR / 2)
    phases = tuple((PHASE_SECONDS, factor) for factor in factors)
    for enforce_limits in (False, True):
        outcome = run_phases(phases, enforce_limits)
        for number, begin in enumerate(PHASE_STARTS):
            early = measure_window(outcome, begin, begin + 10)
            late = measure_window(
                outcome, begin + SETTLE_SECONDS, begin + PHASE_SECONDS
            )
            print(
                f'{_format_limits(enforce_limits):8} phase {number} first 10 s '
                f'{early[0]:.1f}/s {early[1]:.3f}s, from {SETTLE_SECONDS} s on '
                f'{late[0]:.1f}/s {late[1]:.3f}s'
            )
        print(
            f'{_format_limits(enforce_limits):8} served '
            f'{measure_fairness(outcome)}'
        )


def _format_limits(enforce_limits: bool) -> str:
    return 'on' if enforce_limits else 'off'


if __name__ == '__main__':
    started = time.monotonic()
    main()
    print(f'took {time.monotonic() - started:.0f} s', file=sys.stderr)
