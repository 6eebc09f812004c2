"""Keep requests apart that may have crashed a backend server."""

from asyncio import Queue
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from cachetools import TTLCache
from msgspec import DecodeError, ValidationError, msgpack
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    SUSPICION_SECONDS,
    ClearRecord,
    CrashHistory,
    CrashRecord,
    Suspicion,
    judge_content,
)
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact
from monsoonwall.metrics import SUSPECTS
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Effect,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.stages import Observer, Screening

CRASH_KIND: Final = 'crash'
CLEAR_KIND: Final = 'crash_cleared'
_KINDS: Final = (
    (CRASH_KIND, CrashRecord),
    (CLEAR_KIND, ClearRecord),
)
# A question without an answer lapses; probes end well before.
_PENDING_SECONDS: Final = 3.0
_SWEEP_SECONDS: Final = 30.0
# A request that was answered so recently does not end servers.
_ANSWERED_SECONDS: Final = 60.0
_MAX_ANSWERED: Final = 4096

_log = make_logger('suspects')


@dataclass(frozen=True)
class CrashQuestion:
    """Ask whether a server crashed when this attempt broke."""

    record: CrashRecord
    asked: float


class RecordTable:
    """Follow the facts of one kind, without waiting for them.

    Records are found by content key, then by the rest of the fact's key.
    """

    def __init__(self, board: Board, kind: str, record_type: type) -> None:
        self.records: dict[str, dict[str, Any]] = {}
        self.changes = 0
        self._swept_wall: float = 0
        self._decoder = msgpack.Decoder(record_type)
        # Subscribed first, so that nothing falls between.
        self._arrived: Queue[Entry | Fact] = board.subscribe(kind)
        for fact in board.read_facts(kind):
            self.take(fact)

    def refresh(self, now_wall: float) -> None:
        """Take in what has arrived and drop what has expired."""
        while not self._arrived.empty():
            self.take(self._arrived.get_nowait())
        if now_wall >= self._swept_wall + _SWEEP_SECONDS:
            self._swept_wall = now_wall
            self._sweep(now_wall - CONVICTION_SECONDS)

    def take(self, fact: Entry | Fact) -> None:
        """Keep a record unless a later one for its place is known."""
        try:
            record = self._decoder.decode(fact.payload)
        except (DecodeError, ValidationError) as error:
            _log.error('Crash record is damaged.', error=str(error))
            return
        places = self.records.setdefault(record.content_key, {})
        known = places.get(fact.key)
        if known is None or _read_order(record) > _read_order(known):
            places[fact.key] = record
            self.changes += 1

    def _sweep(self, before_wall: float) -> None:
        self.records = {
            content_key: places
            for content_key, places in self.records.items()
            if max(map(_read_order, places.values())) > before_wall
        }


class SuspectScreening(Screening, Observer):
    """Judge requests by the crash records of all hosts."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self.questions: Queue[CrashQuestion] = Queue()
        self._board = board
        self._clock = clock
        self._tables = {
            kind: RecordTable(board, kind, record_type)
            for kind, record_type in _KINDS
        }
        self._pending: dict[str, CrashQuestion] = {}
        self._answered: TTLCache[str, None] = TTLCache(
            _MAX_ANSWERED, _ANSWERED_SECONDS, clock.read_monotonic
        )
        self._convicting: tuple[CrashRecord, ...] = ()
        self._convicting_changes = 0

    def screen(self, call: Call, now: float) -> Result[bool, Refusal]:
        """Return whether the call must run apart, or why it is refused."""
        suspicion = self.judge(call.content_key)
        SUSPECTS.labels(suspicion).inc()
        if suspicion is Suspicion.convicted:
            return Failure(self.refuse(call, Effect.not_run))
        return Success(suspicion is Suspicion.suspect)

    def judge(self, content_key: str) -> Suspicion:
        """Return how a request of this content may run now."""
        now_wall = self._clock.read_wall()
        findings = self._find_findings(now_wall)
        judged = judge_content(findings, content_key, now_wall)
        if judged is Suspicion.none and self._is_pending(content_key):
            return Suspicion.suspect
        return judged

    def refuse(self, call: Call, effect: Effect) -> Refusal:
        """Return the refusal of a convicted call."""
        places = self._tables[CRASH_KIND].records.get(call.content_key, {})
        now_wall = self._clock.read_wall()
        crashed_wall = max(map(_read_order, places.values()), default=now_wall)
        remaining = crashed_wall + CONVICTION_SECONDS - now_wall
        return Refusal(
            RefusalReason.crashing_request,
            effect,
            'backend servers crashed while they ran this request; '
            'change it, or report it to the operators',
            max(1, remaining),
        )

    def observe(self, record: AttemptRecord) -> None:
        """Ask about a broken attempt; clear a suspect that completed."""
        if record.ending is AttemptEnding.crashed:
            question = self.ask(record)
            if question is not None:
                self.questions.put_nowait(question)
        elif record.ending is AttemptEnding.completed:
            self._note_completed(record)

    def ask(self, record: AttemptRecord) -> CrashQuestion | None:
        """Return what is to be found out about a broken attempt, if anything.

        Whoever asks has to settle the question.
        """
        content_key = record.call.content_key
        now = self._clock.read_monotonic()
        if content_key in self._answered:
            return None
        question = CrashQuestion(
            CrashRecord(
                self._clock.read_wall(),
                self._read_start(record, now),
                record.choice.server,
                content_key,
                record.choice.isolated,
            ),
            now,
        )
        self._pending[content_key] = question
        return question

    def settle(self, question: CrashQuestion, crashed: bool) -> None:
        """Take the answer to a question; publish a crash."""
        record = question.record
        if self._pending.get(record.content_key) is question:
            self._pending.pop(record.content_key)
        if not crashed:
            return
        self._publish_crash(record, SUSPICION_SECONDS)
        if self.judge(record.content_key) is Suspicion.convicted:
            places = self._tables[CRASH_KIND].records[record.content_key]
            self.retain(tuple(places.values()))
        _log.warning(
            'Backend server crashed under a request.',
            server=record.server,
            content_key=record.content_key,
            isolated=record.isolated,
        )

    def list_convicting(self) -> tuple[CrashRecord, ...]:
        """Return the crashes under convicted contents, earliest first."""
        now_wall = self._clock.read_wall()
        findings = self._find_findings(now_wall)
        changes = sum(table.changes for table in self._tables.values())
        if changes != self._convicting_changes:
            self._convicting_changes = changes
            self._convicting = tuple(
                sorted(
                    (
                        record
                        for content_key, places in findings.crashes.items()
                        if judge_content(findings, content_key, now_wall)
                        is Suspicion.convicted
                        for record in places.values()
                    ),
                    key=_read_order,
                )
            )
        return self._convicting

    def retain(self, records: Iterable[CrashRecord]) -> None:
        """Keep the crashes under convicted contents for long.

        Those under suspects are many, and are soon not needed any more.
        """
        for record in records:
            self._publish_crash(record, CONVICTION_SECONDS)

    def find_broken(self, content_key: str) -> CrashRecord | None:
        """Return the broken attempt of a content that is looked into."""
        question = self._pending.get(content_key)
        return None if question is None else question.record

    def _note_completed(self, record: AttemptRecord) -> None:
        content_key = record.call.content_key
        now = self._clock.read_monotonic()
        self._answered[content_key] = None
        now_wall = self._clock.read_wall()
        findings = self._find_findings(now_wall)
        if judge_content(findings, content_key, now_wall) is Suspicion.none:
            return
        self._publish(
            CLEAR_KIND,
            content_key,
            ClearRecord(self._read_start(record, now), content_key),
            now_wall + SUSPICION_SECONDS,
        )

    def _read_start(self, record: AttemptRecord, now: float) -> float:
        return self._clock.read_wall() - (now - record.started)

    def _is_pending(self, content_key: str) -> bool:
        question = self._pending.get(content_key)
        if question is None:
            return False
        if self._clock.read_monotonic() < question.asked + _PENDING_SECONDS:
            return True
        self._pending.pop(content_key)
        return False

    def _find_findings(self, now_wall: float) -> CrashHistory:
        for table in self._tables.values():
            table.refresh(now_wall)
        return CrashHistory(
            self._tables[CRASH_KIND].records, self._tables[CLEAR_KIND].records
        )

    def _publish_crash(self, record: CrashRecord, keep_seconds: float) -> None:
        self._publish(
            CRASH_KIND,
            f'{record.content_key}/{record.server}',
            record,
            record.crashed_wall + keep_seconds,
        )

    def _publish(
        self,
        kind: str,
        key: str,
        record: CrashRecord | ClearRecord,
        expires_wall: float,
    ) -> None:
        fact = Fact(kind, key, msgpack.encode(record), expires_wall)
        # This host must know at once, whatever way the board takes.
        self._tables[kind].take(fact)
        self._board.publish_fact(fact)


def _read_order(record: CrashRecord | ClearRecord) -> float:
    if isinstance(record, CrashRecord):
        return record.crashed_wall
    return record.started_wall
