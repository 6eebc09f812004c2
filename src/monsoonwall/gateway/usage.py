"""Count the requests of each workspace and report them by time window.

All hosts exchange their counts. The lease holder sums up each window, writes
the sums to the store ("freezes" them) and reports them to the platform. Only
windows are frozen that some known host has observed: when all hosts have been
killed and the store has returned from an older copy, a window may have been
reported although nothing of it is known.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from msgspec import Struct, json, msgpack
from returns.pipeline import is_successful

from monsoonwall.clocks import Clock, SteadyWallClock
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.gateway.duties import (
    DutyCalls,
    DutyEnding,
    DutyWorker,
    LeaseHolder,
    UsageReport,
)
from monsoonwall.gateway.frozen_counts import Counts, FrozenCounts
from monsoonwall.gateway.settings import Bounds
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, is_zone_summary
from monsoonwall.metrics import GATEWAY_UNKNOWN_WINDOWS
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoreFailure,
)

USAGE_KIND: Final = 'gateway-usage'
_FROZEN_KEY: Final = 'usage/frozen'
# Number of windows that a host publishes, the current one included.
_PUBLISHED_WINDOWS: Final = 4
# Number of windows whose counts stay in the store for the next lease holder.
_STORED_WINDOWS: Final = 12
# Time until a host that has just started has the counts of the others.
_STARTUP_SECONDS: Final = 2.5
# Time after the end of a window until its last counts reach the lease holder.
_SETTLE_SECONDS: Final = 1.5
# In a large fleet, counts pass relays and take longer. This fraction of the
# time limit for a report is allowed for that; the rest is for the calls.
_RELAYED_SETTLE_RATIO: Final = 0.45
# Clocks of hosts may differ by this much. A host that starts after a window has
# been reported must not take itself for one that was there.
_CLOCK_ERROR_SECONDS: Final = 2.0

_log = make_logger('usage')


class _PublishedCounts(Struct):
    # Distinguishes incarnations of a host, whose counts are added up.
    started_wall: float
    windows: dict[int, Counts]
    # Whether the host was there before the windows ended.
    observed: bool = True


class UsageCounter:
    """Count requests by window, on this host and on all hosts."""

    def __init__(
        self, board: Board, clock: Clock, own_name: str, bounds: Bounds
    ) -> None:
        self.frozen = FrozenCounts(board, clock)
        self._board = board
        self._clock = clock
        self._own_name = own_name
        self._window_seconds = bounds.usage_window_seconds
        self._synchronized_at = clock.read_monotonic() + _STARTUP_SECONDS
        self._relayed_settle_seconds = (
            _RELAYED_SETTLE_RATIO * bounds.usage_late_seconds
        )
        self._relayed = False
        self._steady_clock = SteadyWallClock(clock)
        self._own_counts = _PublishedCounts(self._steady_clock.read(), {})
        self._first_observed = self._find_window(_CLOCK_ERROR_SECONDS)
        self._published: dict[str, bytes] = {}
        self._counts_by_origin: dict[tuple[str, float], dict[int, Counts]] = {}
        # The payloads last read, by origin and key.
        self._payloads: dict[tuple[str, str], bytes] = {}
        self._observed: set[int] = set()
        board.declare_merge(USAGE_KIND, merge_usage)

    def count(self, workspace: str) -> None:
        """Count a request that begins now at a server."""
        window = self._own_counts.windows.setdefault(self._find_window(), {})
        window[workspace] = window.get(workspace, 0) + 1

    @property
    def synchronized(self) -> bool:
        """Return whether the other hosts' counts have had time to arrive."""
        return self._clock.read_monotonic() >= self._synchronized_at

    def exchange(self) -> None:
        """Publish this host's counts and read those of the other hosts."""
        current = self._find_window()
        oldest = current - _PUBLISHED_WINDOWS + 1
        # Windows without requests are published as well, as observed ones.
        for observed in range(max(oldest, self._first_observed), current + 1):
            self._own_counts.windows.setdefault(observed, {})
        self._own_counts.windows = _drop_before(
            self._own_counts.windows, oldest
        )
        for number, counts in self._own_counts.windows.items():
            self._publish(number, counts)
        entries = self._board.read_entries(USAGE_KIND)
        self._relayed = any(map(is_zone_summary, entries))
        known = self._payloads
        self._payloads = {
            (entry.origin, entry.key): entry.payload for entry in entries
        }
        for source, payload in self._payloads.items():
            if known.get(source) != payload:
                self._merge_counts(source[0], payload)
        self._drop_old_counts(current - _STORED_WINDOWS)

    def sum_window(self, number: int) -> Counts:
        """Return the counts of all hosts in a window."""
        total: Counts = {}
        for windows in self._counts_by_origin.values():
            for workspace, count in windows.get(number, {}).items():
                total[workspace] = total.get(workspace, 0) + count
        return total

    def count_origins(self, number: int) -> int:
        """Return how many hosts and zones have counts of a window."""
        return sum(
            number in windows for windows in self._counts_by_origin.values()
        )

    def is_observed(self, number: int) -> bool:
        """Return whether a known host was there before a window ended."""
        return number in self._observed

    def find_settled_window(self) -> int:
        """Return the last window whose counts from all hosts have arrived."""
        seconds = (
            self._relayed_settle_seconds if self._relayed else _SETTLE_SECONDS
        )
        return self._find_window(-seconds) - 1

    def _find_window(self, offset_seconds: float = 0) -> int:
        """Return the window that contains the time at an offset from now."""
        wall = self._steady_clock.read() + offset_seconds
        return int(wall // self._window_seconds)

    def _publish(self, number: int, counts: Counts) -> None:
        # A window that is over does not change and is published only once. Its
        # key is reused for a later window.
        key = str(number % _PUBLISHED_WINDOWS)
        payload = msgpack.encode(
            _PublishedCounts(
                self._own_counts.started_wall,
                {number: counts},
                number >= self._first_observed,
            )
        )
        if payload != self._published.get(key):
            self._published[key] = payload
            self._board.publish_entry(USAGE_KIND, key, payload)

    def _merge_counts(self, origin: str, payload: bytes) -> None:
        decoded = _decode_counts(payload)
        # Counts are kept when their host has left. The sum of a zone shrinks
        # when a host leaves it, so the highest count seen is kept.
        known = self._counts_by_origin.setdefault(
            (origin, decoded.started_wall), {}
        )
        if decoded.observed:
            self._observed.update(decoded.windows)
        for number, counts in decoded.windows.items():
            window = known.setdefault(number, {})
            for workspace, count in counts.items():
                window[workspace] = max(count, window.get(workspace, 0))

    def _drop_old_counts(self, oldest: int) -> None:
        self._counts_by_origin = {
            incarnation: kept
            for incarnation, windows in self._counts_by_origin.items()
            if (kept := _drop_before(windows, oldest))
        }
        self._observed = {
            number for number in self._observed if number >= oldest
        }


def merge_usage(payloads: Sequence[bytes]) -> bytes:
    """Return the sum of several hosts' encoded counts of the latest window."""
    decoded = [_decode_counts(payload) for payload in payloads]
    latest = max(
        (number for one in decoded for number in one.windows),
        default=0,
    )
    of_latest = [one for one in decoded if latest in one.windows]
    summed: Counter[str] = Counter()
    for published in of_latest:
        summed.update(published.windows[latest])
    observed = any(one.observed for one in of_latest)
    return msgpack.encode(_PublishedCounts(0, {latest: dict(summed)}, observed))


def _decode_counts(payload: bytes) -> _PublishedCounts:
    try:
        return msgpack.decode(payload, type=_PublishedCounts)
    except DECODE_ERRORS as error:
        _log.warning('Cannot decode usage counts.', reason=str(error))
        return _PublishedCounts(0, {})


class UsageReporter(DutyWorker):
    """Freeze and report the windows while this host holds the lease.

    Frozen counts are written to the store only if its version has not changed
    since it was read, so that all lease holders report the same counts. Other
    hosts receive them before they are reported, since the store may lose them.
    """

    def __init__(
        self,
        counter: UsageCounter,
        store: ObjectStore,
        calls: DutyCalls,
        bounds: Bounds,
    ) -> None:
        self._counter = counter
        self._store = store
        self._calls = calls
        late_windows = bounds.usage_late_seconds / bounds.usage_window_seconds
        self._reportable_windows = 1 + max(1, int(late_windows))
        self._version: int | None = None
        self._frozen: dict[int, Counts] = {}
        self._reported: set[int] = set()
        self._replicated: set[int] = set()
        self._last_unknown: int | None = None

    def reset(self) -> None:
        """Read the store again before the next report."""
        self._version = None
        self._replicated.clear()

    async def step(self, holder: LeaseHolder) -> None:
        """Report the due windows; the next step retries failed reports."""
        due = self._counter.find_settled_window()
        if due in self._reported or not self._counter.synchronized:
            return
        if self._version is None and not await self._read():
            return
        first = due - self._reportable_windows + 1
        unfrozen = self._list_unfrozen(range(first, due + 1))
        if unfrozen and not await self._freeze(unfrozen):
            return
        for number in range(first, due + 1):
            if number in self._frozen and number not in self._reported:
                await self._report(holder, number)
        self._reported = {
            window for window in self._reported if window >= first
        }

    async def _report(self, holder: LeaseHolder, number: int) -> None:
        counts = self._frozen[number]
        if number not in self._replicated:
            if not await self._counter.frozen.replicate(number, counts):
                _log.warning('Usage not replicated yet.', window=number)
                return
            self._replicated.add(number)
        report = UsageReport(number, counts)
        ending = await self._calls.report_usage(holder, report)
        if ending is DutyEnding.done:
            self._reported.add(number)

    async def _read(self) -> bool:
        found = await self._store.read(_FROZEN_KEY, CallReason.status)
        if is_successful(found):
            stored = found.unwrap()
            self._version = stored.version
            self._restore(_decode_frozen(stored.content))
            return True
        if found.failure() is StoreFailure.missing:
            self._version = 0
            self._restore({})
            return True
        return False

    def _restore(self, stored: Mapping[int, Counts]) -> None:
        """Adopt the counts of the store and those that it may have lost."""
        self._frozen = {**stored, **self._counter.frozen.read(), **self._frozen}

    def _list_unfrozen(self, due: Iterable[int]) -> tuple[int, ...]:
        """Return the due windows to freeze; log those that are unknown."""
        unfrozen = [number for number in due if number not in self._frozen]
        known = tuple(filter(self._counter.is_observed, unfrozen))
        unknown = max(set(unfrozen).difference(known), default=None)
        if unknown not in {None, self._last_unknown}:
            self._last_unknown = unknown
            GATEWAY_UNKNOWN_WINDOWS.inc()
            _log.warning(
                'Usage unknown: no host has observed the window.',
                window=unknown,
            )
        return known

    async def _freeze(self, unfrozen: Sequence[int]) -> bool:
        """Write the counts of windows to the store."""
        frozen = self._frozen | {
            number: self._counter.sum_window(number) for number in unfrozen
        }
        due = max(unfrozen)
        recent = _drop_before(frozen, due - _STORED_WINDOWS)
        content = json.encode(recent)
        written = await (
            self._store.update(
                _FROZEN_KEY, content, self._version, CallReason.status
            )
            if self._version
            else self._store.create(_FROZEN_KEY, content, CallReason.status)
        )
        if not is_successful(written):
            # The write may have taken effect, so read the store again.
            self._version = None
            return False
        self._version = written.unwrap().version
        self._frozen = recent
        _log.info(
            'Usage frozen.',
            window=due,
            requests=sum(recent[due].values()),
            origins=self._counter.count_origins(due),
        )
        return True


def _drop_before(
    windows: Mapping[int, Counts], oldest: int
) -> dict[int, Counts]:
    return {
        number: counts for number, counts in windows.items() if number >= oldest
    }


def _decode_frozen(content: bytes) -> dict[int, Counts]:
    try:
        return json.decode(content, type=dict[int, Counts])
    except DECODE_ERRORS as error:
        _log.warning('Cannot decode frozen counts.', reason=str(error))
        return {}
