"""Estimate the load of backend servers from late and partial reports.

An engine's report is right for the moment it was measured. What this host
and its peers have sent and seen end since then is added to it. Prompt work
is followed apart as a store of tokens that drains at the engine's rate,
because a long prompt delays the first token of those behind it.

All times are monotonic seconds of this host; whoever receives a report
converts its wall time.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

UNREPORTED_CAPACITY: Final = 64
_HISTORY_SECONDS: Final = 30.0
_PEER_EXPIRY_SECONDS: Final = 10.0
_REPORT_EXPIRY_SECONDS: Final = 15.0
_INITIAL_PREFILL_RATE: Final = 8000.0
_MIN_PREFILL_RATE: Final = 200.0
_RATE_DECAY: Final = 0.97
_MIN_RATE_TOKENS: Final = 64
_INITIAL_HOLD_SECONDS: Final = 2.0
_HOLD_GAIN: Final = 0.05


@dataclass(frozen=True)
class ServerCounts:
    """Count one host's work at one server.

    ``prompt_tokens`` and ``urgent_tokens`` grow with each dispatch; the
    others go up and down.
    """

    running: int = 0
    urgent: int = 0
    isolated: int = 0
    prompt_tokens: int = 0
    urgent_tokens: int = 0


@dataclass(frozen=True)
class AttemptLoad:
    """Describe one attempt as load."""

    prompt_tokens: int
    urgent: bool
    isolated: bool = False


@dataclass(frozen=True)
class Report:
    """Hold a server's own figures; ``measured`` is monotonic seconds."""

    in_flight: int
    capacity: int
    measured: float


@dataclass(frozen=True)
class ServerLoad:
    """Estimate a server's load now.

    ``backlog_tokens`` are prompt tokens not computed yet, ``urgent_tokens``
    those of urgent requests among them; ``prefill_rate`` is tokens a second,
    ``hold_seconds`` how long an attempt keeps its slot.
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
    """Remember counts for as long as a report can be late.

    Before its first point a history of one's own work counted nothing; what
    a peer counted before its first message is not known.
    """

    def __init__(self, *points: tuple[float, ServerCounts]) -> None:
        self._points = deque(points)

    @property
    def latest(self) -> ServerCounts:
        """Return the newest counts."""
        return self._points[-1][1] if self._points else ServerCounts()

    def append(self, now: float, counts: ServerCounts) -> None:
        """Add the counts that hold from now on."""
        self._points.append((now, counts))
        # One point older than the span says what held at its beginning.
        while (
            len(self._points) > 1
            and self._points[1][0] < now - _HISTORY_SECONDS
        ):
            self._points.popleft()

    def count_change(self, since: float) -> int:
        """Return how many more are running than at a time."""
        earlier = self._points[0][1].running if self._points else 0
        for at, counts in reversed(self._points):
            if at <= since:
                earlier = counts.running
                break
        return self.latest.running - earlier


class Backlog:
    """Store tokens that drain at a rate."""

    def __init__(self) -> None:
        self._tokens: float = 0
        self._at: float = 0

    def add(self, tokens: float, now: float, rate: float) -> None:
        """Add tokens at a time."""
        self._tokens = self.remaining(now, rate) + tokens
        self._at = max(now, self._at)

    def remaining(self, now: float, rate: float) -> float:
        """Return the tokens left."""
        return max(0, self._tokens - rate * max(0, now - self._at))


class ServerLoadTracker:
    """Follow one server's load."""

    def __init__(self) -> None:
        self.own = CountHistory((-inf, ServerCounts()))
        self._peers: dict[str, tuple[float, CountHistory]] = {}
        self._report: Report | None = None
        self._backlog = Backlog()
        self._urgent_backlog = Backlog()
        self._prefill_rate = _INITIAL_PREFILL_RATE
        self._hold_seconds = _INITIAL_HOLD_SECONDS

    def note_start(self, work: AttemptLoad, now: float) -> None:
        """Count an attempt that this host sends."""
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

    def note_end(self, work: AttemptLoad, now: float) -> None:
        """Count the end of such an attempt."""
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

    def take_report(self, report: Report) -> None:
        """Take the server's figures unless newer ones are known."""
        if self._report is None or report.measured > self._report.measured:
            self._report = report

    def take_peer(self, origin: str, counts: ServerCounts, at: float) -> None:
        """Take what a peer counted at a time."""
        known = self._peers.get(origin)
        if known is None:
            history = CountHistory()
        elif at <= known[0]:
            return
        else:
            history = known[1]
            self._add_backlog(history.latest, counts, at)
        history.append(at, counts)
        self._peers[origin] = (at, history)

    def learn_speed(
        self, prompt_tokens: int, first_seconds: float, total_seconds: float
    ) -> None:
        """Learn from an attempt that completed.

        Waiting makes an engine look slow, so the rate is the decaying
        maximum of what was seen.
        """
        self._hold_seconds += _HOLD_GAIN * (total_seconds - self._hold_seconds)
        if prompt_tokens >= _MIN_RATE_TOKENS and first_seconds > 0:
            observed = prompt_tokens / first_seconds
            self._prefill_rate = max(
                observed, self._prefill_rate * _RATE_DECAY, _MIN_PREFILL_RATE
            )

    def estimate(self, now: float) -> ServerLoad:
        """Return the load as far as it can be told."""
        peers = [
            history
            for at, history in self._peers.values()
            if at >= now - _PEER_EXPIRY_SECONDS
        ]
        known = [self.own, *peers]
        report = self._extrapolate_report(known, now)
        return ServerLoad(
            report.in_flight,
            sum(history.latest.urgent for history in known),
            sum(history.latest.isolated for history in known),
            max(1, report.capacity),
            self._backlog.remaining(now, self._prefill_rate),
            self._urgent_backlog.remaining(now, self._prefill_rate),
            self._prefill_rate,
            self._hold_seconds,
            now - report.measured,
        )

    def _extrapolate_report(
        self, known: list[CountHistory], now: float
    ) -> Report:
        report = self._report
        if report is None or report.measured < now - _REPORT_EXPIRY_SECONDS:
            counted = sum(history.latest.running for history in known)
            return Report(counted, UNREPORTED_CAPACITY, now)
        changed = sum(
            history.count_change(report.measured) for history in known
        )
        return Report(
            max(self.own.latest.running, report.in_flight + changed),
            report.capacity,
            report.measured,
        )

    def _add_backlog(
        self, before: ServerCounts, after: ServerCounts, now: float
    ) -> None:
        # A peer that started anew counts from zero again.
        added = max(0, after.prompt_tokens - before.prompt_tokens)
        urgent = max(0, after.urgent_tokens - before.urgent_tokens)
        self._backlog.add(added, now, self._prefill_rate)
        self._urgent_backlog.add(urgent, now, self._prefill_rate)


class ServerLoadTrackers:
    """Hold the track of each server."""

    def __init__(self) -> None:
        self._trackers: dict[str, ServerLoadTracker] = {}

    def find(self, server: str) -> ServerLoadTracker:
        """Return a server's track, an empty one at first."""
        return self._trackers.setdefault(server, ServerLoadTracker())

    def keep_only(self, servers: Iterable[str]) -> None:
        """Drop the tracks of servers that are not named."""
        self._trackers = {name: self.find(name) for name in servers}

    def collect_counts(self) -> Mapping[str, ServerCounts]:
        """Return this host's counts at the servers it has sent to."""
        return {
            name: tracker.own.latest
            for name, tracker in self._trackers.items()
            if tracker.own.latest.prompt_tokens or tracker.own.latest.running
        }
