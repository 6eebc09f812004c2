"""Plan how the streams leave a backend server that is being reclaimed.

A stream can stay if it is sure to end in time, take its KV cache along, or
resume elsewhere from its tokens, where they and the prompt are computed
again. The time until the deadline is too short for all caches in a bad wave,
so that those worth most go first.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from heapq import heapreplace


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
    parallel_transfers: int = 4
    margin_seconds: float = 0.5


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

    ``share`` is the part of the server's streams that this entry host has:
    the others move theirs over the same link.
    """

    now: float
    deadline: float
    share: float = 1
    transfers_running: int = 0


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
    lanes = _Lanes(window, costs)
    return tuple(
        PlannedMove(one.request_id, _choose_kind(one, window, costs, lanes))
        for one in ordered
    )


def estimate_transfer_seconds(tokens: int, costs: MoveCosts) -> float:
    """Return the time of one transfer that has the whole link."""
    return costs.transfer_overhead_seconds + tokens / costs.transfer_rate


class _Lanes:
    """Book transfers on the link of one server."""

    def __init__(self, window: MoveWindow, costs: MoveCosts) -> None:
        self._costs = costs
        self._share = max(window.share, 1 / costs.transfer_rate)
        self._latest = window.deadline - costs.margin_seconds
        # Transfers that run already are taken to be half way.
        busy = window.now + costs.transfer_overhead_seconds
        free = costs.parallel_transfers - window.transfers_running
        self._free_at = sorted(
            window.now if lane < free else busy
            for lane in range(costs.parallel_transfers)
        )

    def book(self, tokens: int) -> bool:
        """Book a transfer; return whether it ends in time."""
        costs = self._costs
        rate = costs.transfer_rate * self._share / costs.parallel_transfers
        seconds = costs.transfer_overhead_seconds + tokens / rate
        end = self._free_at[0] + seconds
        if end > self._latest:
            return False
        heapreplace(self._free_at, end)
        return True


def _choose_kind(
    stream: StreamAtRisk, window: MoveWindow, costs: MoveCosts, lanes: _Lanes
) -> MoveKind:
    until_end = stream.remaining_tokens * costs.token_seconds
    if window.now + until_end + costs.margin_seconds <= window.deadline:
        return MoveKind.finish
    again = stream.held_tokens / costs.prefill_rate
    if again <= estimate_transfer_seconds(stream.held_tokens, costs):
        return MoveKind.resume
    if lanes.book(stream.held_tokens):
        return MoveKind.transfer
    return MoveKind.resume
