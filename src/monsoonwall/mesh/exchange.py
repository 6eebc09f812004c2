"""Build and process the gossip messages by which two hosts synchronize.

An exchange takes up to three messages. The first host sends a digest of its
logs and facts; the second replies with what the first one lacks and names
what it lacks itself; the first then pushes that.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from monsoonwall.mesh.board import Fact, Watermark
from monsoonwall.mesh.facts import expand_coarse, find_coarse
from monsoonwall.mesh.logs import OriginLog, make_origin_id
from monsoonwall.mesh.store import RecordStore
from monsoonwall.mesh.watermarks import (
    decode_watermarks,
    encode_watermarks,
    is_ahead,
)
from monsoonwall.mesh.wire.gossip_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    FactRecord,
    GroupDigest,
    LogDelta,
    PushRequest,
)

# Limits the log deltas of a message, and its facts, to this size each.
MAX_SECTION_BYTES: Final = 64_000
# Tags and lengths of a fact's fields, and its expiry.
_FACT_OVERHEAD_BYTES: Final = 20
# A departure carries the whole log: the record that says that the host leaves
# is the last one, and a delta cut at the usual limit would not reach it.
MAX_DEPARTURE_BYTES: Final = 2_000_000
_MILLISECONDS_PER_SECOND: Final = 1000


@dataclass(frozen=True)
class Snapshot:
    """Hold the watermarks as of a digest, taken at a monotonic time."""

    taken_at: float
    watermarks: tuple[Watermark, ...]


class Exchanger:
    """Build and process gossip messages for one host."""

    def __init__(
        self, store: RecordStore, max_section_bytes: int = MAX_SECTION_BYTES
    ) -> None:
        self.store = store
        self._max_section_bytes = max_section_bytes
        self._sent_older_facts = 0

    def take_snapshot(self, now: float) -> Snapshot:
        """Return the watermarks that hold for a request made now."""
        return Snapshot(now, self.store.watermarks.list_all())

    def make_request(self, zones: Sequence[str]) -> ExchangeRequest:
        """Return a digest of the logs of the given zones and of all facts.

        If no zones are given, the digest covers all logs.
        """
        groups: dict[str, GroupDigest] = {}
        for log in self.store.logs:
            if not _includes_zone(log.zone, zones):
                continue
            group = groups.get(log.zone)
            if group is None:
                group = GroupDigest(zone=log.zone)
                groups[log.zone] = group
            group.origins.append(make_origin_id(log.name, log.incarnation))
            group.sequences.append(log.sequence)
            group.heartbeats.append(log.heartbeat)
        facts = self.store.facts
        return ExchangeRequest(
            sender=self.store.own.name,
            zones=zones,
            digests=groups.values(),
            fact_buckets=facts.list_coarse_hashes(),
            fine_fact_buckets=(
                facts.list_bucket_hashes() if facts.changing else ()
            ),
        )

    def make_reply(
        self, request: ExchangeRequest, zones: Sequence[str], now: float
    ) -> ExchangeReply:
        """Return what the caller lacks, and request what this host lacks.

        Only logs of zones that both hosts name are compared; naming no zones
        means all of them.
        """
        reply = ExchangeReply(sender=self.store.own.name)
        budget = _Budget(self._max_section_bytes)
        seen_origins: set[int] = set()
        for digest in _read_digests(request.digests, zones):
            seen_origins.add(digest.origin)
            self._compare(reply, budget, digest, now)
        for log in self.store.logs:
            is_compared = _includes_zone(log.zone, zones) and _includes_zone(
                log.zone, request.zones
            )
            if (
                is_compared
                and make_origin_id(log.name, log.incarnation)
                not in seen_origins
            ):
                budget.add_delta(reply.deltas, log, 0)
        differing = self.store.facts.find_differing_buckets(
            request.fact_buckets, request.fine_fact_buckets
        )
        if request.fine_fact_buckets:
            reply.wanted_fine_buckets.extend(differing)
        else:
            reply.wanted_buckets.extend(find_coarse(differing))
        reply.made_at_milliseconds = int(_MILLISECONDS_PER_SECOND * now)
        if self._add_facts(reply.facts, differing):
            snapshot = self.take_snapshot(now)
            reply.watermarks.extend(encode_watermarks(snapshot.watermarks, now))
        return reply

    def apply_reply(
        self,
        reply: ExchangeReply,
        now: float,
        now_wall: float,
        snapshot: Snapshot | None = None,
    ) -> PushRequest | None:
        """Store the contents of a reply; return what its sender requests.

        ``snapshot`` was taken with the request.
        """
        fresh = zip(reply.fresh_origins, reply.fresh_heartbeats, strict=True)
        for origin, heartbeat in fresh:
            log = self.store.logs.find_by_id(origin)
            if log is not None:
                self.store.receive_heartbeat(log, heartbeat, now)
        push, is_complete = self._make_requested_push(reply)
        self.store.apply_deltas(reply.deltas, now)
        self.merge_facts(reply.facts, now_wall)
        received: tuple[Watermark, ...] = ()
        if snapshot is not None:
            received = decode_watermarks(reply.watermarks, snapshot.taken_at)
            self._advance_watermarks(received, reply.facts)
        if snapshot is not None and is_complete:
            push.watermarks.extend(encode_watermarks(snapshot.watermarks, now))
            push.reply_made_at_milliseconds = reply.made_at_milliseconds
            if is_ahead(snapshot.watermarks, received):
                return push
        return push if push.deltas or push.facts else None

    def apply_push_watermarks(self, push: PushRequest, now: float) -> None:
        """Adopt the watermarks of a push whose facts have been merged."""
        # The push answers a reply, so it was sent after that was made.
        made_at = push.reply_made_at_milliseconds / _MILLISECONDS_PER_SECOND
        self._advance_watermarks(
            decode_watermarks(push.watermarks, min(made_at, now)), push.facts
        )

    def merge_facts(
        self, records: Iterable[FactRecord], now_wall: float
    ) -> tuple[Fact, ...]:
        """Store the facts that win; return those that are new to this host."""
        return tuple(
            fact
            for fact in map(_read_fact, records)
            if self.store.merge_fact(fact, now_wall)
        )

    def make_push(self, facts: Iterable[Fact]) -> PushRequest:
        """Return a push of some facts, for sending them outside of rounds."""
        push = PushRequest(sender=self.store.own.name)
        push.facts.extend(map(_write_fact, facts))
        return push

    def make_departure(self) -> PushRequest:
        """Return a push of this host's whole log, its host record included."""
        delta = self.store.own_log.make_delta(0, MAX_DEPARTURE_BYTES)
        return PushRequest(sender=self.store.own.name, deltas=[delta])

    def _compare(
        self,
        reply: ExchangeReply,
        budget: '_Budget',
        digest: '_Digest',
        now: float,
    ) -> None:
        log = self.store.logs.find_by_id(digest.origin)
        if log is None:
            reply.wanted_origins.append(digest.origin)
            reply.wanted_after.append(0)
            return
        if digest.heartbeat > log.heartbeat:
            self.store.receive_heartbeat(log, digest.heartbeat, now)
        elif digest.heartbeat < log.heartbeat:
            reply.fresh_origins.append(digest.origin)
            reply.fresh_heartbeats.append(log.heartbeat)
        if digest.sequence > log.sequence:
            reply.wanted_origins.append(digest.origin)
            reply.wanted_after.append(log.sequence)
        elif digest.sequence < log.sequence:
            budget.add_delta(reply.deltas, log, digest.sequence)

    def _advance_watermarks(
        self, watermarks: Iterable[Watermark], records: Iterable[FactRecord]
    ) -> None:
        """Adopt watermarks that came with facts, unless one was refused.

        Facts are refused if the table is full, or as expired if a clock is
        wrong.
        """
        facts = self.store.facts
        if not all(facts.holds(record.kind, record.key) for record in records):
            return
        for watermark in watermarks:
            self.store.watermarks.advance(watermark)

    def _make_requested_push(
        self, reply: ExchangeReply
    ) -> tuple[PushRequest, bool]:
        """Return the requested push, and whether it has all wanted facts."""
        push = PushRequest(sender=self.store.own.name)
        wanted_buckets = (
            *expand_coarse(reply.wanted_buckets),
            *reply.wanted_fine_buckets,
        )
        is_complete = self._add_facts(push.facts, wanted_buckets)
        budget = _Budget(self._max_section_bytes)
        wanted = zip(reply.wanted_origins, reply.wanted_after, strict=True)
        for origin, sequence in wanted:
            log = self.store.logs.find_by_id(origin)
            if log is not None:
                budget.add_delta(push.deltas, log, sequence)
        return push, is_complete

    def _add_facts(
        self, records: 'list[FactRecord]', buckets: Iterable[int]
    ) -> bool:
        """Add facts of the buckets up to the size of a section.

        Returns whether all of them were added.

        Half of it is for the latest ones, which the receiver most likely
        lacks. The rest continues each time where the last one ended, so that
        all facts are sent although the buckets go on changing.
        """
        remaining_bytes = self._max_section_bytes
        older = []
        for fact in self.store.facts.list_facts(buckets):
            size = _measure_fact(fact)
            if remaining_bytes - size < self._max_section_bytes / 2:
                older.append(fact)
            else:
                remaining_bytes -= size
                records.append(_write_fact(fact))
        start = self._sent_older_facts % max(1, len(older))
        for fact in (*older[start:], *older[:start]):
            if remaining_bytes <= 0:
                return False
            remaining_bytes -= _measure_fact(fact)
            self._sent_older_facts += 1
            records.append(_write_fact(fact))
        return True


@dataclass(frozen=True)
class _Digest:
    """Hold the state of a log at one host; ``origin`` is the log's hash."""

    origin: int
    sequence: int
    heartbeat: int


@dataclass
class _Budget:
    """Limit the log deltas of one message to a number of bytes."""

    remaining_bytes: int

    def add_delta(
        self, deltas: 'list[LogDelta]', log: OriginLog, base: int
    ) -> None:
        if self.remaining_bytes <= 0:
            return
        delta = log.make_delta(base, self.remaining_bytes)
        self.remaining_bytes -= delta.ByteSize()
        deltas.append(delta)


def _includes_zone(zone: str, zones: Sequence[str]) -> bool:
    return not zones or zone in zones


def _read_digests(
    groups: Iterable[GroupDigest], zones: Sequence[str]
) -> Iterator[_Digest]:
    for group in groups:
        if not _includes_zone(group.zone, zones):
            continue
        columns = zip(
            group.origins, group.sequences, group.heartbeats, strict=True
        )
        for origin, sequence, heartbeat in columns:
            yield _Digest(origin, sequence, heartbeat)


def _measure_fact(fact: Fact) -> int:
    """Return about how many bytes a fact takes, without encoding it."""
    return (
        len(fact.kind)
        + len(fact.key)
        + len(fact.payload)
        + _FACT_OVERHEAD_BYTES
    )


def _write_fact(fact: Fact) -> FactRecord:
    return FactRecord(
        kind=fact.kind,
        key=fact.key,
        payload=fact.payload,
        expires_wall=fact.expires_wall,
    )


def _read_fact(record: FactRecord) -> Fact:
    return Fact(record.kind, record.key, record.payload, record.expires_wall)
