"""Choose the backend server for an attempt at an entry host.

Each candidate has a cost in seconds. It combines the expected time to the
first token, the engine time to compute the prompt and the price of the engine
time, which depends on whether the route's latency target is met. A hash of
the request decides between candidates of nearly equal cost, so that entry
hosts with the same outdated view do not all choose the same server.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from monsoonwall.decisions.hashing import hash_text
from monsoonwall.decisions.load import ServerLoad

_SHORTLIST_SIZE: Final = 24
# Servers on the shortlist for each prefix, and the lengths of these prefixes in
# blocks of words.
_SERVERS_PER_AFFINITY: Final = 3
_AFFINITY_DEPTHS: Final = (1, 8, 64)
# Engines compute long prompts in chunks of this size and serve urgent requests
# between the chunks.
_CHUNK_TOKENS: Final = 1024
# Candidates whose costs differ by no more than a margin count as equal. The
# margin grows by this much with each second of the oldest report's age.
_MIN_TIE_SECONDS: Final = 0.01
_TIE_PER_REPORT_SECOND: Final = 0.02
_MAX_TIE_SECONDS: Final = 0.08
# Keeps other requests off a server that runs a suspect request.
_ISOLATION_PENALTY_SECONDS: Final = 5.0


@dataclass(frozen=True)
class CostWeights:
    """Hold the weights of the terms of a candidate's cost.

    ``wait`` multiplies the time to the first token. ``recompute`` multiplies
    the engine time of the prompt, which delays other requests and evicts
    their cached prefixes. ``price`` multiplies the engine time times the
    server's price; a server that misses the route's target is charged the
    highest price. ``cross_zone_seconds`` is added for a server in another
    zone.
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
    """Describe the attempt to route.

    ``target_seconds`` is the route's target for the first token, ``seed`` a
    hash of the request, and ``highest_price`` that of all candidates.
    """

    prompt_tokens: int
    urgent: bool
    target_seconds: float
    zone: str
    seed: int
    content_key: str
    highest_price: float = 0


def estimate_wait(candidate: Candidate, request: RoutingRequest) -> float:
    """Return the seconds until the engine begins to compute the prompt."""
    load = candidate.load
    excess = max(0, load.in_flight + 1 - load.capacity)
    if request.urgent:
        # Engines serve urgent requests first, so only those delay it.
        excess = min(excess, load.urgent + 1)
    queued = excess * load.hold_seconds / load.capacity
    tokens = load.backlog_tokens
    if request.urgent:
        tokens = min(tokens, load.urgent_tokens + _CHUNK_TOKENS)
    return queued + tokens / load.prefill_rate


def compute_cost(
    candidate: Candidate, request: RoutingRequest, weights: CostWeights
) -> float:
    """Return the cost of a candidate in seconds."""
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
    candidates: Sequence[Candidate],
    request: RoutingRequest,
    weights: CostWeights,
) -> Candidate:
    """Return the cheaper of two candidates of nearly the least cost.

    The request's hash selects the two, so that hosts with the same outdated
    view do not all choose the same server.
    """
    costs = [
        compute_cost(candidate, request, weights) for candidate in candidates
    ]
    bound = min(costs) + _compute_tie_margin(candidates, min(costs))
    tied = [(cost, index) for index, cost in enumerate(costs) if cost <= bound]
    first = tied[request.seed % len(tied)]
    second = tied[request.seed // len(tied) % len(tied)]
    return candidates[min(first, second)[1]]


def choose_isolated(
    candidates: Sequence[Candidate], request: RoutingRequest
) -> Candidate:
    """Return the server for a suspect request that has to run isolated.

    It has the fewest other isolated requests and, among those, the fewest
    requests in flight.
    """
    return min(
        candidates,
        key=lambda candidate: (
            candidate.load.isolated,
            candidate.load.in_flight,
            _hash_pair(request.content_key, candidate.server),
        ),
    )


def choose_shortlist(
    servers: Sequence[str], seed: int, affinities: Sequence[str]
) -> Sequence[str]:
    """Return a shortlist of servers: some by prefix, others at random.

    Equal prefixes select the same servers. Computing the cost of hundreds of
    servers for each request would take too much processor time.
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
    """Return the prefix keys by which similar prompts share servers."""
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
    # For a server that misses the target, a low price is no advantage.
    if wait <= request.target_seconds:
        return candidate.price_per_hour
    return max(candidate.price_per_hour, request.highest_price)


def _compute_tie_margin(
    candidates: Sequence[Candidate], least_cost: float
) -> float:
    oldest = max(candidate.load.report_age for candidate in candidates)
    return min(
        _MAX_TIE_SECONDS,
        _MIN_TIE_SECONDS + _TIE_PER_REPORT_SECOND * oldest,
        max(_MIN_TIE_SECONDS, least_cost),
    )


def _hash_pair(key: str, server: str) -> int:
    return hash_text(f'{key}/{server}')
