"""Estimate the load of backend servers at an entry host.

Reports are late and partial. An engine's report is correct for the time when
it was measured. The estimate adds the attempts that this host and its peers
have started and ended since. Prompt work is tracked separately, as a backlog
of tokens that is processed at the engine's prefill rate, because a long prompt
delays the first token of the requests behind it.

All times are monotonic seconds of this host; the receiver of a report
converts its wall time.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

# Attempts that a server without a valid report is assumed to run at a time.
UNREPORTED_CAPACITY: Final = 64
_HISTORY_SECONDS: Final = 30.0
_PEER_EXPIRY_SECONDS: Final = 10.0
_REPORT_EXPIRY_SECONDS: Final = 15.0
# Prefill rates are in tokens per second. The known rate decays by this factor
# with each completed attempt that computed enough tokens to measure it.
_INITIAL_PREFILL_RATE: Final = 8000.0
_MIN_PREFILL_RATE: Final = 200.0
_RATE_DECAY: Final = 0.97
_MIN_RATE_TOKENS: Final = 64
# How long an attempt holds its slot: the first estimate, and the gain of the
# moving average that replaces it.
_INITIAL_HOLD_SECONDS: Final = 2.0
_HOLD_GAIN: Final = 0.05


@dataclass(frozen=True)
class ServerCounts:
    """Count one host's work at one server.

    ``prompt_tokens`` and ``urgent_tokens`` are totals that only grow; the
    others count running attempts.
    """

    running: int = 0
    urgent: int = 0
    isolated: int = 0
    prompt_tokens: int = 0
    urgent_tokens: int = 0


@dataclass(frozen=True)
class AttemptLoad:
    """Describe the load that one attempt adds to a server."""

    prompt_tokens: int
    urgent: bool
    isolated: bool = False


@dataclass(frozen=True)
class ServerReport:
    """Hold a server's figures on itself.

    ``in_flight`` counts its running and waiting attempts, ``capacity`` those
    that it runs at a time. ``measured`` is in monotonic seconds.
    """

    in_flight: int
    capacity: int
    measured: float


@dataclass(frozen=True)
class ServerLoad:
    """Hold the estimate of a server's current load.

    ``backlog_tokens`` are prompt tokens not computed yet, ``urgent_tokens``
    those of urgent requests among them. ``prefill_rate`` is in tokens per
    second, ``hold_seconds`` is how long an attempt keeps its slot on average.
    """

    in_flight: int = 0
    urgent: int = 0
    isolated: int = 0
    capacity: int = UNREPORTED_CAPACITY
    backlog_tokens: float = 0
    urgent_tokens: float = 0
    prefill_rate: float = _INITIAL_PREFILL_RATE
    hold_seconds: float = _INITIAL_HOLD_SECONDS
    report_age: float = 0


class CountHistory:
    """Keep past counts for as long as a report can be late.

    A history of this host's own work begins with a point of zero counts. A
    peer's history begins with its first message, as earlier counts are
    unknown.
    """

    def __init__(self, *points: tuple[float, ServerCounts]) -> None:
        self._points = deque(points)

    @property
    def latest(self) -> ServerCounts:
        """Return the newest counts."""
        return self._points[-1][1] if self._points else ServerCounts()

    def append(self, now: float, counts: ServerCounts) -> None:
        """Add the counts that apply from ``now`` on."""
        self._points.append((now, counts))
        # One older point is kept for the counts at the start of the span.
        while (
            len(self._points) > 1
            and self._points[1][0] < now - _HISTORY_SECONDS
        ):
            self._points.popleft()

    def count_change(self, since: float) -> int:
        """Return by how many the running attempts grew since a time."""
        earlier_running = self._points[0][1].running if self._points else 0
        for counted_at, counts in reversed(self._points):
            if counted_at <= since:
                earlier_running = counts.running
                break
        return self.latest.running - earlier_running


class Backlog:
    """Track waiting tokens; ``rate`` is how many are processed per second."""

    def __init__(self) -> None:
        self._tokens: float = 0
        self._updated_at: float = 0

    def add(self, tokens: float, now: float, rate: float) -> None:
        """Add tokens that begin to wait at a time."""
        self._tokens = self.count_remaining(now, rate) + tokens
        self._updated_at = max(now, self._updated_at)

    def count_remaining(self, now: float, rate: float) -> float:
        """Return the tokens that still wait at a time."""
        return max(0, self._tokens - rate * max(0, now - self._updated_at))


class ServerLoadTracker:
    """Track one server's load."""

    def __init__(self) -> None:
        self.own = CountHistory((-inf, ServerCounts()))
        self._peers: dict[str, tuple[float, CountHistory]] = {}
        self._report: ServerReport | None = None
        self._backlog = Backlog()
        self._urgent_backlog = Backlog()
        self._prefill_rate = _INITIAL_PREFILL_RATE
        self._hold_seconds = _INITIAL_HOLD_SECONDS

    def record_start(self, work: AttemptLoad, now: float) -> None:
        """Count an attempt that this host starts."""
        counts = self.own.latest
        self.own.append(
            now,
            ServerCounts(
                counts.running + 1,
                counts.urgent + work.urgent,
                counts.isolated + work.isolated,
                counts.prompt_tokens + work.prompt_tokens,
                counts.urgent_tokens + work.urgent * work.prompt_tokens,
            ),
        )
        self._add_backlog(counts, self.own.latest, now)

    def record_end(self, work: AttemptLoad, now: float) -> None:
        """Count the end of an attempt that this host started."""
        counts = self.own.latest
        self.own.append(
            now,
            ServerCounts(
                max(0, counts.running - 1),
                max(0, counts.urgent - work.urgent),
                max(0, counts.isolated - work.isolated),
                counts.prompt_tokens,
                counts.urgent_tokens,
            ),
        )

    def record_report(self, report: ServerReport) -> None:
        """Store the server's figures unless newer ones are known."""
        if self._report is None or report.measured > self._report.measured:
            self._report = report

    def record_peer_counts(
        self, origin: str, counts: ServerCounts, counted_at: float
    ) -> None:
        """Store the counts of a peer at a time unless newer ones are known."""
        previous = self._peers.get(origin)
        if previous is None:
            history = CountHistory()
        elif counted_at <= previous[0]:
            return
        else:
            history = previous[1]
            self._add_backlog(history.latest, counts, counted_at)
        history.append(counted_at, counts)
        self._peers[origin] = (counted_at, history)

    def update_rates(
        self, prompt_tokens: int, first_seconds: float, total_seconds: float
    ) -> None:
        """Update the rates from an attempt that completed.

        ``first_seconds`` is the time to its first token. Time spent in the
        queue makes an engine look slow, so the prefill rate is a decaying
        maximum of the observed rates.
        """
        self._hold_seconds += _HOLD_GAIN * (total_seconds - self._hold_seconds)
        if prompt_tokens >= _MIN_RATE_TOKENS and first_seconds > 0:
            observed = prompt_tokens / first_seconds
            self._prefill_rate = max(
                observed, self._prefill_rate * _RATE_DECAY, _MIN_PREFILL_RATE
            )

    def estimate(self, now: float) -> ServerLoad:
        """Return the estimated load at a time."""
        peers = [
            history
            for counted_at, history in self._peers.values()
            if counted_at >= now - _PEER_EXPIRY_SECONDS
        ]
        histories = [self.own, *peers]
        report = self._extrapolate_report(histories, now)
        return ServerLoad(
            report.in_flight,
            sum(history.latest.urgent for history in histories),
            sum(history.latest.isolated for history in histories),
            max(1, report.capacity),
            self._backlog.count_remaining(now, self._prefill_rate),
            self._urgent_backlog.count_remaining(now, self._prefill_rate),
            self._prefill_rate,
            self._hold_seconds,
            now - report.measured,
        )

    def _extrapolate_report(
        self, histories: list[CountHistory], now: float
    ) -> ServerReport:
        report = self._report
        if report is None or report.measured < now - _REPORT_EXPIRY_SECONDS:
            running = sum(history.latest.running for history in histories)
            return ServerReport(running, UNREPORTED_CAPACITY, now)
        change = sum(
            history.count_change(report.measured) for history in histories
        )
        return ServerReport(
            max(self.own.latest.running, report.in_flight + change),
            report.capacity,
            report.measured,
        )

    def _add_backlog(
        self, before: ServerCounts, after: ServerCounts, now: float
    ) -> None:
        # The totals of a peer that restarted begin at zero again.
        added = max(0, after.prompt_tokens - before.prompt_tokens)
        urgent = max(0, after.urgent_tokens - before.urgent_tokens)
        self._backlog.add(added, now, self._prefill_rate)
        self._urgent_backlog.add(urgent, now, self._prefill_rate)


class ServerLoadTrackers:
    """Hold the load tracker of each server."""

    def __init__(self) -> None:
        self._trackers: dict[str, ServerLoadTracker] = {}

    def find(self, server: str) -> ServerLoadTracker:
        """Return a server's tracker, creating an empty one if needed."""
        return self._trackers.setdefault(server, ServerLoadTracker())

    def retain(self, servers: Iterable[str]) -> None:
        """Drop the trackers of other servers, and create missing ones."""
        self._trackers = {name: self.find(name) for name in servers}

    def collect_counts(self) -> Mapping[str, ServerCounts]:
        """Return this host's counts at the servers it has used."""
        return {
            name: tracker.own.latest
            for name, tracker in self._trackers.items()
            if tracker.own.latest.prompt_tokens or tracker.own.latest.running
        }
