"""Plan how the streams leave a backend server that is being reclaimed.

A stream can stay if it is sure to end in time, take its KV cache along, or
resume elsewhere from its tokens, where they and the prompt are computed
again. The time until the deadline is too short for all caches in a bad wave,
so that those worth most go first.

Other entry hosts move their streams over the same link, and this one cannot
know how much of it they use. Plans therefore count on the whole link and are
made again several times a second: a transfer that ends too late costs nothing
that resuming would have saved, since the stream goes on while its cache is
copied, but a cache that was never sent is computed again for certain.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum


class MoveKind(StrEnum):
    """Name how a stream leaves."""

    finish = 'finish'
    transfer = 'transfer'
    resume = 'resume'


@dataclass(frozen=True)
class MoveCosts:
    """Estimate what moves cost.

    The rates are in tokens a second, of one backend server. ``margin_seconds``
    is kept free before the deadline.
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

    ``held_tokens`` counts what the server has in its KV cache for it, prompt
    included; ``remaining_tokens`` what the answer may still grow by.
    """

    request_id: str
    held_tokens: int
    remaining_tokens: int


@dataclass(frozen=True)
class MoveWindow:
    """Bound the moves from one server; times are monotonic seconds.

    ``tokens_under_way`` counts what running transfers have to carry.
    """

    now: float
    deadline: float
    tokens_under_way: int = 0


@dataclass(frozen=True)
class PlannedMove:
    """Name how one stream leaves; moves are made in the plan's order."""

    request_id: str
    kind: MoveKind


def plan_moves(
    streams: Sequence[StreamAtRisk], window: MoveWindow, costs: MoveCosts
) -> tuple[PlannedMove, ...]:
    """Return the moves of all streams, most tokens at stake first.

    The largest transfers also have the least overhead a token, so taking
    them first, and whatever smaller ones still fit, saves most.
    """
    ordered = sorted(
        streams, key=lambda one: (-one.held_tokens, one.request_id)
    )
    link = _Link(window, costs)
    return tuple(
        PlannedMove(one.request_id, _choose_kind(one, window, costs, link))
        for one in ordered
    )


def estimate_transfer_seconds(tokens: int, costs: MoveCosts) -> float:
    """Return the time of one transfer that has the whole link."""
    return costs.transfer_overhead_seconds + tokens / costs.transfer_rate


class _Link:
    """Book transfers one after the other on the link of one server."""

    def __init__(self, window: MoveWindow, costs: MoveCosts) -> None:
        self._costs = costs
        self._last_end = window.deadline - costs.margin_seconds
        under_way = window.tokens_under_way / costs.transfer_rate
        self._free_at = window.now + under_way

    def book(self, tokens: int) -> bool:
        """Book a transfer; return whether it can end in time."""
        sent_at = self._free_at + tokens / self._costs.transfer_rate
        if sent_at + self._costs.transfer_overhead_seconds > self._last_end:
            return False
        self._free_at = sent_at
        return True


def _choose_kind(
    stream: StreamAtRisk, window: MoveWindow, costs: MoveCosts, link: _Link
) -> MoveKind:
    generation_seconds = stream.remaining_tokens * costs.token_seconds
    if (
        window.now + generation_seconds + costs.margin_seconds
        <= window.deadline
    ):
        return MoveKind.finish
    recompute_seconds = stream.held_tokens / costs.prefill_rate
    if recompute_seconds <= estimate_transfer_seconds(
        stream.held_tokens, costs
    ):
        return MoveKind.resume
    if link.book(stream.held_tokens):
        return MoveKind.transfer
    return MoveKind.resume
