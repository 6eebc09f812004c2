"""Choose the server for a request.

Answers bursts and lost servers: work goes where its answer begins first, by
prompt tokens that are yet to be read there and by what is cached, rather
than by the number of requests, since prompts differ a hundredfold.

Answers many hosts that hear of each other's work late: if all of them chose
among all servers, the one that looked best would get the work of the whole
fleet until they heard of it. So each request looks at a few servers, fewer
the more hosts there are.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

# What the way to another zone and its traffic cost, compared with waiting.
_CROSS_ZONE_SECONDS: Final = 0.01
# A server whose requests all fail is used only if others take this much more.
_FAILING_SECONDS: Final = 1.0
# Each running request slows the tokens of all others; the engines' sheets
# tell 0.12 ms a step, so that a hundred steps cost this much.
_CONCURRENCY_SECONDS: Final = 0.012
# Hosts that hear of each other's work soon enough to choose among all servers.
_FULL_CHOICE_HOSTS: Final = 9
_MIN_SAMPLE: Final = 2


@dataclass(frozen=True)
class Candidate:
    """Describe a server as it looks to one request.

    ``waiting_tokens`` are the prompt tokens believed to be read before this
    request's, ``new_tokens`` those of its own prompt that are not cached.
    ``busy_seconds`` is how long a request takes on average. ``failing`` is
    the part of recent attempts that failed, ``ejected`` whether the server
    is left alone after failures. ``suspects`` counts the requests there that
    may have ended other servers.
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
    """Name the chosen server and when an answer is expected to begin."""

    server: str
    start_seconds: float
    full: bool


def sample_servers(
    names: Collection[str], hosts: int, random: Random
) -> tuple[str, ...]:
    """Return the servers that one request looks at."""
    size = max(
        _MIN_SAMPLE, -(-len(names) * _FULL_CHOICE_HOSTS // max(1, hosts))
    )
    ordered = sorted(names)
    if size >= len(ordered):
        return tuple(ordered)
    return tuple(random.sample(ordered, size))


def estimate_start(candidate: Candidate) -> float:
    """Return in how many seconds an answer would begin."""
    prefill_tokens = candidate.waiting_tokens + candidate.new_tokens
    excess = max(0, candidate.running + 1 - candidate.slots)
    queueing = excess * candidate.busy_seconds / max(1, candidate.slots)
    return prefill_tokens / candidate.tokens_per_second + queueing


def choose_server(
    candidates: Sequence[Candidate], suspect: bool = False
) -> Placement | None:
    """Return where a request costs least, None without candidates.

    A suspect goes apart from others where it can, so that the next crash tells
    them from each other.
    """
    if not candidates:
        return None
    available = [one for one in candidates if not one.ejected] or candidates
    without_suspects = [
        one for one in available if suspect and not one.suspects
    ]
    best = min(without_suspects or available, key=_compute_cost)
    return Placement(
        best.server, estimate_start(best), best.running >= best.slots
    )


def _compute_cost(candidate: Candidate) -> tuple[float, str]:
    distance = 0 if candidate.same_zone else _CROSS_ZONE_SECONDS
    crowding = (
        _CONCURRENCY_SECONDS * candidate.running / max(1, candidate.slots)
    )
    failing = _FAILING_SECONDS * candidate.failing
    cost = estimate_start(candidate) + distance + crowding + failing
    return cost, candidate.server
