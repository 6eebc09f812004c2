"""Divide the request limit of a server among all hosts.

A server in need names how many requests per second it takes from all hosts
together; a cold server, which has just started, takes few as well. An even
share per host would be a small fraction of a request per second in a large
fleet, and hosts without a request at that moment would waste theirs. So a small
limit is used in turns: in each turn, few hosts may send, each at least one
request per second where the limit allows it. All hosts compute the same turns
from the wall clock and from names alone. A zone takes its turns as a whole,
since in a wide fleet a host knows only the hosts of its own zone.
"""

from collections.abc import Collection
from dataclasses import dataclass
from math import floor
from typing import Final

from monsoonwall.decisions.hashing import hash_text

# A turn yields at least this many requests, so that the first, for which its
# host has to wait, does not use up most of it.
_REQUESTS_PER_TURN: Final = 2
_MIN_TURN_SECONDS: Final = 4.0
# A server that takes nothing is still asked at this rate, since only its
# responses tell that the limit has ended.
_MIN_REQUESTS_PER_SECOND: Final = 0.1
# A host may save up what its share yields in this time, or one request.
_BURST_SECONDS: Final = 0.5
# A turn begins with this part of a request saved up.
_INITIAL_REQUESTS: Final = 0.5
# After a cold period the limit doubles this often, once in each step, and then
# ends: otherwise the whole fleet would turn to a server that has no load yet.
_WARM_UP_STEPS: Final = 2
_WARM_UP_STEP_SECONDS: Final = 1.0


@dataclass(frozen=True)
class VisibleFleet:
    """Hold the hosts among which a host divides limits.

    ``zones`` are the zones that have hosts and ``zone_hosts`` the hosts of the
    host's own zone, itself included. ``visible_ratio`` is the fraction of all
    hosts that it can see; it uses that part of each limit.
    """

    own_name: str
    own_zone: str
    zones: tuple[str, ...]
    zone_hosts: tuple[str, ...]
    visible_ratio: float = 1


@dataclass(frozen=True)
class LimitShare:
    """Hold how many requests per second a host may send during a turn.

    The turn ends at ``ends_wall`` (Unix seconds).
    """

    turn: int
    ends_wall: float
    requests_per_second: float


@dataclass(frozen=True)
class ColdStart:
    """How long servers are cold after a start, and what they take meanwhile.

    A cold server accepts ``requests_per_second`` from all hosts together.
    """

    seconds: float
    requests_per_second: float

    def compute_limit(self, cold_until: float, now: float) -> float | None:
        """Return the limit of a server that is cold until then, if any.

        Times are in monotonic seconds.
        """
        if now < cold_until:
            return self.requests_per_second
        steps = 1 + floor((now - cold_until) / _WARM_UP_STEP_SECONDS)
        if steps > _WARM_UP_STEPS:
            return None
        return self.requests_per_second * 2**steps


def compute_share(
    subject: str, limit: float, fleet: VisibleFleet, now_wall: float
) -> LimitShare:
    """Return a host's share of a server's limit in the current turn.

    ``subject`` names the server; ``limit`` is in requests per second.
    """
    kept = max(_MIN_REQUESTS_PER_SECOND, limit)
    # Not shortened to what is visible, so that hosts with different views take
    # the same turns.
    turn_seconds = max(_MIN_TURN_SECONDS, _REQUESTS_PER_TURN / kept)
    turn = floor(now_wall / turn_seconds)
    turn_subject = f'{subject}/{turn}'
    usable = kept * fleet.visible_ratio
    zone_rate = _divide(turn_subject, usable, fleet.own_zone, fleet.zones)
    rate = _divide(turn_subject, zone_rate, fleet.own_name, fleet.zone_hosts)
    return LimitShare(turn, (turn + 1) * turn_seconds, rate)


class SendBudget:
    """Count what a host may send to one limited server."""

    def __init__(self) -> None:
        self._share: LimitShare | None = None
        self._saved: float = 0
        self._saved_at: float = 0

    def can_send(self, share: LimitShare, now: float) -> bool:
        """Return whether a request may be sent now (monotonic seconds)."""
        self._update(share, now)
        return self._saved >= 1

    def spend(self) -> None:
        """Count a request that is being sent."""
        self._saved -= 1

    def estimate_wait(
        self, share: LimitShare, now: float, now_wall: float
    ) -> float:
        """Return the seconds until the host may send or a turn begins."""
        self._update(share, now)
        turn_left = max(0, share.ends_wall - now_wall)
        if not share.requests_per_second:
            return turn_left
        missing = max(0, 1 - self._saved)
        return min(turn_left, missing / share.requests_per_second)

    def _update(self, share: LimitShare, now: float) -> None:
        known = self._share
        if known is not None and _continues(known, share):
            self._saved += (now - self._saved_at) * share.requests_per_second
        else:
            self._saved = min(self._saved, 0)
            if share.requests_per_second:
                self._saved += _INITIAL_REQUESTS
        self._share = share
        self._saved_at = now
        burst = max(1, _BURST_SECONDS * share.requests_per_second)
        self._saved = min(self._saved, burst)


def _divide(
    subject: str, rate: float, own_name: str, names: Collection[str]
) -> float:
    """Return the part of a rate that falls to one of several names."""
    count = max(1, min(len(names), floor(rate)))
    if count < len(names):
        ranked = sorted(names, key=lambda name: hash_text(f'{subject}/{name}'))
        if own_name not in ranked[:count]:
            return 0
    return rate / count


def _continues(known: LimitShare, share: LimitShare) -> bool:
    """Return whether a host sends on from one share to the next."""
    return share.turn - known.turn in {0, 1} and all(
        (known.requests_per_second, share.requests_per_second)
    )
