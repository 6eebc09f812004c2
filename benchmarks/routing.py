"""Compare routing policies on the traffic mixes of both users.

PYTHONPATH=src:. python -m benchmarks.routing
"""

import sys
import time
from dataclasses import replace
from types import MappingProxyType

from benchmarks.mixes import (
    HIVATAL,
    MIXES,
    WorkloadGenerator,
    make_configuration,
    make_engine_specs,
)
from benchmarks.policies import (
    CostBasedPolicy,
    LeastLoaded,
    PrefixAffinity,
    RoundRobin,
)
from benchmarks.queueing import Cluster, is_short, measure_quantile

SECONDS = 120
WARMUP_SECONDS = 30
SEED = 1
MICROSECONDS_PER_SECOND = 1_000_000
POLICIES = MappingProxyType(
    {
        'round robin': RoundRobin,
        'least loaded': LeastLoaded,
        'prefix affinity': PrefixAffinity,
        'weighed': CostBasedPolicy,
    }
)


def run_case(mix, make_policy, jobs):
    """Run copies of the jobs under one policy and return the outcome."""
    configuration = make_configuration(mix)
    policies = [make_policy(configuration, host) for host in range(mix.hosts)]
    cluster = Cluster(make_engine_specs(mix), policies, SEED)
    return cluster.run([replace(job) for job in jobs], SECONDS + 600)


def summarize(outcome) -> tuple[float, ...]:
    """Return the p95 wait of short calls and drafts, and two mean costs.

    The costs are the uncached share of the prompts and the price per 1000
    calls.
    """
    waits = {True: [], False: []}
    for job in outcome.jobs:
        if job.arrived >= WARMUP_SECONDS:
            waits[is_short(job)].append(job.first_token - job.arrived)
    return (
        measure_quantile(waits[True], 0.95),
        measure_quantile(waits[False], 0.95),
        outcome.uncached_words / outcome.prompt_words,
        outcome.cost / len(outcome.jobs) * 1000,
    )


def main() -> None:
    """Print a row for each mix, load and policy."""
    print(
        f'{"mix":12} {"load":>4} {"policy":16} {"short p95":>10} '
        f'{"draft p95":>10} {"uncached":>9} {"cost/1000":>10}'
    )
    for mix in MIXES:
        for factor in (1, 2):
            jobs = WorkloadGenerator(mix, SEED).make_jobs(((SECONDS, factor),))
            for name, make_policy in POLICIES.items():
                summary = summarize(run_case(mix, make_policy, jobs))
                print(
                    f'{mix.name:12} {factor:>3}x {name:16} {summary[0]:>9.3f}s '
                    f'{summary[1]:>9.3f}s {summary[2]:>8.1%} '
                    f'{summary[3]:>10.4f}'
                )


def measure_choice_time(servers: int) -> float:
    """Return the processor microseconds of routing one call."""
    mix = replace(HIVATAL, engines=servers)
    policy = CostBasedPolicy(make_configuration(mix), 0)
    jobs = WorkloadGenerator(mix, SEED).make_jobs(((100, 1),))
    start = time.process_time()
    for job in jobs:
        policy.choose(job, job.arrived)
    return (time.process_time() - start) / len(jobs) * MICROSECONDS_PER_SECOND


if __name__ == '__main__':
    started = time.monotonic()
    main()
    for servers in (9, 24, 400):
        spent = measure_choice_time(servers)
        print(f'{servers} servers: {spent:.0f} us of processor time per choice')
    print(f'took {time.monotonic() - started:.0f} s', file=sys.stderr)
