"""Find requests that crash the backend servers which run them.

A crash makes everything that the server ran suspect, by content. A suspect
runs apart from other suspects; if its server crashes too the request is
convicted and refused for a time, and if it completes it is cleared. Of several
suspects that one crash ended, the one started last is convicted and the others
stay suspect.

A second crash counts only if its attempt began after the first one, and nothing
counts once an attempt that began later has completed: a common request that ran
on two servers when both were lost is not to blame. Copies of one request that
run at the same time end several servers before any host knows; three servers
without a completion convict it whatever else ran there.

Records are facts that every host can evaluate alone, whatever order they come
in; a host that had not heard of a suspicion in time is covered by the two
servers in the records.

Times are Unix seconds, since hosts compare each other's records.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Final

SUSPICION_SECONDS: Final = 600.0
CONVICTION_SECONDS: Final = 3600.0
# Reports of one crash reach the hosts within this time of each other.
_SAME_CRASH_SECONDS: Final = 5.0
# A probe and the way of its answer to the other hosts take this long at most.
_PROBE_SECONDS: Final = 2.0
_JUST_STARTED_SECONDS: Final = 1.0
_JUST_STARTED_DELAY_SECONDS: Final = 0.5
# So many servers that crash together were not crashed by one request.
_OUTAGE_SERVERS: Final = 3
_OUTAGE_SECONDS: Final = 1.0
# So many servers do not end under one request by chance.
_CONVICTING_SERVERS: Final = 3


@dataclass(frozen=True)
class CrashRecord:
    """Tell that a server crashed while it ran a request.

    The first field orders records of one content and server: the later one
    stands. ``isolated`` tells that it was suspect when it was started.
    """

    crashed_wall: float
    started_wall: float
    server: str
    content_key: str
    isolated: bool


@dataclass(frozen=True)
class ClearRecord:
    """Tell that a suspect completed an attempt begun at this time."""

    started_wall: float
    content_key: str


class Suspicion(StrEnum):
    """Name how a request may run."""

    none = 'none'
    suspect = 'suspect'
    convicted = 'convicted'


@dataclass(frozen=True)
class CrashHistory:
    """Hold the records by content key, then by place.

    The place of a crash is its server. Of two records for the same place the
    later one stands.
    """

    crashes: Mapping[str, Mapping[str, CrashRecord]]
    clears: Mapping[str, Mapping[str, ClearRecord]]


def judge_content(
    history: CrashHistory, content_key: str, now_wall: float
) -> Suspicion:
    """Return how a request of this content may run."""
    crashes = history.crashes.get(content_key, {}).values()
    if any(_convicts(history, record, now_wall) for record in crashes):
        return Suspicion.convicted
    crashed_wall = max((one.crashed_wall for one in crashes), default=-inf)
    if crashed_wall + SUSPICION_SECONDS <= now_wall:
        return Suspicion.none
    if _find_clear(history, content_key) > crashed_wall:
        return Suspicion.none
    return Suspicion.suspect


def choose_retry_delay(record: CrashRecord, jitter: float) -> float:
    """Return how many seconds a broken attempt waits for its next one.

    A request that had just begun when its server crashed is the most likely
    culprit. It goes on after the others, so that a second crash tells it
    from them. One that was suspect before waits for the verdict. ``jitter``,
    from 0 to 1, differs by request.
    """
    if record.isolated:
        return _PROBE_SECONDS
    if record.crashed_wall - record.started_wall < _JUST_STARTED_SECONDS:
        return _JUST_STARTED_DELAY_SECONDS * (1 + jitter)
    return 0


def find_last_started(records: Iterable[CrashRecord]) -> CrashRecord:
    """Return the run that most likely caused a crash.

    A server that ran well until a request came is most likely crashed by
    that request.
    """
    return max(
        records, key=lambda record: (record.started_wall, record.content_key)
    )


def _convicts(
    history: CrashHistory, record: CrashRecord, now_wall: float
) -> bool:
    if record.crashed_wall + CONVICTION_SECONDS <= now_wall:
        return False
    if _is_completed_since(history, record):
        return False
    if len(_list_uncleared(history, record)) >= _CONVICTING_SERVERS:
        return True
    if not _is_repeated(history, record):
        return False
    simultaneous = _list_crashes_near(history, record, _OUTAGE_SECONDS)
    if len({one.server for one in simultaneous}) >= _OUTAGE_SERVERS:
        return False
    suspects = [
        other
        for other in _list_crashes_near(history, record, _SAME_CRASH_SECONDS)
        if other.server == record.server and _is_repeated(history, other)
    ]
    return find_last_started(suspects) == record


def _is_completed_since(history: CrashHistory, record: CrashRecord) -> bool:
    """Tell whether an attempt that began after this one completed."""
    return _find_clear(history, record.content_key) > record.started_wall


def _list_uncleared(
    history: CrashHistory, record: CrashRecord
) -> list[CrashRecord]:
    """Return the crashes under a content up to this one, since it completed."""
    return [
        other
        for other in history.crashes[record.content_key].values()
        if not _is_completed_since(history, other)
        and 0 <= record.crashed_wall - other.crashed_wall < SUSPICION_SECONDS
    ]


def _list_crashes_near(
    history: CrashHistory, record: CrashRecord, seconds: float
) -> list[CrashRecord]:
    return [
        other
        for by_server in history.crashes.values()
        for other in by_server.values()
        if abs(other.crashed_wall - record.crashed_wall) <= seconds
    ]


def _is_repeated(history: CrashHistory, record: CrashRecord) -> bool:
    """Tell whether the content was suspect before, known there or not."""
    if _is_completed_since(history, record):
        return False
    return record.isolated or any(
        other.crashed_wall <= record.started_wall
        for other in _list_uncleared(history, record)
        if other is not record
    )


def _find_clear(history: CrashHistory, content_key: str) -> float:
    clears = history.clears.get(content_key, {}).values()
    return max((one.started_wall for one in clears), default=-inf)
