"""Decide at once whether a call may enter, by limits and by load.

Limits are stated for the whole fleet. Each host keeps to its part of them,
cut by the demand that hosts publish, so no call asks a peer or the platform.

Load is bounded by the number of calls that a service holds at a time rather
than by a measured rate: nothing is remembered of an overload but the calls
that it left running, so entering is free again as soon as they end.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import log
from typing import Final

from monsoonwall.decisions.fairness import divide_fairly

_BURST_SECONDS: Final = 1.0
_QUEUE_RATIO: Final = 1.15
_BATCH_RATIO: Final = 0.85
_MIN_BATCH_RATIO: Final = 0.3
_FAIRNESS_THRESHOLD: Final = 0.7
_MIN_SLOTS: Final = 2
_DEMAND_HALF_LIFE_SECONDS: Final = 5.0
_MIN_RETRY_SECONDS: Final = 0.5
_MAX_RETRY_SECONDS: Final = 15.0


class AdmissionVerdict(StrEnum):
    """Tell whether a call may enter, or what stands against it."""

    admitted = 'admitted'
    full = 'full'
    over_share = 'over_share'


@dataclass(frozen=True)
class ServiceSlots:
    """Describe what this host holds of a service.

    ``capacity`` counts the calls that all live servers run at a time,
    ``host_share`` is this host's part of it, ``batch`` how many of the calls held
    are not urgent, and ``urgent_wanted`` how many urgent ones it would hold
    if none were refused. By workspace: the calls ``held``, how many it would
    hold if none were refused (``wanted``), and its weight.
    """

    capacity: float
    host_share: float
    batch: int
    urgent_wanted: float
    held: Mapping[str, int]
    wanted: Mapping[str, float]
    weights: Mapping[str, float]


class TokenBucket:
    """Limit a rate; the rate may change between calls."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._at: float = 0

    def measure_wait(self, amount: float, rate: float, now: float) -> float:
        """Return the seconds until ``amount`` may be taken; 0 is now."""
        level = self._fill(rate, now)
        burst = _compute_burst(rate)
        # More than a whole burst may be taken, as a debt, from a full one.
        wanted = min(amount, burst)
        if level >= wanted:
            return 0
        return (wanted - level) / rate if rate > 0 else _MAX_RETRY_SECONDS

    def take(self, amount: float, rate: float, now: float) -> None:
        """Take an amount that ``measure_wait`` allowed."""
        self._level = self._fill(rate, now) - amount

    def _fill(self, rate: float, now: float) -> float:
        burst = _compute_burst(rate)
        if self._level is None:
            self._level = burst
        else:
            gained = rate * max(0, now - self._at)
            self._level = min(burst, self._level + gained)
        self._at = now
        return self._level


class RateMeter:
    """Measure a rate; what is ``half_life_seconds`` old weighs half."""

    def __init__(
        self, half_life_seconds: float = _DEMAND_HALF_LIFE_SECONDS
    ) -> None:
        self._half_life_seconds = half_life_seconds
        self._rate: float = 0
        self._at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        # The factor makes a steady flow read as its own rate.
        self._rate = self.read(now) + amount * log(2) / self._half_life_seconds
        self._at = now

    def read(self, now: float) -> float:
        """Return the rate, a second."""
        idle = max(0, now - self._at)
        return self._rate * 2 ** (-idle / self._half_life_seconds)


def decide_admission(
    slots: ServiceSlots, workspace: str, urgent: bool
) -> AdmissionVerdict:
    """Return whether one more call of a workspace may enter."""
    host_slots = slots.capacity * slots.host_share
    limit = max(_MIN_SLOTS, host_slots * _QUEUE_RATIO)
    held = sum(slots.held.values())
    # Slots that batch work does not take let short questions in at once.
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
    """Return after how many seconds to come back.

    ``jitter``, from 0 to 1, differs by request and keeps the callers that
    were refused together from coming back together.
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
