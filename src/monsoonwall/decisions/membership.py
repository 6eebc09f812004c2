"""Detect failed entry hosts by their heartbeats.

A host is alive while its heartbeat increases, whichever host forwarded it. A
silent host is first suspected and then considered gone. It returns with a
heartbeat or an incarnation above the last one known, so neither a stale copy
at another host nor an earlier process of the same name can bring it back.
"""

import math
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

# Hosts that are gone whose last heartbeats are kept.
_MAX_DEPARTED: Final = 10_000


class MemberState(StrEnum):
    """State whether a host is considered alive."""

    alive = 'alive'
    suspect = 'suspect'
    gone = 'gone'


@dataclass(frozen=True, order=True)
class HeartbeatState:
    """Order the heartbeats of one host name, by incarnation first."""

    incarnation: int
    heartbeat: int


@dataclass(frozen=True)
class Member:
    """Hold the last heartbeat of a host and its timeouts.

    Without a newer heartbeat it is suspected from ``suspect_at`` and gone
    from ``gone_at``, both in monotonic seconds.
    """

    name: str
    heartbeat_state: HeartbeatState
    suspect_at: float
    gone_at: float

    def find_state(self, now: float) -> MemberState:
        """Return the host's state at a time."""
        if now >= self.gone_at:
            return MemberState.gone
        if now >= self.suspect_at:
            return MemberState.suspect
        return MemberState.alive


@dataclass(frozen=True)
class Timing:
    """Hold the timeouts of failure detection, in seconds.

    ``refused_seconds`` applies to a host whose address refuses connections.
    More than ``pause_seconds`` between two checks counts as a pause of this
    process.
    """

    suspect_seconds: float = 1.0
    gone_seconds: float = 4.0
    refused_seconds: float = 2.0
    pause_seconds: float = 1.0

    def scale_for(self, members: int, round_seconds: float) -> 'Timing':
        """Return timeouts that let a heartbeat spread to all members."""
        rounds = 2 + math.ceil(math.log2(max(2, members)))
        spread = rounds * round_seconds
        return replace(
            self,
            suspect_seconds=max(self.suspect_seconds, spread),
            gone_seconds=max(self.gone_seconds, 2 * spread),
        )


class Membership:
    """Track the heartbeats of the other entry hosts."""

    def __init__(self, timing: Timing, now: float) -> None:
        self.timing = timing
        self._members: dict[str, Member] = {}
        self._departed: dict[str, HeartbeatState] = {}
        self._last_checked = now

    def record_heartbeat(
        self, name: str, heartbeat_state: HeartbeatState, now: float
    ) -> bool:
        """Record a heartbeat; return whether it is newer."""
        if not self.is_newer(name, heartbeat_state):
            return False
        self._departed.pop(name, None)
        self._members[name] = Member(
            name,
            heartbeat_state,
            now + self.timing.suspect_seconds,
            now + self.timing.gone_seconds,
        )
        return True

    def is_newer(self, name: str, heartbeat_state: HeartbeatState) -> bool:
        """Return whether a heartbeat is above the last one known."""
        member = self._members.get(name)
        last_state = (
            member.heartbeat_state if member else self._departed.get(name)
        )
        return last_state is None or heartbeat_state > last_state

    def mark_unreachable(self, name: str, now: float) -> None:
        """Suspect a host whose address refuses connections.

        Another host may still reach it, so a forwarded heartbeat clears the
        suspicion.
        """
        member = self._members.get(name)
        if member is None:
            return
        self._members[name] = replace(
            member,
            suspect_at=min(member.suspect_at, now),
            gone_at=min(member.gone_at, now + self.timing.refused_seconds),
        )

    def remove(self, name: str) -> None:
        """Remove a host, keeping only its last heartbeat."""
        member = self._members.pop(name, None)
        if member is None:
            return
        self._departed[name] = member.heartbeat_state
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))

    def expire_silent(self, now: float) -> tuple[str, ...]:
        """Remove and return the hosts that have gone since the last call.

        A process that was paused received no heartbeats meanwhile, so the
        length of the pause is added to the timeouts of all hosts.
        """
        pause = now - self._last_checked
        self._last_checked = now
        if pause > self.timing.pause_seconds:
            self._extend_timeouts(pause)
        gone = tuple(
            name
            for name, member in self._members.items()
            if member.find_state(now) is MemberState.gone
        )
        for name in gone:
            self.remove(name)
        return gone

    def list_members(self) -> tuple[Member, ...]:
        """Return the hosts that are not gone."""
        return tuple(self._members.values())

    def find(self, name: str) -> Member | None:
        """Return a host that is not gone."""
        return self._members.get(name)

    def _extend_timeouts(self, pause: float) -> None:
        self._members = {
            name: replace(
                member,
                suspect_at=member.suspect_at + pause,
                gone_at=member.gone_at + pause,
            )
            for name, member in self._members.items()
        }
