"""Plan how streams move away from a backend server that is reclaimed.

A stream can finish on the server if it is certain to end in time, move with
its KV cache, or resume on another server, which computes the prompt and the
tokens so far again. When many streams have to move, the time until the
deadline is too short to transfer all caches, so the largest go first.

Other entry hosts move their streams over the same link, and this host cannot
know how much of it they use. So plans assume the whole link and are made
again several times a second. A transfer that ends too late costs no more than
resuming at once, since the stream continues while its cache is copied, but a
cache that is never sent always has to be computed again.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum


class StreamMoveKind(StrEnum):
    """State how a stream leaves the server."""

    finish = 'finish'
    transfer = 'transfer'
    resume = 'resume'


@dataclass(frozen=True)
class StreamMoveCosts:
    """Hold the estimated costs of moves.

    The rates are in tokens per second, for one backend server.
    ``token_seconds`` is the time between two tokens of a stream. Moves have to
    end ``margin_seconds`` before the deadline.
    """

    transfer_rate: float = 50_000
    transfer_overhead_seconds: float = 0.03
    prefill_rate: float = 8000
    token_seconds: float = 0.067
    parallel_transfers: int = 2
    margin_seconds: float = 0.2


@dataclass(frozen=True)
class StreamAtRisk:
    """Describe a stream on a leaving server.

    ``held_tokens`` counts its tokens in the server's KV cache, including the
    prompt, ``remaining_tokens`` those that the answer may still grow by.
    """

    request_id: str
    held_tokens: int
    remaining_tokens: int


@dataclass(frozen=True)
class StreamMoveWindow:
    """Bound the moves from one server; times are monotonic seconds.

    ``tokens_under_way`` counts the tokens that running transfers still send.
    """

    now: float
    deadline: float
    tokens_under_way: int = 0


@dataclass(frozen=True)
class PlannedStreamMove:
    """Hold how one stream leaves; moves are made in the plan's order."""

    request_id: str
    kind: StreamMoveKind


def plan_stream_moves(
    streams: Sequence[StreamAtRisk],
    window: StreamMoveWindow,
    costs: StreamMoveCosts,
) -> tuple[PlannedStreamMove, ...]:
    """Return the moves of all streams, those with the most tokens first.

    Large transfers have less overhead per token, so scheduling the largest
    first, and then all smaller ones that still fit, saves the most
    computation.
    """
    ordered = sorted(
        streams, key=lambda stream: (-stream.held_tokens, stream.request_id)
    )
    link = _Link(window, costs)
    return tuple(
        PlannedStreamMove(
            stream.request_id, _choose_kind(stream, window, costs, link)
        )
        for stream in ordered
    )


def estimate_transfer_seconds(tokens: int, costs: StreamMoveCosts) -> float:
    """Return the duration of a transfer that has the whole link."""
    return costs.transfer_overhead_seconds + tokens / costs.transfer_rate


class _Link:
    """Schedule transfers one after the other on a server's link."""

    def __init__(
        self, window: StreamMoveWindow, costs: StreamMoveCosts
    ) -> None:
        self._costs = costs
        self._latest_end = window.deadline - costs.margin_seconds
        under_way = window.tokens_under_way / costs.transfer_rate
        self._free_at = window.now + under_way

    def reserve(self, tokens: int) -> bool:
        """Schedule a transfer and return True, if it can end in time."""
        sent_at = self._free_at + tokens / self._costs.transfer_rate
        if sent_at + self._costs.transfer_overhead_seconds > self._latest_end:
            return False
        self._free_at = sent_at
        return True


def _choose_kind(
    stream: StreamAtRisk,
    window: StreamMoveWindow,
    costs: StreamMoveCosts,
    link: _Link,
) -> StreamMoveKind:
    generation_seconds = stream.remaining_tokens * costs.token_seconds
    if (
        window.now + generation_seconds + costs.margin_seconds
        <= window.deadline
    ):
        return StreamMoveKind.finish
    recompute_seconds = stream.held_tokens / costs.prefill_rate
    if recompute_seconds <= estimate_transfer_seconds(
        stream.held_tokens, costs
    ):
        return StreamMoveKind.resume
    if link.reserve(stream.held_tokens):
        return StreamMoveKind.transfer
    return StreamMoveKind.resume
