"""Count the results of attempts on the two versions of a move.

Every host keeps counters that only grow, one set per route, side, zone and
group of servers. They can be summed over hosts in any order and without a
shared clock, so that a small fleet combines its few observations.

The structs that hosts exchange are encoded as arrays, in a fifth of the bytes
that they would take with field names.
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

# Servers of a version are counted in at most this many groups, and contents and
# latencies in these numbers of buckets, which bounds what hosts exchange.
MAX_GROUPS: Final = 16
CONTENT_BUCKETS: Final = 16
LATENCY_BUCKETS: Final = 64
# Shorter latencies depend on the hosts more than on the version.
_MIN_LATENCY_SECONDS: Final = 0.005
_LATENCY_BUCKET_RATIO: Final = 1.25
_LOG_LATENCY_BUCKET_RATIO: Final = math.log(_LATENCY_BUCKET_RATIO)

# The server gave a wrong answer.
FAULT_ENDINGS: Final = frozenset(
    (AttemptEnding.failed, AttemptEnding.malformed)
)
# There was no answer. The failure of a zone or host looks like a version that
# crashes its process, so versions are compared by these within one zone only.
LOSS_ENDINGS: Final = frozenset(
    (
        AttemptEnding.crashed,
        AttemptEnding.unreachable,
        AttemptEnding.timed_out,
    )
)
_EVIDENCE_ENDINGS: Final = (
    FAULT_ENDINGS | LOSS_ENDINGS | {AttemptEnding.completed}
)


class Side(IntEnum):
    """Distinguish the two versions of a move."""

    old = 0
    new = 1


class CellKey(Struct, frozen=True, array_like=True):
    """Identify one set of counters; ``group`` is a group of servers."""

    route: str
    side: Side
    zone: str
    group: int


class Cell(Struct, frozen=True, array_like=True):
    """Hold the counters of one key.

    ``trials`` counts the attempts that are evidence. ``faults`` counts wrong
    answers and ``losses`` missing ones, by content bucket. ``first_token``
    counts the seconds until the first token, and ``pace`` the seconds per
    further token, by latency bucket.
    """

    key: CellKey
    trials: int = 0
    faults: dict[int, int] = field(default_factory=dict)
    losses: dict[int, int] = field(default_factory=dict)
    first_token: dict[int, int] = field(default_factory=dict)
    pace: dict[int, int] = field(default_factory=dict)


class HostEvidence(Struct, frozen=True, array_like=True):
    """Hold one host's counters for one move.

    ``epoch`` changes when the host restarts and its counters start at zero.
    """

    epoch: int
    begun_old: int = 0
    begun_new: int = 0
    ended_new: int = 0
    cells: tuple[Cell, ...] = ()


@dataclass(frozen=True)
class Increment:
    """Hold the growth of the counters between two readings.

    ``begun_old`` and ``begun_new`` count the requests sent to a version,
    ``ended_new`` the new version's attempts that ended in any way. ``cells``
    only count the attempts whose endings are evidence for or against it.
    """

    begun_old: int = 0
    begun_new: int = 0
    ended_new: int = 0
    cells: tuple[Cell, ...] = ()


def find_latency_bucket(seconds: float) -> int:
    """Return the bucket of a latency.

    Each bucket is a quarter longer than the one before. The first also holds
    all shorter latencies, the last all longer ones.
    """
    if seconds <= _MIN_LATENCY_SECONDS:
        return 0
    bucket = int(
        math.log(seconds / _MIN_LATENCY_SECONDS) / _LOG_LATENCY_BUCKET_RATIO
    )
    return min(bucket, LATENCY_BUCKETS - 1)


def find_content_bucket(content_key: str) -> int:
    """Return the bucket of a request's content; all hosts agree on it."""
    return xxh3_64_intdigest(content_key.encode()) % CONTENT_BUCKETS


class ServerGroups:
    """Assign the servers of a version to a bounded number of groups."""

    def __init__(
        self,
        servers: Mapping[str, BackendServer],
        service: str,
        version: str,
    ) -> None:
        # Sorted by zone, so that few groups span two zones.
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
        """Return the number of servers."""
        return len(self._groups)

    def find(self, server: str) -> int:
        """Return the group of a server, the first one for unknown servers."""
        return self._groups.get(server, 0)


class EvidenceCounter:
    """Count this host's attempts for one move."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._begun: Counter[Side] = Counter()
        self._ended_new = 0
        self._cells: dict[CellKey, _Tally] = {}

    def count_begin(self, side: Side) -> None:
        """Count a request that is sent to a side."""
        self._begun[side] += 1

    def count_attempt(
        self, record: AttemptRecord, side: Side, group: int
    ) -> None:
        """Count an ended attempt; only some endings are evidence."""
        if side is Side.new:
            self._ended_new += 1
        if record.ending not in _EVIDENCE_ENDINGS:
            return
        key = CellKey(record.call.route, side, record.choice.zone, group)
        tally = self._cells.setdefault(key, _Tally())
        tally.add(record)

    def freeze(self) -> HostEvidence:
        """Return a copy of the counters."""
        return HostEvidence(
            self._epoch,
            self._begun[Side.old],
            self._begun[Side.new],
            self._ended_new,
            tuple(tally.freeze(key) for key, tally in self._cells.items()),
        )


class EvidencePool:
    """Compute how much the hosts' counters grow between readings.

    What a host counted before it was gone remains counted. A host that
    restarts counts from zero under another epoch.
    """

    def __init__(self) -> None:
        self._seen: dict[str, HostEvidence] = {}

    def read_increment(self, origin: str, evidence: HostEvidence) -> Increment:
        """Return the growth of a host's counters since the last reading."""
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
        """Return the growth of the summed counters of several hosts.

        The first reading returns no growth, since the counters of these hosts
        may have been read one by one before.
        """
        if origin in self._seen:
            return self.read_increment(origin, evidence)
        self._seen[origin] = evidence
        return Increment()


def sum_evidence(hosts: Sequence[HostEvidence]) -> HostEvidence:
    """Return the sum of several hosts' counters.

    The sum shrinks when a host leaves; growth is then counted from the smaller
    sum.
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
    """Return the sum of several hosts' increments."""
    all_increments = tuple(increments)
    return Increment(
        sum(increment.begun_old for increment in all_increments),
        sum(increment.begun_new for increment in all_increments),
        sum(increment.ended_new for increment in all_increments),
        tuple(
            chain.from_iterable(increment.cells for increment in all_increments)
        ),
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
        # A plain service has no tokens, so its latency lasts until the end.
        first_at = record.first_token_at or record.ended
        self._first_token[find_latency_bucket(first_at - record.started)] += 1
        further_tokens = record.tokens - 1
        if further_tokens > 0:
            pace = (record.ended - first_at) / further_tokens
            self._pace[find_latency_bucket(pace)] += 1


def _add_cells(first: Cell, second: Cell) -> Cell:
    return Cell(
        first.key,
        first.trials + second.trials,
        Counter(first.faults) + Counter(second.faults),
        Counter(first.losses) + Counter(second.losses),
        Counter(first.first_token) + Counter(second.first_token),
        Counter(first.pace) + Counter(second.pace),
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
