"""Find requests that crash the backend servers which run them.

When a server crashes, all requests that it was running become suspect, by
content. A suspect request runs apart from other suspects. If that server
crashes too, the request is convicted and refused for a time; if the request
completes, it is cleared. If one crash ends several suspects, the one started
last is convicted and the others stay suspect.

A second crash only counts if its attempt began after the first crash, and no
crash counts once an attempt that began later has completed. So a common
request that ran on two servers when both were lost is not convicted. Copies of
one request that run at the same time can crash several servers before any host
knows. Therefore three crashed servers without a completion convict a request,
whatever else they were running.

Every host evaluates the records alone and in any order of arrival. If a host
ran a suspect like any other request, because it learned of the suspicion too
late, the two crashed servers in the records still convict it.

Times are Unix seconds, since hosts compare each other's records.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Final

SUSPICION_SECONDS: Final = 600.0
CONVICTION_SECONDS: Final = 3600.0
# Hosts record one crash within this time of each other.
_SAME_CRASH_SECONDS: Final = 5.0
# Probing whether a server has crashed, and publishing the result to the other
# hosts, take this long at most.
_PROBE_SECONDS: Final = 2.0
# A request that ran for less than this when its server crashed is retried after
# this delay, up to doubled.
_JUST_STARTED_SECONDS: Final = 1.0
_JUST_STARTED_DELAY_SECONDS: Final = 0.5
# When this many servers crash within this time, the cause is an outage, such as
# the loss of a zone, and not a single request.
_OUTAGE_SERVERS: Final = 3
_OUTAGE_SECONDS: Final = 1.0
# This many servers do not crash by chance while they run the same request.
_CONVICTING_SERVERS: Final = 3


@dataclass(frozen=True)
class CrashRecord:
    """Record that a server crashed while it ran an attempt of a request.

    Of several records of one content and server, the one with the latest
    ``crashed_wall`` is valid. ``isolated`` means that the request was already
    suspect when the attempt started.
    """

    crashed_wall: float
    started_wall: float
    server: str
    content_key: str
    isolated: bool


@dataclass(frozen=True)
class ClearRecord:
    """Record that a suspect request completed an attempt.

    ``started_wall`` is when the attempt began.
    """

    started_wall: float
    content_key: str


class Suspicion(StrEnum):
    """State whether a request may run: freely, apart from others or not."""

    none = 'none'
    suspect = 'suspect'
    convicted = 'convicted'


@dataclass(frozen=True)
class CrashHistory:
    """Hold the crash and clear records by content key, then by fact key.

    Crashes on different servers have different fact keys. Of the crashes on
    one server, only the latest is kept.
    """

    crashes: Mapping[str, Mapping[str, CrashRecord]]
    clears: Mapping[str, Mapping[str, ClearRecord]]


def classify_content(
    history: CrashHistory, content_key: str, now_wall: float
) -> Suspicion:
    """Return how a request of this content may run."""
    crashes = history.crashes.get(content_key, {}).values()
    if any(_convicts(history, record, now_wall) for record in crashes):
        return Suspicion.convicted
    crashed_wall = max(
        (record.crashed_wall for record in crashes), default=-inf
    )
    if crashed_wall + SUSPICION_SECONDS <= now_wall:
        return Suspicion.none
    if _find_clear(history, content_key) > crashed_wall:
        return Suspicion.none
    return Suspicion.suspect


def choose_retry_delay(record: CrashRecord, jitter: float) -> float:
    """Return the seconds to wait before the next attempt after a crash.

    A request that had just started when its server crashed is the most likely
    cause. It is retried after the other requests of that server, so that a
    second crash singles it out. A request that was already suspect waits until
    all hosts know whether its server crashed. ``jitter``, from 0 to 1, differs
    by request.
    """
    if record.isolated:
        return _PROBE_SECONDS
    if record.crashed_wall - record.started_wall < _JUST_STARTED_SECONDS:
        return _JUST_STARTED_DELAY_SECONDS * (1 + jitter)
    return 0


def find_last_started(records: Iterable[CrashRecord]) -> CrashRecord:
    """Return the record of the attempt that most likely caused a crash.

    A server that ran well until a request arrived was most likely crashed by
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
    if len({other.server for other in simultaneous}) >= _OUTAGE_SERVERS:
        return False
    suspects = [
        other
        for other in _list_crashes_near(history, record, _SAME_CRASH_SECONDS)
        if other.server == record.server and _is_repeated(history, other)
    ]
    return find_last_started(suspects) == record


def _is_completed_since(history: CrashHistory, record: CrashRecord) -> bool:
    """Return whether an attempt that began after this one has completed."""
    return _find_clear(history, record.content_key) > record.started_wall


def _list_uncleared(
    history: CrashHistory, record: CrashRecord
) -> list[CrashRecord]:
    """Return the content's crashes up to this one since it last completed."""
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
    """Return whether the content had already crashed a server before.

    This also holds if the host that ran it did not know of that crash yet.
    """
    if _is_completed_since(history, record):
        return False
    return record.isolated or any(
        other.crashed_wall <= record.started_wall
        for other in _list_uncleared(history, record)
        if other is not record
    )


def _find_clear(history: CrashHistory, content_key: str) -> float:
    clears = history.clears.get(content_key, {}).values()
    return max((record.started_wall for record in clears), default=-inf)
