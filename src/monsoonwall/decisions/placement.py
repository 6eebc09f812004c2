"""Choose the backend server for a request at the gateway.

A request goes to the server where its response is expected to start first. The
estimate counts the prompt tokens still to be computed there and what is
cached, not the number of requests, since prompt sizes differ by a factor of
100. This keeps waits short during bursts and after servers are lost.

Hosts learn about each other's requests with a delay. If all hosts chose among
all servers, the server that looks best would receive the requests of the
whole fleet until the reports arrive. So each request considers a random
sample of the servers, which is smaller the more hosts there are.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

# Cost of latency and traffic to another zone, as seconds of waiting.
_CROSS_ZONE_SECONDS: Final = 0.01
# A server whose requests all fail is used only if the others are slower by
# more than this.
_FAILING_SECONDS: Final = 1.0
# Each running request slows the token generation of all others. The engines'
# data sheets give 0.12 ms per step, so 100 steps cost this much.
_CONCURRENCY_SECONDS: Final = 0.012
# Up to this many hosts learn of each other's requests soon enough to choose
# among all servers.
_FULL_CHOICE_HOSTS: Final = 9
_MIN_SAMPLE: Final = 2


@dataclass(frozen=True)
class Candidate:
    """Describe a server as a candidate for one request.

    ``waiting_tokens`` estimates the prompt tokens that the server computes
    before this request's, ``new_tokens`` those of its own prompt that are
    not cached. ``busy_seconds`` is the mean duration of a request.
    ``failing`` is the fraction of recent attempts that failed, ``ejected``
    is whether the server is excluded for a time after failures (outlier
    ejection). ``suspects`` counts the requests there that may have crashed
    other servers.
    """

    server: str
    same_zone: bool
    slots: int
    running: float
    waiting_tokens: float = 0
    new_tokens: float = 0
    tokens_per_second: float = 1
    busy_seconds: float = 0
    failing: float = 0
    ejected: bool = False
    suspects: int = 0


@dataclass(frozen=True)
class Placement:
    """Hold the chosen server and the expected time to the response.

    ``full`` is whether all slots of the server are taken.
    """

    server: str
    start_seconds: float
    full: bool


def sample_servers(
    names: Collection[str], hosts: int, random: Random
) -> tuple[str, ...]:
    """Return a random sample of servers for one request to consider."""
    size = max(
        _MIN_SAMPLE, -(-len(names) * _FULL_CHOICE_HOSTS // max(1, hosts))
    )
    ordered = sorted(names)
    if size >= len(ordered):
        return tuple(ordered)
    return tuple(random.sample(ordered, size))


def estimate_start(candidate: Candidate) -> float:
    """Return the expected seconds until the response starts."""
    prefill_tokens = candidate.waiting_tokens + candidate.new_tokens
    excess = max(0, candidate.running + 1 - candidate.slots)
    queueing = excess * candidate.busy_seconds / max(1, candidate.slots)
    return prefill_tokens / candidate.tokens_per_second + queueing


def choose_server(
    candidates: Sequence[Candidate], suspect: bool = False
) -> Placement | None:
    """Return the cheapest server for a request, None without candidates.

    A ``suspect`` request goes to a server without other suspects if possible,
    so that the next crash shows which of them caused it.
    """
    if not candidates:
        return None
    available = [
        candidate for candidate in candidates if not candidate.ejected
    ] or candidates
    without_suspects = [
        candidate
        for candidate in available
        if suspect and not candidate.suspects
    ]
    best = min(without_suspects or available, key=_compute_cost)
    return Placement(
        best.server, estimate_start(best), best.running >= best.slots
    )


def _compute_cost(candidate: Candidate) -> tuple[float, str]:
    zone_cost = 0 if candidate.same_zone else _CROSS_ZONE_SECONDS
    concurrency_cost = (
        _CONCURRENCY_SECONDS * candidate.running / max(1, candidate.slots)
    )
    failure_cost = _FAILING_SECONDS * candidate.failing
    cost = (
        estimate_start(candidate) + zone_cost + concurrency_cost + failure_cost
    )
    return cost, candidate.server
