"""Refuse requests by the parts of their prompts that crash backend servers."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from cachetools import TTLCache

from monsoonwall.clocks import Clock
from monsoonwall.decisions.crashing_parts import (
    PartConvictions,
    find_convicted_parts,
    list_uncleared_crashes,
)
from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    SUSPICION_SECONDS,
    ClearRecord,
    CrashHistory,
    CrashRecord,
)
from monsoonwall.decisions.hashing import hash_to_fraction
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.pipeline.crash_records import (
    COMPLETED_SECONDS,
    ConvictionRecords,
    CrashRecords,
    get_order_time,
)
from monsoonwall.pipeline.messages import Call, Effect, Refusal, RefusalReason

PART_CRASH_KIND: Final = 'part_crash'
PART_CLEAR_KIND: Final = 'part_crash_cleared'
_MAX_COMPLETED: Final = 16_384

_log = make_logger('suspects')


class PartScreening(ConvictionRecords):
    """Record which parts ran on crashed servers, and which completed."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self._clock = clock
        self._records = CrashRecords(board, PART_CRASH_KIND, PART_CLEAR_KIND)
        self._recently_completed: TTLCache[str, None] = TTLCache(
            _MAX_COMPLETED, COMPLETED_SECONDS, clock.read_monotonic
        )
        self._convictions = PartConvictions()
        self._change_count = 0
        self._extended: frozenset[CrashRecord] = frozenset()

    def screen(self, call: Call, effect: Effect) -> Refusal | None:
        """Return the refusal of a call whose prompt has convicted parts."""
        now_wall = self._clock.read_wall()
        until_wall = self._update().find_end(
            call.part_keys, now_wall, hash_to_fraction(call.request_id)
        )
        if not until_wall:
            return None
        return Refusal(
            RefusalReason.crashing_request,
            effect,
            'backend servers crashed while they ran requests with a part of '
            'this prompt; leave it out, or report it to the operators',
            max(1, until_wall - now_wall),
        )

    def list_explained_servers(self) -> frozenset[str]:
        """Return the servers that convicted parts have crashed."""
        return self._update().explained_servers

    def record_crash(self, call: Call, record: CrashRecord) -> None:
        """Publish that a server crashed while it ran a call."""
        self._records.publish_crashes(
            (
                replace(record, content_key=part_key)
                for part_key in call.part_keys
                if part_key not in self._recently_completed
            ),
            SUSPICION_SECONDS,
        )
        records = frozenset(self.list_conviction_records())
        self.extend_expiry(records - self._extended)
        self._extended = records

    def record_completion(self, call: Call) -> None:
        """Clear the parts of a call that completed."""
        now_wall = self._clock.read_wall()
        history = self._records.refresh(now_wall)
        for part_key in call.part_keys:
            self._recently_completed[part_key] = None
            if list_uncleared_crashes(history, part_key):
                self._records.publish_clear(
                    ClearRecord(now_wall, part_key),
                    now_wall + SUSPICION_SECONDS,
                )

    def list_conviction_records(self) -> tuple[CrashRecord, ...]:
        """Return the crash records of the parts that certainly crash servers.

        The earliest records are first.
        """
        records: list[CrashRecord] = []
        for parts in self._update().convicted:
            for part_key in parts.part_keys if parts.certain else ():
                records.extend(self._records.list_crashes(part_key))
        return tuple(sorted(records, key=get_order_time))

    def extend_expiry(self, records: Iterable[CrashRecord]) -> None:
        """Publish crash records of convicted parts with a long expiry."""
        self._records.publish_crashes(records, CONVICTION_SECONDS)

    def _update(self) -> PartConvictions:
        history = self._records.refresh(self._clock.read_wall())
        if self._records.change_count != self._change_count:
            self._change_count = self._records.change_count
            self._convictions = self._find_convictions(history)
        return self._convictions

    def _find_convictions(self, history: CrashHistory) -> PartConvictions:
        convictions = find_convicted_parts(history)
        for parts in convictions.convicted:
            if parts not in self._convictions.convicted:
                _log.warning(
                    'Parts of prompts are convicted of crashing servers.',
                    parts=sorted(parts.part_keys),
                    until_wall=parts.until_wall,
                    certain=parts.certain,
                    servers=len(convictions.explained_servers),
                )
        return convictions
