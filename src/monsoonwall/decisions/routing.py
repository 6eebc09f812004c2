"""Choose the backend server for an attempt.

Each candidate gets a cost in seconds: the expected time to the first token,
measured against the route's target, and the priced engine time that the
prompt will use. Candidates whose costs are nearly the same are told apart by
a hash of the request, so that many entry hosts with the same late view do not
all take the same one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.hashing import hash_text
from monsoonwall.decisions.load import ServerLoad

_SHORTLIST_SIZE: Final = 24
_NEIGHBOURS: Final = 8
_MIN_TIE_SECONDS: Final = 0.01
_TIE_PER_REPORT_SECOND: Final = 0.02
_MAX_TIE_SECONDS: Final = 0.08
_ISOLATED_SECONDS: Final = 5.0


@dataclass(frozen=True)
class Weights:
    """State what a second of each kind is worth.

    ``late`` multiplies the wait past the route's target, ``recompute`` the
    engine time of the prompt, ``far_seconds`` is added in another zone.
    """

    late: float = 3.0
    recompute: float = 0.4
    price: float = 0.2
    far_seconds: float = 0.05


@dataclass(frozen=True)
class Candidate:
    """Describe one server that could run the attempt."""

    server: str
    zone: str
    price_per_hour: float
    cached_tokens: float
    load: ServerLoad


@dataclass(frozen=True)
class Need:
    """Describe the attempt; ``seed`` and ``affinity`` are hashes."""

    prompt_tokens: int
    urgent: bool
    target_seconds: float
    zone: str
    seed: int
    affinity: str


def estimate_wait(candidate: Candidate, need: Need) -> float:
    """Return the seconds to the first token that are to be expected."""
    load = candidate.load
    over = max(0, load.in_flight + 1 - load.capacity)
    if need.urgent:
        # Engines serve urgent requests first, so others do not delay it.
        over = min(over, load.urgent + 1)
    queued = over * load.hold_seconds / load.capacity
    return queued + load.backlog_tokens / load.prefill_rate


def weigh_candidate(
    candidate: Candidate, need: Need, weights: Weights
) -> float:
    """Return the cost of a candidate in seconds; less is better."""
    uncached = max(0, need.prompt_tokens - candidate.cached_tokens)
    computing = uncached / candidate.load.prefill_rate
    wait = estimate_wait(candidate, need) + computing
    late = max(0, wait - need.target_seconds)
    engine_seconds = computing + candidate.load.hold_seconds * weights.price
    far = 0 if candidate.zone == need.zone else weights.far_seconds
    return (
        min(wait, need.target_seconds)
        + weights.late * late
        + weights.recompute * engine_seconds * candidate.price_per_hour
        + far
        + _ISOLATED_SECONDS * bool(candidate.load.isolated)
    )


def choose_candidate(
    candidates: Sequence[Candidate], need: Need, weights: Weights
) -> Candidate:
    """Return the cheaper of two near-equal candidates.

    The two are drawn by hash: one by the prompt's first block, which brings
    equal prompts together before any cache is known, one by the request.
    """
    costs = [weigh_candidate(one, need, weights) for one in candidates]
    least = min(costs)
    bound = least + _measure_tie(candidates, least)
    near = [
        (cost, one)
        for cost, one in zip(costs, candidates, strict=True)
        if cost <= bound
    ]
    first = max(
        near, key=lambda pair: _hash_pair(need.affinity, pair[1].server)
    )
    second = near[need.seed % len(near)]
    return min(first, second, key=lambda pair: pair[0])[1]


def choose_isolated(candidates: Sequence[Candidate], need: Need) -> Candidate:
    """Return a server that runs no other suspect and as little as can be."""
    return min(
        candidates,
        key=lambda one: (
            one.load.isolated,
            one.load.in_flight,
            _hash_pair(need.affinity, one.server),
        ),
    )


def shorten_list(
    servers: Sequence[str], seed: int, affinity: str
) -> Sequence[str]:
    """Return a few servers of many: neighbours by affinity, and drawn ones.

    Weighing hundreds of servers for each request would take more processor
    time than routing may have.
    """
    total = len(servers)
    if total <= _SHORTLIST_SIZE:
        return servers
    begin = hash_text(affinity)
    places = {(begin + step) % total for step in range(_NEIGHBOURS)}
    stride = 1 + seed % (total - 1)
    drawn = (
        (seed + step * stride) % total
        for step in range(_SHORTLIST_SIZE - _NEIGHBOURS)
    )
    return [servers[place] for place in sorted(places.union(drawn))]


def _measure_tie(candidates: Sequence[Candidate], least: float) -> float:
    oldest = max(one.load.report_age for one in candidates)
    return min(
        _MAX_TIE_SECONDS,
        _MIN_TIE_SECONDS + _TIE_PER_REPORT_SECOND * oldest,
        max(_MIN_TIE_SECONDS, least),
    )


def _hash_pair(key: str, server: str) -> int:
    return hash_text(f'{key}/{server}')
