"""Compare ways of choosing backend servers on both users' mixes.

Usage: PYTHONPATH=src:. python -m benchmarks.routing
"""

import sys
import time
from dataclasses import replace
from types import MappingProxyType

from benchmarks.mixes import (
    HIVATAL,
    MIXES,
    CallMaker,
    make_configuration,
    make_specs,
)
from benchmarks.policies import (
    LeastLoaded,
    PrefixAffinity,
    RoundRobin,
    Weighed,
)
from benchmarks.queueing import Cluster, is_short, measure_quantile

SECONDS = 120
WARMUP_SECONDS = 30
SEED = 1
MICROSECONDS = 1_000_000
POLICIES = MappingProxyType(
    {
        'round robin': RoundRobin,
        'least loaded': LeastLoaded,
        'prefix affinity': PrefixAffinity,
        'weighed': Weighed,
    }
)


def run_case(mix, make_policy, jobs):
    """Return the outcome of one run; jobs are copied, not used up."""
    configuration = make_configuration(mix)
    policies = [make_policy(configuration, host) for host in range(mix.hosts)]
    cluster = Cluster(make_specs(mix), policies, SEED)
    return cluster.run([replace(job) for job in jobs], SECONDS + 600)


def summarize(outcome) -> tuple[float, ...]:
    """Return p95 for short calls and drafts, uncached part and cost."""
    waits = {True: [], False: []}
    for job in outcome.jobs:
        if job.arrived >= WARMUP_SECONDS:
            waits[is_short(job)].append(job.first_token - job.arrived)
    return (
        measure_quantile(waits[True], 0.95),
        measure_quantile(waits[False], 0.95),
        outcome.uncached / outcome.prompt_words,
        outcome.cost / len(outcome.jobs) * 1000,
    )


def main() -> None:
    """Print one row for each mix, load and policy."""
    print(
        f'{"mix":12} {"load":>4} {"policy":16} {"short p95":>10} '
        f'{"draft p95":>10} {"uncached":>9} {"cost/1000":>10}'
    )
    for mix in MIXES:
        for factor in (1, 2):
            jobs = CallMaker(mix, SEED).make_jobs(((SECONDS, factor),))
            for name, make_policy in POLICIES.items():
                rows = summarize(run_case(mix, make_policy, jobs))
                print(
                    f'{mix.name:12} {factor:>3}x {name:16} {rows[0]:>9.3f}s '
                    f'{rows[1]:>9.3f}s {rows[2]:>8.1%} {rows[3]:>10.4f}'
                )


def measure_choice(servers: int) -> float:
    """Return the processor microseconds of one routed call."""
    mix = replace(HIVATAL, engines=servers)
    policy = Weighed(make_configuration(mix), 0)
    jobs = CallMaker(mix, SEED).make_jobs(((100, 1),))
    begun = time.process_time()
    for job in jobs:
        policy.choose(job, job.arrived)
    return (time.process_time() - begun) / len(jobs) * MICROSECONDS


if __name__ == '__main__':
    started = time.monotonic()
    main()
    for servers in (9, 24, 400):
        spent = measure_choice(servers)
        print(f'{servers} servers: {spent:.0f} us of processor time a choice')
    print(f'took {time.monotonic() - started:.0f} s', file=sys.stderr)
