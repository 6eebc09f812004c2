"""Count what attempts say about the two versions of a move.

Every host keeps counters that only grow, one set for each route, side and
group of servers. Counters add up over hosts in any order and need no shared
clock, so a small fleet's few observations become one body of evidence.

What hosts send each other is made of structs, which are encoded as arrays:
a fifth of the bytes that field names would take.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from itertools import chain
from typing import Final

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

from monsoonwall.configuration.model import BackendServer
from monsoonwall.pipeline.messages import AttemptEnding, AttemptRecord

MAX_GROUPS: Final = 16
CONTENT_BUCKETS: Final = 16
LATENCY_BUCKETS: Final = 64
# Shorter latencies say more of the hosts than of a version.
_MIN_LATENCY_SECONDS: Final = 0.005
_LATENCY_BUCKET_RATIO: Final = 1.25
_LOG_LATENCY_BUCKET_RATIO: Final = math.log(_LATENCY_BUCKET_RATIO)

# The server answered, and answered wrongly.
FAULT_ENDINGS: Final = frozenset(
    (AttemptEnding.failed, AttemptEnding.malformed)
)
# No answer came. A dead zone or host gives the same picture as a version
# that kills its process, so these are compared within one zone only.
LOSS_ENDINGS: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.timed_out,
    )
)
_JUDGED_ENDINGS: Final = (
    FAULT_ENDINGS | LOSS_ENDINGS | {AttemptEnding.completed}
)


class Side(IntEnum):
    """Tell the two versions of a move apart."""

    old = 0
    new = 1


class CellKey(Struct, frozen=True, array_like=True):
    """Name what one set of counters is about."""

    route: str
    side: Side
    zone: str
    group: int


class Cell(Struct, frozen=True, array_like=True):
    """Hold the counters of one key.

    ``faults`` and ``losses`` count by content bucket, ``first_token`` and
    ``pace`` (seconds a token) by latency bucket.
    """

    key: CellKey
    trials: int = 0
    faults: dict[int, int] = field(default_factory=dict)
    losses: dict[int, int] = field(default_factory=dict)
    first_token: dict[int, int] = field(default_factory=dict)
    pace: dict[int, int] = field(default_factory=dict)


class HostEvidence(Struct, frozen=True, array_like=True):
    """Hold all that one host counted about one move since it started.

    ``epoch`` differs after a restart, when the counters begin at zero again.
    """

    epoch: int
    begun_old: int = 0
    begun_new: int = 0
    ended_new: int = 0
    cells: tuple[Cell, ...] = ()


@dataclass(frozen=True)
class Increment:
    """Hold what was added to the evidence between two readings.

    ``begun`` counts requests given to a version, ``ended`` its attempts that
    ended in any way; ``cells`` hold only those that say something of it.
    """

    begun_old: int = 0
    begun_new: int = 0
    ended_new: int = 0
    cells: tuple[Cell, ...] = ()


def find_latency_bucket(seconds: float) -> int:
    """Return the bucket of a latency; each is a quarter longer."""
    if seconds <= _MIN_LATENCY_SECONDS:
        return 0
    position = int(
        math.log(seconds / _MIN_LATENCY_SECONDS) / _LOG_LATENCY_BUCKET_RATIO
    )
    return min(position, LATENCY_BUCKETS - 1)


def find_content_bucket(content_key: str) -> int:
    """Return the bucket of a request's content, the same on every host."""
    return xxh3_64_intdigest(content_key.encode()) % CONTENT_BUCKETS


class ServerGroups:
    """Give each server of a version one of a bounded number of groups."""

    def __init__(
        self,
        servers: Mapping[str, BackendServer],
        service: str,
        version: str,
    ) -> None:
        # Neighbours in this order share a zone, so a group rarely spans two.
        names = sorted(
            (server.zone, name)
            for name, server in servers.items()
            if (server.service, server.version) == (service, version)
        )
        size = max(MAX_GROUPS, len(names))
        self._groups = {
            name: rank * MAX_GROUPS // size
            for rank, (_, name) in enumerate(names)
        }

    def __len__(self) -> int:
        """Count the servers."""
        return len(self._groups)

    def find(self, server: str) -> int:
        """Return the group of a server; unknown ones share the first."""
        return self._groups.get(server, 0)


class EvidenceCounter:
    """Count the attempts that this host saw for one move."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._begun: Counter[Side] = Counter()
        self._ended_new = 0
        self._cells: dict[CellKey, _Tally] = {}

    def count_begin(self, side: Side) -> None:
        """Count a request that was given to a side."""
        self._begun[side] += 1

    def count_attempt(
        self, record: AttemptRecord, side: Side, group: int
    ) -> None:
        """Count an ended attempt, unless its ending says nothing."""
        if side is Side.new:
            self._ended_new += 1
        if record.ending not in _JUDGED_ENDINGS:
            return
        key = CellKey(record.call.route, side, record.choice.zone, group)
        tally = self._cells.setdefault(key, _Tally())
        tally.add(record)

    def freeze(self) -> HostEvidence:
        """Return the counters as they are now."""
        return HostEvidence(
            self._epoch,
            self._begun[Side.old],
            self._begun[Side.new],
            self._ended_new,
            tuple(tally.freeze(key) for key, tally in self._cells.items()),
        )


class EvidencePool:
    """Turn the growing counters of many hosts into increments.

    A host that is gone takes nothing back: what it once said has been
    counted. One that restarted begins at zero under another epoch.
    """

    def __init__(self) -> None:
        self._seen: dict[str, HostEvidence] = {}

    def read_increment(self, origin: str, evidence: HostEvidence) -> Increment:
        """Return what is new in a host's counters."""
        seen = self._seen.get(origin)
        if seen is None or seen.epoch != evidence.epoch:
            seen = HostEvidence(evidence.epoch)
        self._seen[origin] = evidence
        earlier = {cell.key: cell for cell in seen.cells}
        changed = (
            _subtract_cells(cell, earlier.get(cell.key, Cell(cell.key)))
            for cell in evidence.cells
        )
        return Increment(
            max(0, evidence.begun_old - seen.begun_old),
            max(0, evidence.begun_new - seen.begun_new),
            max(0, evidence.ended_new - seen.ended_new),
            tuple(cell for cell in changed if cell.trials > 0),
        )

    def read_summary_increment(
        self, origin: str, evidence: HostEvidence
    ) -> Increment:
        """Return what is new in the summed counters of several hosts.

        The first reading only tells where they stand, since the hosts may
        have been read one by one before.
        """
        if origin in self._seen:
            return self.read_increment(origin, evidence)
        self._seen[origin] = evidence
        return Increment()


def add_evidence(hosts: Sequence[HostEvidence]) -> HostEvidence:
    """Return the sum of several hosts' counters.

    It shrinks when a host leaves; readers take what grows from then on.
    """
    cells: dict[CellKey, Cell] = {}
    for cell in chain.from_iterable(host.cells for host in hosts):
        cells[cell.key] = _add_cells(cell, cells.get(cell.key, Cell(cell.key)))
    return HostEvidence(
        0,
        sum(host.begun_old for host in hosts),
        sum(host.begun_new for host in hosts),
        sum(host.ended_new for host in hosts),
        tuple(cells.values()),
    )


def merge_increments(increments: Iterable[Increment]) -> Increment:
    """Return the sum of what several hosts added."""
    found = tuple(increments)
    return Increment(
        sum(increment.begun_old for increment in found),
        sum(increment.begun_new for increment in found),
        sum(increment.ended_new for increment in found),
        tuple(chain.from_iterable(increment.cells for increment in found)),
    )


class _Tally:
    def __init__(self) -> None:
        self._trials = 0
        self._faults: Counter[int] = Counter()
        self._losses: Counter[int] = Counter()
        self._first_token: Counter[int] = Counter()
        self._pace: Counter[int] = Counter()

    def add(self, record: AttemptRecord) -> None:
        self._trials += 1
        bucket = find_content_bucket(record.call.content_key)
        if record.ending in FAULT_ENDINGS:
            self._faults[bucket] += 1
        elif record.ending in LOSS_ENDINGS:
            self._losses[bucket] += 1
        else:
            self._add_latency(record)

    def freeze(self, key: CellKey) -> Cell:
        return Cell(
            key,
            self._trials,
            dict(self._faults),
            dict(self._losses),
            dict(self._first_token),
            dict(self._pace),
        )

    def _add_latency(self, record: AttemptRecord) -> None:
        # A plain service's only latency is that of the whole reply.
        first = record.first_token_at or record.ended
        self._first_token[find_latency_bucket(first - record.started)] += 1
        following = record.tokens - 1
        if following > 0:
            pace = (record.ended - first) / following
            self._pace[find_latency_bucket(pace)] += 1


def _add_cells(one: Cell, other: Cell) -> Cell:
    return Cell(
        one.key,
        one.trials + other.trials,
        Counter(one.faults) + Counter(other.faults),
        Counter(one.losses) + Counter(other.losses),
        Counter(one.first_token) + Counter(other.first_token),
        Counter(one.pace) + Counter(other.pace),
    )


def _subtract_cells(later: Cell, earlier: Cell) -> Cell:
    return Cell(
        later.key,
        later.trials - earlier.trials,
        _subtract(later.faults, earlier.faults),
        _subtract(later.losses, earlier.losses),
        _subtract(later.first_token, earlier.first_token),
        _subtract(later.pace, earlier.pace),
    )


def _subtract(
    later: Mapping[int, int], earlier: Mapping[int, int]
) -> dict[int, int]:
    return {
        bucket: count - earlier.get(bucket, 0)
        for bucket, count in later.items()
        if count > earlier.get(bucket, 0)
    }
