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
_SERVERS_PER_AFFINITY: Final = 3
_AFFINITY_DEPTHS: Final = (1, 8, 64)
# Engines compute long prompts in chunks, between which urgent ones come.
_CHUNK_TOKENS: Final = 1024
_MIN_TIE_SECONDS: Final = 0.01
_TIE_PER_REPORT_SECOND: Final = 0.02
_MAX_TIE_SECONDS: Final = 0.08
_ISOLATION_PENALTY_SECONDS: Final = 5.0


@dataclass(frozen=True)
class Weights:
    """State what a second of each kind is worth.

    ``wait`` multiplies the time to the first token. ``recompute`` multiplies
    the engine time of the prompt, which delays others and evicts what they
    have cached. ``price`` multiplies the engine time by the server's price,
    among servers that meet the route's target; one that misses it is charged
    as if it had the highest price. ``cross_zone_seconds`` is added in another zone.
    """

    wait: float = 0.5
    recompute: float = 3.0
    price: float = 0.1
    cross_zone_seconds: float = 0.02


@dataclass(frozen=True)
class Candidate:
    """Describe one server that could run the attempt."""

    server: str
    zone: str
    price_per_hour: float
    cached_tokens: float
    load: ServerLoad


@dataclass(frozen=True)
class RoutingRequest:
    """Describe the attempt; ``seed`` is a hash of the request."""

    prompt_tokens: int
    urgent: bool
    target_seconds: float
    zone: str
    seed: int
    content_key: str
    highest_price: float = 0


def estimate_wait(candidate: Candidate, request: RoutingRequest) -> float:
    """Return the seconds to the first token that are to be expected."""
    load = candidate.load
    excess = max(0, load.in_flight + 1 - load.capacity)
    if request.urgent:
        # Engines serve urgent requests first, so others do not delay it.
        excess = min(excess, load.urgent + 1)
    queued = excess * load.hold_seconds / load.capacity
    tokens = load.backlog_tokens
    if request.urgent:
        tokens = min(tokens, load.urgent_tokens + _CHUNK_TOKENS)
    return queued + tokens / load.prefill_rate


def compute_cost(
    candidate: Candidate, request: RoutingRequest, weights: Weights
) -> float:
    """Return the cost of a candidate in seconds; less is better."""
    load = candidate.load
    prefill_seconds = _estimate_prefill_seconds(candidate, request)
    wait = estimate_wait(candidate, request) + prefill_seconds
    engine_seconds = prefill_seconds + load.hold_seconds / load.capacity
    zone_penalty = (
        0 if candidate.zone == request.zone else weights.cross_zone_seconds
    )
    return (
        weights.wait * wait
        + weights.recompute * prefill_seconds
        + weights.price
        * engine_seconds
        * _choose_price(candidate, request, wait)
        + zone_penalty
        + _ISOLATION_PENALTY_SECONDS * bool(load.isolated)
    )


def choose_candidate(
    candidates: Sequence[Candidate], request: RoutingRequest, weights: Weights
) -> Candidate:
    """Return the cheaper of two near-equal candidates.

    The two are drawn by the request's hash, so that hosts with the same late
    view do not all take the same one.
    """
    costs = [compute_cost(one, request, weights) for one in candidates]
    bound = min(costs) + _compute_tie_margin(candidates, min(costs))
    tied = [(cost, index) for index, cost in enumerate(costs) if cost <= bound]
    first = tied[request.seed % len(tied)]
    second = tied[request.seed // len(tied) % len(tied)]
    return candidates[min(first, second)[1]]


def choose_isolated(
    candidates: Sequence[Candidate], request: RoutingRequest
) -> Candidate:
    """Return a server that runs no other suspect and as little as can be."""
    return min(
        candidates,
        key=lambda one: (
            one.load.isolated,
            one.load.in_flight,
            _hash_pair(request.content_key, one.server),
        ),
    )


def choose_shortlist(
    servers: Sequence[str], seed: int, affinities: Sequence[str]
) -> Sequence[str]:
    """Return a few servers of many: the same for equal prefixes, and drawn.

    Weighing hundreds of servers for each request would take more processor
    time than routing may have.
    """
    total = len(servers)
    if total <= _SHORTLIST_SIZE:
        return servers
    indexes = {
        (hash_text(affinity) + step) % total
        for affinity in affinities
        for step in range(_SERVERS_PER_AFFINITY)
    }
    stride = 1 + seed % (total - 1)
    random_indexes = (
        (seed + step * stride) % total
        for step in range(_SHORTLIST_SIZE - len(indexes))
    )
    return [servers[index] for index in sorted(indexes.union(random_indexes))]


def choose_affinity_keys(keys: Sequence[str], fallback: str) -> list[str]:
    """Return the prefix keys by which equal prompts find each other."""
    depths = [depth for depth in _AFFINITY_DEPTHS if depth <= len(keys)]
    return [keys[depth - 1] for depth in depths] or [fallback]


def _estimate_prefill_seconds(
    candidate: Candidate, request: RoutingRequest
) -> float:
    uncached = max(0, request.prompt_tokens - candidate.cached_tokens)
    return uncached / candidate.load.prefill_rate


def _choose_price(
    candidate: Candidate, request: RoutingRequest, wait: float
) -> float:
    # What is cheap but late is no bargain.
    if wait <= request.target_seconds:
        return candidate.price_per_hour
    return max(candidate.price_per_hour, request.highest_price)


def _compute_tie_margin(candidates: Sequence[Candidate], least: float) -> float:
    oldest = max(one.load.report_age for one in candidates)
    return min(
        _MAX_TIE_SECONDS,
        _MIN_TIE_SECONDS + _TIE_PER_REPORT_SECOND * oldest,
        max(_MIN_TIE_SECONDS, least),
    )


def _hash_pair(key: str, server: str) -> int:
    return hash_text(f'{key}/{server}')
