"""Draw the sizes and the faults of one soak run from a seed."""

from dataclasses import dataclass
from random import Random

# No fault begins earlier, so that the hosts are in contact first. All faults
# end before the final check for recovery.
QUIET_SECONDS = 1.0
# Kinds of faults and the longest time that each lasts, in seconds. Each is the
# name of a method of SoakCase.
FAULT_KINDS = {
    'kill_host': 0.5,
    'kill_all_hosts': 0.5,
    'pause_host': 2.5,
    'stop_host': 0.5,
    'reload_host': 0,
    'store_refuses': 3.0,
    'store_falls_silent': 5.0,
    'kill_servers': 0,
    'reset_channels': 0,
    'slow_servers': 2.0,
    'configure': 0,
    'revoke_key': 0,
    'limit_servers': 9.0,
    'server_leaves': 0,
}
RARE_KINDS = ('kill_all_hosts',)
RARE_PROBABILITY = 0.3


@dataclass(frozen=True)
class Fault:
    """One fault; ``at`` is in seconds after the callers started.

    ``target`` is a number from 0 to 1 that selects the host, or how many
    servers are hit.
    """

    at: float
    kind: str
    seconds: float
    target: float


@dataclass(frozen=True)
class Plan:
    """Sizes and faults of one run.

    ``crashing_requests`` is the number of different requests that crash
    servers.
    """

    seed: int
    seconds: float
    hosts: int
    servers: int
    callers: int
    crashing_requests: int
    faults: tuple[Fault, ...]


def make_plan(seed, seconds, only=()):
    """Return the plan of a seed, with only the kinds of faults in ``only``.

    Each kind has its own random numbers, so leaving out others does not
    change its faults.
    """
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
    """Return up to three faults of a kind, which may overlap.

    A rare kind has at most one.
    """
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
