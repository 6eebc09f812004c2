"""Decide what a host may do with a configuration that may be out of date.

A call to the platform that finds no newer configuration confirms the one in
force, as of the time when the call began. Watchers share their confirmations
over the mesh. After the freshness deadline, a newer configuration may have
been accepted without this host knowing, so it stops guarded work, the work
that could contradict a newer configuration.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

# How long after its confirmation a configuration permits guarded work.
FRESHNESS_SECONDS: Final = 7.0
# The largest difference assumed between the wall clocks of two hosts.
CLOCK_SKEW_SECONDS: Final = 1.0


class WorkKind(StrEnum):
    """Name the kinds of work that depend on the configuration."""

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
    """Hold the configuration number in force and its last confirmation.

    ``known`` is the highest number that any host has reported to hold. Times
    are Unix seconds.
    """

    number: int = 0
    confirmed_wall: float = 0
    known: int = 0

    @property
    def deadline_wall(self) -> float:
        """Return until when guarded work is allowed, 0 for not at all.

        The margin allows for a confirming host whose clock is ahead.
        """
        if self.number < max(1, self.known):
            return 0
        return self.confirmed_wall + FRESHNESS_SECONDS - CLOCK_SKEW_SECONDS


def adopt_number(freshness: Freshness, number: int) -> Freshness:
    """Return the freshness after a number was adopted.

    The last confirmation of an earlier number stays valid: when it was made,
    no number above this one had been accepted either.
    """
    return replace(freshness, number=max(freshness.number, number))


def observe_number(freshness: Freshness, number: int) -> Freshness:
    """Return the freshness after some host reported to hold a number."""
    return replace(freshness, known=max(freshness.known, number))


def confirm_number(
    freshness: Freshness, number: int, confirmed_wall: float, now_wall: float
) -> Freshness:
    """Return the freshness after a number was confirmed.

    Confirmations of a number above the one in force are ignored. A time that
    lies further ahead than the clock skew allows is reduced to that.
    """
    if not 0 < number <= freshness.number:
        return freshness
    latest = now_wall + CLOCK_SKEW_SECONDS
    bounded = min(confirmed_wall, latest)
    return replace(
        freshness, confirmed_wall=max(freshness.confirmed_wall, bounded)
    )


def may_work(freshness: Freshness, work: WorkKind, now_wall: float) -> bool:
    """Return whether a kind of work is allowed at a time."""
    return work not in GUARDED_WORK or now_wall < freshness.deadline_wall


def compute_settled_wall(accepted_wall: float) -> float:
    """Return from when no host does guarded work under earlier numbers.

    A host's last confirmation of an earlier number began before the new
    number was accepted, and its deadline allows for clock differences.
    """
    return accepted_wall + FRESHNESS_SECONDS
