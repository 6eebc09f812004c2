"""Isolate or refuse requests that may crash backend servers.

When an attempt ends like a crash, its request is suspect while another task
checks whether the server really crashed. Confirmed crashes are published to
all hosts, which classify requests by these records. A suspect that completes
is cleared; one that crashes a further server is convicted and refused.
"""

from asyncio import Queue
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cachetools import TTLCache
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    SUSPICION_SECONDS,
    ClearRecord,
    CrashHistory,
    CrashRecord,
    Suspicion,
    classify_content,
)
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.metrics import SCREENED_REQUESTS
from monsoonwall.pipeline.crash_records import (
    COMPLETED_SECONDS,
    ConvictionRecords,
    CrashRecords,
    get_order_time,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Effect,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.part_screening import PartScreening
from monsoonwall.pipeline.stages import Observer, Screening

CRASH_KIND: Final = 'crash'
CLEAR_KIND: Final = 'crash_cleared'
# A check without a result is dropped after this time. Probing a server takes
# much less.
_CHECK_TIMEOUT_SECONDS: Final = 3.0
_MAX_COMPLETED: Final = 4096

_log = make_logger('suspects')


@dataclass(frozen=True)
class CrashCheck:
    """Describe a pending check of whether a server crashed in an attempt."""

    record: CrashRecord
    started_at: float
    call: Call


class SuspectScreening(Screening, Observer, ConvictionRecords):
    """Classify requests by the crash records of all hosts."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self.crash_checks: Queue[CrashCheck] = Queue()
        self.parts = PartScreening(board, clock)
        self._clock = clock
        self._records = CrashRecords(board, CRASH_KIND, CLEAR_KIND)
        self._pending_checks: dict[str, CrashCheck] = {}
        self._recently_completed: TTLCache[str, None] = TTLCache(
            _MAX_COMPLETED, COMPLETED_SECONDS, clock.read_monotonic
        )
        self._conviction_records: tuple[CrashRecord, ...] = ()
        self._conviction_change_count = 0
        self._unexplained = CrashHistory({}, {})
        self._unexplained_counts: tuple[int, frozenset[str]] | None = None

    def screen(self, call: Call, now: float) -> Result[bool, Refusal]:
        """Return whether the call must run isolated, or the refusal."""
        suspicion = self.classify(call.content_key)
        SCREENED_REQUESTS.labels(suspicion).inc()
        if suspicion is Suspicion.convicted:
            return Failure(self.refuse(call, Effect.not_run))
        return Success(suspicion is Suspicion.suspect)

    def classify(self, content_key: str) -> Suspicion:
        """Return whether requests of this content are suspect or convicted."""
        now_wall = self._clock.read_wall()
        history = self._refresh_history(now_wall)
        suspicion = classify_content(history, content_key, now_wall)
        if suspicion is Suspicion.none and self._is_pending(content_key):
            return Suspicion.suspect
        return suspicion

    def refuse(self, call: Call, effect: Effect) -> Refusal:
        """Return the refusal for a convicted call."""
        crashes = self._records.list_crashes(call.content_key)
        now_wall = self._clock.read_wall()
        crashed_wall = max(map(get_order_time, crashes), default=now_wall)
        remaining = crashed_wall + CONVICTION_SECONDS - now_wall
        return Refusal(
            RefusalReason.crashing_request,
            effect,
            'backend servers crashed while they ran this request; '
            'change it, or report it to the operators',
            max(1, remaining),
        )

    def observe(self, record: AttemptRecord) -> None:
        """Start a check after a crash; clear a suspect that completed."""
        if record.ending is AttemptEnding.crashed:
            crash_check = self.start_check(record)
            if crash_check is not None:
                self.crash_checks.put_nowait(crash_check)
        elif record.ending is AttemptEnding.completed:
            self._clear_suspicion(record)
            self.parts.record_completion(record.call)

    def start_check(self, record: AttemptRecord) -> CrashCheck | None:
        """Return a check of an attempt that ended like a crash.

        Returns None if the request completed recently. Otherwise the caller
        has to pass the result of the check to ``finish_check``.
        """
        content_key = record.call.content_key
        now = self._clock.read_monotonic()
        if content_key in self._recently_completed:
            return None
        crash_check = CrashCheck(
            CrashRecord(
                self._clock.read_wall(),
                self._compute_start_wall(record, now),
                record.choice.server,
                content_key,
                record.choice.isolated,
            ),
            now,
            record.call,
        )
        self._pending_checks[content_key] = crash_check
        return crash_check

    def finish_check(self, crash_check: CrashCheck, crashed: bool) -> None:
        """Record the result of a check; publish the crash if confirmed."""
        record = crash_check.record
        if self._pending_checks.get(record.content_key) is crash_check:
            self._pending_checks.pop(record.content_key)
        if not crashed:
            return
        self._records.publish_crashes((record,), SUSPICION_SECONDS)
        self.parts.record_crash(crash_check.call, record)
        if self.classify(record.content_key) is Suspicion.convicted:
            self.extend_expiry(self._records.list_crashes(record.content_key))
        _log.warning(
            'Backend server crashed while running a request.',
            server=record.server,
            content_key=record.content_key,
            parts=crash_check.call.part_keys,
            isolated=record.isolated,
        )

    def list_conviction_records(self) -> tuple[CrashRecord, ...]:
        """Return the crash records of convicted contents, earliest first."""
        now_wall = self._clock.read_wall()
        history = self._refresh_history(now_wall)
        change_count = self._records.change_count
        if change_count != self._conviction_change_count:
            self._conviction_change_count = change_count
            self._conviction_records = tuple(
                sorted(
                    (
                        record
                        for content_key, by_key in history.crashes.items()
                        if classify_content(history, content_key, now_wall)
                        is Suspicion.convicted
                        for record in by_key.values()
                    ),
                    key=get_order_time,
                )
            )
        return self._conviction_records

    def extend_expiry(self, records: Iterable[CrashRecord]) -> None:
        """Publish crash records of convicted contents with a long expiry.

        Records of suspects are many and needed only briefly, so they are first
        published with a short expiry.
        """
        self._records.publish_crashes(records, CONVICTION_SECONDS)

    def find_pending_crash(self, content_key: str) -> CrashRecord | None:
        """Return the crash of this content that is being checked, if any."""
        crash_check = self._pending_checks.get(content_key)
        return None if crash_check is None else crash_check.record

    def _clear_suspicion(self, record: AttemptRecord) -> None:
        content_key = record.call.content_key
        now = self._clock.read_monotonic()
        self._recently_completed[content_key] = None
        now_wall = self._clock.read_wall()
        history = self._refresh_history(now_wall)
        if classify_content(history, content_key, now_wall) is Suspicion.none:
            return
        self._records.publish_clear(
            ClearRecord(self._compute_start_wall(record, now), content_key),
            now_wall + SUSPICION_SECONDS,
        )

    def _compute_start_wall(self, record: AttemptRecord, now: float) -> float:
        return self._clock.read_wall() - (now - record.started)

    def _is_pending(self, content_key: str) -> bool:
        crash_check = self._pending_checks.get(content_key)
        if crash_check is None:
            return False
        if (
            self._clock.read_monotonic()
            < crash_check.started_at + _CHECK_TIMEOUT_SECONDS
        ):
            return True
        self._pending_checks.pop(content_key)
        return False

    def _refresh_history(self, now_wall: float) -> CrashHistory:
        """Return the records without crashes that a part of a prompt explains.

        Requests that ran beside such a part are not suspected for it.
        """
        history = self._records.refresh(now_wall)
        explained = self.parts.list_explained_servers()
        if not explained:
            return history
        counts = self._records.change_count, explained
        if counts != self._unexplained_counts:
            self._unexplained_counts = counts
            self._unexplained = _drop_servers(history, explained)
        return self._unexplained


def _drop_servers(
    history: CrashHistory, servers: frozenset[str]
) -> CrashHistory:
    crashes = {
        content_key: {
            key: record
            for key, record in by_key.items()
            if record.server not in servers
        }
        for content_key, by_key in history.crashes.items()
    }
    return CrashHistory(crashes, history.clears)
