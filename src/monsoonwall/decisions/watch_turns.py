"""Decide which hosts of a zone watch the platform's store, and when.

Each watch is a call, so only a few hosts of a zone watch at a time. The store
may ignore any of them without a sign, which a host notices only when its watch
times out. The hosts therefore take turns: another one begins to watch every
few hundred milliseconds, and receives at once what the ignored ones missed.

The hosts agree on nothing. Each computes the order from the hosts of its zone
that it knows. Where these differ for a moment, or the clock of a host is wrong,
a turn is taken twice or not at all.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.hashing import hash_text

# Watches that a zone keeps open at any time.
TURNS_AT_ONCE: Final = 3
# A host must have its next turn before the store discards the history since
# its last one.
_MAX_HOSTS: Final = 24
# The rest of a turn is not worth a call if it is shorter than this.
_MIN_REST_SECONDS: Final = 0.1
# From the end of a turn until the watching host has the store's response.
_RESPONSE_SECONDS: Final = 0.05


@dataclass(frozen=True)
class Turn:
    """Hold the time in which a host watches the store, in seconds.

    Times are those of the clock that ``find_turn`` was given.
    """

    begins_at: float
    ends_at: float


_NEVER: Final = Turn(math.inf, math.inf)


def find_turn(
    own_name: str, hosts: Iterable[str], now: float, turn_seconds: float
) -> Turn:
    """Return the turn of a host that goes on now, or else its next one.

    ``hosts`` are those of the zone, the own host included. ``now`` must be
    about the same on all of them. In a zone of at most ``TURNS_AT_ONCE`` hosts
    the turns of a host follow each other without a pause.
    """
    order = _order_hosts(hosts)
    if own_name not in order:
        return _NEVER
    step_seconds = turn_seconds / TURNS_AT_ONCE
    cycle_seconds = step_seconds * max(len(order), TURNS_AT_ONCE)
    offset = order.index(own_name) * step_seconds
    cycles = (now - offset) // cycle_seconds
    begins_at = cycles * cycle_seconds + offset
    if now > begins_at + turn_seconds - _MIN_REST_SECONDS:
        begins_at += cycle_seconds
    return Turn(begins_at, begins_at + turn_seconds)


def find_latest_watcher(
    hosts: Iterable[str], now: float, turn_seconds: float
) -> str:
    """Return the host whose turn has ended last, and had time to respond."""
    order = _order_hosts(hosts)
    step_seconds = turn_seconds / TURNS_AT_ONCE
    turns = int((now - turn_seconds - _RESPONSE_SECONDS) // step_seconds)
    return order[turns % max(len(order), TURNS_AT_ONCE) % len(order)]


def _order_hosts(hosts: Iterable[str]) -> list[str]:
    return sorted(hosts, key=hash_text)[:_MAX_HOSTS]
