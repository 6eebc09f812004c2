"""Decide what a host may do with a configuration that may be old.

A host's configuration is confirmed by a call to the platform that found no
newer one; it counts from when that call began. Watchers share what they
confirmed over the mesh. Past the currency deadline a newer configuration may
have been accepted without this host, and work that could contradict it stops.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

# How long after its confirmation a configuration may guide guarded work.
FRESHNESS_SECONDS: Final = 7.0
# The most that two hosts' wall clocks are taken to differ.
CLOCK_SKEW_SECONDS: Final = 1.0


class WorkKind(StrEnum):
    """Name what a host does under its configuration."""

    idempotent_call = 'idempotent_call'
    withdrawal = 'withdrawal'
    non_idempotent_call = 'non_idempotent_call'
    move_step = 'move_step'
    order = 'order'


GUARDED_WORK: Final = frozenset(
    (WorkKind.non_idempotent_call, WorkKind.move_step, WorkKind.order)
)


@dataclass(frozen=True)
class Freshness:
    """Hold the number in force and when it was last confirmed.

    ``known`` is the highest number that this host has heard of. Times are
    Unix seconds.
    """

    number: int = 0
    confirmed_wall: float = 0
    known: int = 0

    @property
    def deadline_wall(self) -> float:
        """Return until when guarded work may go on.

        The margin covers a confirming host whose clock runs ahead.
        """
        if self.number < max(1, self.known):
            return 0
        return self.confirmed_wall + FRESHNESS_SECONDS - CLOCK_SKEW_SECONDS


def adopt_number(freshness: Freshness, number: int) -> Freshness:
    """Return the currency of a newly adopted number.

    What confirmed an earlier number holds for this one as well: numbers
    above it were accepted later still.
    """
    return replace(freshness, number=max(freshness.number, number))


def observe_number(freshness: Freshness, number: int) -> Freshness:
    """Return the currency once some host was heard to hold a number."""
    return replace(freshness, known=max(freshness.known, number))


def confirm_number(
    freshness: Freshness, number: int, confirmed_wall: float, now_wall: float
) -> Freshness:
    """Return the currency after a confirmation of some number.

    One of a higher number says nothing of the held one. A time further
    ahead than clocks may differ is worth no more than that.
    """
    if not 0 < number <= freshness.number:
        return freshness
    latest = now_wall + CLOCK_SKEW_SECONDS
    bounded = min(confirmed_wall, latest)
    return replace(
        freshness, confirmed_wall=max(freshness.confirmed_wall, bounded)
    )


def may_work(freshness: Freshness, work: WorkKind, now_wall: float) -> bool:
    """Return whether a kind of work may go on at a time."""
    return work not in GUARDED_WORK or now_wall < freshness.deadline_wall


def settle_time(accepted_wall: float) -> float:
    """Return from when no host does guarded work under earlier numbers.

    A host's last confirmation of an earlier number began before the
    acceptance, and its deadline allows for the difference of the clocks.
    """
    return accepted_wall + FRESHNESS_SECONDS
