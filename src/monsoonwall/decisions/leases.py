"""Decide when a host may take, renew and use a lease.

A lease is the right to send orders to the servers of a shard or, at a gateway,
to do the duties. It is one object in the platform's store, and each write is
conditional on the object's last version. Clocks of different hosts are never
compared. The holder measures its time from before it sent the write, and a
successor from after it first read that write, so that the successor always
waits longer.

The store may return from an older copy, which begins a new era and may lose the
writes of a holder that still acts. Such a holder writes its record again while
its term lasts; all others wait as if they had just read another host's write.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count
from typing import Final

from monsoonwall.decisions.gossip import hash_with_seed

_MILLISECONDS_PER_SECOND: Final = 1000
_CANDIDATE_COUNT: Final = 2
# Fraction of a lease's duration.
_MARGIN_SHARE: Final = 0.08


@dataclass(frozen=True)
class LeaseTiming:
    """Hold the duration of a lease, which must be the same on all hosts.

    The margin allows for clocks that run at different speeds.
    """

    lease_seconds: float = 12

    @property
    def margin_seconds(self) -> float:
        """Return how long before the lease's end its holder sends no order."""
        return self.lease_seconds * _MARGIN_SHARE

    @property
    def order_seconds(self) -> float:
        """Return how long an order may take to arrive."""
        return self.lease_seconds / 4

    @property
    def renew_seconds(self) -> float:
        """Return the time from one renewal to the next."""
        return self.lease_seconds / 3

    @property
    def poll_seconds(self) -> float:
        """Return the time between reads of a lease that another host holds."""
        return self.lease_seconds / 2

    @property
    def use_seconds(self) -> float:
        """Return how long after sending a write its sender may send orders."""
        return self.lease_seconds - self.margin_seconds

    @property
    def takeover_seconds(self) -> float:
        """Return how long a successor waits without seeing a new write."""
        return self.lease_seconds + self.order_seconds


@dataclass(frozen=True)
class LeaseRecord:
    """Hold the content of the lease's object.

    ``token`` is unique to the holder's term and ``beat`` numbers its writes,
    so that a holder that got no response can recognize its own write. A
    successor may take over a released lease at once.
    """

    holder: str
    token: str
    fencing_number: int
    beat: int = 0
    released: bool = False


@dataclass(frozen=True)
class Observation:
    """Hold a record as read or written, or None if there is no object."""

    version: int
    record: LeaseRecord | None
    seen_at: float


@dataclass(frozen=True)
class Term:
    """Grant the right to send orders until a deadline in monotonic seconds."""

    fencing_number: int
    deadline: float

    def allows(self, now: float) -> bool:
        """Return whether an order may be sent at a time."""
        return now < self.deadline


@dataclass(frozen=True)
class Read:
    """Read the object next."""


@dataclass(frozen=True)
class Write:
    """Write the object next; a ``version`` of zero creates it."""

    record: LeaseRecord
    version: int


@dataclass(frozen=True)
class Wait:
    """Do nothing until a time in monotonic seconds."""

    until: float


Step = Read | Write | Wait


@dataclass(frozen=True)
class _SentWrite:
    record: LeaseRecord
    sent_at: float
    era: int


class LeaseState:
    """Track one lease for one host that tries to hold it.

    The caller takes the steps that ``decide`` returns and records their
    results, all in monotonic seconds.
    """

    def __init__(self, holder: str, timing: LeaseTiming) -> None:
        self._holder = holder
        self._timing = timing
        self._observed: Observation | None = None
        self._beats = count()
        self._last_sent: _SentWrite | None = None
        # Writes that may still take effect, by token and beat.
        self._uncertain_writes: dict[tuple[str, int], _SentWrite] = {}
        self._term: Term | None = None
        self._own_record: LeaseRecord | None = None
        self._era = 0
        self._term_era = 0
        # Until then a holder that the store has forgotten may act.
        self._forgotten_until = float('-inf')
        self._renew_at = float('-inf')
        self._read_at = float('-inf')

    @property
    def term(self) -> Term | None:
        """Return the current term, even if its deadline has passed."""
        return self._term

    def decide(
        self, now: float, now_wall: float, token: str, known_number: int = 0
    ) -> Step:
        """Return the next step; ``token`` is new and unique to this call.

        A new term gets a later fencing number than ``known_number``, the last
        one that any host is known to have used.
        """
        if self._observed is None:
            return Read() if now >= self._read_at else Wait(self._read_at)
        if self._own_record is not None:
            return self._renew(now)
        takeover_at = self._find_takeover_time(self._observed)
        if now >= takeover_at:
            return self._take_over(
                self._observed, now_wall, token, known_number
            )
        if now >= self._read_at:
            return Read()
        return Wait(min(takeover_at, self._read_at))

    def release(self) -> Write | None:
        """Return the write that lets a successor take over at once.

        Call this only when no order is under way, and send none afterwards.
        """
        if self._own_record is None or self._observed is None:
            return None
        record = replace(
            self._own_record, beat=next(self._beats), released=True
        )
        # The right to send orders ends here, whether or not the write succeeds.
        self._end_term()
        return Write(record, self._observed.version)

    def record_sent_write(self, write: Write, now: float) -> None:
        """Record a write that is about to be sent."""
        sent = _SentWrite(write.record, now, self._era)
        self._last_sent = sent
        self._uncertain_writes[write.record.token, write.record.beat] = sent

    def record_successful_write(self, version: int, now: float) -> None:
        """Record that the last sent write has taken effect."""
        if self._last_sent is not None:
            self._observed = Observation(version, self._last_sent.record, now)
            self._begin_term(self._last_sent)

    def record_uncertain_write(self, now: float) -> None:
        """Record that a write was refused or its response lost; read again."""
        self._observed = None
        self._read_at = now

    def record_failure(self, now: float) -> None:
        """Record a read or write that certainly had no effect; try later."""
        self._read_at = now + self._timing.poll_seconds / 2
        self._renew_at = self._read_at

    def record_read(
        self, version: int, record: LeaseRecord | None, now: float, era: int = 0
    ) -> None:
        """Record the result of a read that ended now, in an era of the store.

        Versions of different eras differ.
        """
        self._read_at = now + self._timing.poll_seconds
        self.record_era(era, now)
        previous = self._observed
        if previous is None or previous.version != version:
            self._observed = Observation(version, record, now)
        sent = record and self._uncertain_writes.get(
            (record.token, record.beat)
        )
        # A write sent in an earlier era begins no term: it may have succeeded
        # only because the store had forgotten the holder.
        if sent and sent.era == self._era:
            self._begin_term(sent)
        elif not self._keeps_term(record, now):
            self._end_term()
        elif self._term_era < self._era:
            self._renew_at = now

    def record_era(self, era: int, now: float) -> None:
        """Record the era of the store as this host knows it.

        Writes of the era before may be lost: a holder that the store has
        forgotten may still act for as long as a term lasts.
        """
        if era > self._era:
            self._era = era
            self._forgotten_until = now + self._timing.takeover_seconds

    def _keeps_term(self, record: LeaseRecord | None, now: float) -> bool:
        """Return whether the current term goes on after a read."""
        own = self._own_record
        if own is None or self._term is None:
            return False
        if self._term_era < self._era:
            # The record alone proves nothing: a late renewal may have replaced
            # another host's, as the same revisions are given out again.
            return self._term.allows(now)
        return record is not None and record.token == own.token

    def _begin_term(self, sent: _SentWrite) -> None:
        # The other writes depend on an earlier version and can't succeed now.
        self._uncertain_writes.clear()
        if sent.record.released:
            self._end_term()
            return
        self._own_record = sent.record
        self._term_era = sent.era
        self._renew_at = sent.sent_at + self._timing.renew_seconds
        self._term = Term(
            sent.record.fencing_number, sent.sent_at + self._timing.use_seconds
        )

    def _end_term(self) -> None:
        self._own_record = None
        self._term = None

    def _renew(self, now: float) -> Step:
        if now < self._renew_at:
            return Wait(self._renew_at)
        record = replace(self._own_record, beat=next(self._beats))
        return Write(record, self._observed.version)

    def _find_takeover_time(self, observed: Observation) -> float:
        record = observed.record
        # In its own earlier term this host sends no more orders.
        is_free = (
            record is None or record.released or record.holder == self._holder
        )
        if is_free:
            return max(observed.seen_at, self._forgotten_until)
        return observed.seen_at + self._timing.takeover_seconds

    def _take_over(
        self,
        observed: Observation,
        now_wall: float,
        token: str,
        known_number: int,
    ) -> Write:
        last_number = observed.record.fencing_number if observed.record else 0
        # Fencing numbers start at the wall clock's time, so that a server that
        # changes to another shard gets higher numbers there than before.
        number = max(
            last_number + 1,
            known_number + 1,
            int(now_wall * _MILLISECONDS_PER_SECOND),
        )
        return Write(
            LeaseRecord(self._holder, token, number, next(self._beats)),
            observed.version,
        )


def choose_candidates(shard: str, hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the hosts that try to get a lease.

    They are few, to limit the requests to the platform.
    """
    ranked = sorted(
        hosts, key=lambda name: hash_with_seed(f'{shard}/{name}', 0)
    )
    return tuple(ranked[:_CANDIDATE_COUNT])
