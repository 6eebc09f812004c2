"""Draw what happens in one run of the soak."""

from dataclasses import dataclass
from random import Random

# Troubles begin after the hosts know each other, and end before the last check.
QUIET_SECONDS = 1.0
# Kinds and the longest time that each lasts, in seconds.
FAULT_KINDS = {
    'kill_host': 0.5,
    'kill_all_hosts': 0.5,
    'pause_host': 2.5,
    'stop_host': 0.5,
    'reload_host': 0,
    'store_refuses': 3.0,
    'kill_servers': 0,
    'reset_channels': 0,
    'slow_servers': 2.0,
    'configure': 0,
}
RARE_KINDS = ('kill_all_hosts',)
RARE_PROBABILITY = 0.3


@dataclass(frozen=True)
class Fault:
    """Tell what happens when, in seconds from the begin of the load.

    ``target`` is a part of the things that it may hit, from 0 to 1.
    """

    at: float
    kind: str
    seconds: float
    target: float


@dataclass(frozen=True)
class Plan:
    """Hold what a seed draws."""

    seed: int
    seconds: float
    hosts: int
    servers: int
    callers: int
    crashing_requests: int
    faults: tuple[Fault, ...]


def make_plan(seed, seconds, only=()):
    """Return the plan of a seed; each part has random numbers of its own."""
    sizes = Random(f'{seed}/sizes')
    kinds = [kind for kind in FAULT_KINDS if not only or kind in only]
    return Plan(
        seed,
        seconds,
        hosts=sizes.randint(2, 4),
        servers=sizes.randint(4, 7),
        callers=sizes.randint(4, 9),
        crashing_requests=sizes.randint(0, 2),
        faults=tuple(
            sorted(
                (
                    fault
                    for kind in kinds
                    for fault in _draw_faults(
                        Random(f'{seed}/{kind}'), kind, seconds
                    )
                ),
                key=lambda fault: fault.at,
            )
        ),
    )


def _draw_faults(random, kind, seconds):
    """Return up to three troubles of a kind, one after the other or at once."""
    if kind in RARE_KINDS and random.random() > RARE_PROBABILITY:
        return []
    count = 1 if kind in RARE_KINDS else random.randint(0, 3)
    return [
        Fault(
            random.uniform(QUIET_SECONDS, seconds),
            kind,
            random.uniform(0.2, 1) * FAULT_KINDS[kind],
            random.random(),
        )
        for _ in range(count)
    ]
