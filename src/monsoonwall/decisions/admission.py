"""Admit or refuse calls at an entry host by rate limits and by load.

Limits are stated for the whole fleet. Each host enforces its share of them,
which it derives from the demand that all hosts publish, so admitting a call
needs no request to a peer or to the platform.

Load is bounded by the number of calls that a service holds at a time, not by
a measured rate: an overload leaves no state behind except the calls that are
still running, so new calls are admitted again as soon as those end.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import log
from typing import Final

from monsoonwall.decisions.fairness import divide_fairly

# A full bucket holds the amount that its rate yields in this time.
_BURST_SECONDS: Final = 1.0
# Limits on the calls that a host holds, as fractions of its share of the slots:
# on all calls, so that a few may queue, and on batch calls, of which the second
# is allowed however many urgent ones are wanted.
_QUEUE_RATIO: Final = 1.15
_BATCH_RATIO: Final = 0.85
_MIN_BATCH_RATIO: Final = 0.3
# Fraction of the limit on all calls above which workspaces are held to their
# fair shares.
_FAIRNESS_THRESHOLD: Final = 0.7
_MIN_SLOTS: Final = 2
_DEMAND_HALF_LIFE_SECONDS: Final = 5.0
_MIN_RETRY_SECONDS: Final = 0.5
_MAX_RETRY_SECONDS: Final = 15.0


class AdmissionVerdict(StrEnum):
    """State whether a call is admitted, or why it is refused.

    With ``full`` this host holds too many calls, with ``over_share`` the
    workspace would hold more than its fair share of them.
    """

    admitted = 'admitted'
    full = 'full'
    over_share = 'over_share'


@dataclass(frozen=True)
class ServiceSlots:
    """Describe the calls of one service that this host holds.

    ``capacity`` counts the calls that all live servers run at a time and
    ``host_share`` is this host's fraction of it. ``batch`` counts the held
    calls that are not urgent, and ``urgent_wanted`` estimates how many urgent
    ones would be held if none were refused. By workspace: the calls ``held``,
    how many would be held if none were refused (``wanted``), and the weight.
    """

    capacity: float
    host_share: float
    batch: int
    urgent_wanted: float
    held: Mapping[str, int]
    wanted: Mapping[str, float]
    weights: Mapping[str, float]


class TokenBucket:
    """Limit a rate that may change between calls."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._filled_at: float = 0

    def measure_wait(self, amount: float, rate: float, now: float) -> float:
        """Return the seconds until ``amount`` may be granted, 0 for now."""
        level = self._fill(rate, now)
        burst = _compute_burst(rate)
        # An amount larger than the burst is allowed when the bucket is
        # full; it leaves the level negative.
        wanted = min(amount, burst)
        if level >= wanted:
            return 0
        return (wanted - level) / rate if rate > 0 else _MAX_RETRY_SECONDS

    def grant(self, amount: float, rate: float, now: float) -> None:
        """Grant an amount for which ``measure_wait`` returned 0."""
        self._level = self._fill(rate, now) - amount

    def _fill(self, rate: float, now: float) -> float:
        burst = _compute_burst(rate)
        if self._level is None:
            self._level = burst
        else:
            gained = rate * max(0, now - self._filled_at)
            self._level = min(burst, self._level + gained)
        self._filled_at = now
        return self._level


class RateMeter:
    """Measure a rate as an exponentially decaying average."""

    def __init__(
        self, half_life_seconds: float = _DEMAND_HALF_LIFE_SECONDS
    ) -> None:
        self._half_life_seconds = half_life_seconds
        self._rate: float = 0
        self._counted_at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        # With this factor, the meter reads a steady flow as its own rate.
        self._rate = self.read(now) + amount * log(2) / self._half_life_seconds
        self._counted_at = now

    def read(self, now: float) -> float:
        """Return the rate per second."""
        idle = max(0, now - self._counted_at)
        return self._rate * 2 ** (-idle / self._half_life_seconds)


def decide_admission(
    slots: ServiceSlots, workspace: str, urgent: bool
) -> AdmissionVerdict:
    """Return whether one more call of a workspace is admitted."""
    host_slots = slots.capacity * slots.host_share
    limit = max(_MIN_SLOTS, host_slots * _QUEUE_RATIO)
    held = sum(slots.held.values())
    # Slots kept free of batch calls let urgent ones start at once.
    batch_limit = max(
        1,
        host_slots * _MIN_BATCH_RATIO,
        min(host_slots * _BATCH_RATIO, host_slots - slots.urgent_wanted),
    )
    if held + 1 > limit or (not urgent and slots.batch + 1 > batch_limit):
        return AdmissionVerdict.full
    if held + 1 > limit * _FAIRNESS_THRESHOLD and _exceeds_share(
        slots, workspace, limit
    ):
        return AdmissionVerdict.over_share
    return AdmissionVerdict.admitted


def choose_retry_after(wait: float, jitter: float) -> float:
    """Return the seconds after which a refused caller should retry.

    ``jitter``, from 0 to 1, differs by request, so that callers refused at
    the same time do not retry at the same time.
    """
    bounded = min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, wait))
    return bounded * (1 + jitter)


def _exceeds_share(slots: ServiceSlots, workspace: str, limit: float) -> bool:
    if sum(slots.wanted.values()) <= limit:
        return False
    shares = divide_fairly(limit, slots.wanted, slots.weights)
    return slots.held.get(workspace, 0) + 1 > max(1, shares.get(workspace, 1))


def _compute_burst(rate: float) -> float:
    return max(1, rate * _BURST_SECONDS)
