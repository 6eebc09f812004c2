"""Find requests that crash the backend servers which run them.

A crash makes everything that the server ran suspect, by content. A suspect
runs apart from other suspects; if its server crashes again the request is
convicted and refused for a time, and if it completes it is cleared. Of several
suspects that one crash ended, the one started last is convicted and the others
stay suspect. Records are facts that every host can evaluate alone, whatever
order they come in.

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
# So many servers that crash together were not crashed by one request.
_WAVE_SERVERS: Final = 3


@dataclass(frozen=True)
class CrashRecord:
    """Tell that a server crashed while it ran a request.

    The first field orders records of one content: the later one stands.
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
class Findings:
    """Hold the records by content key; of two the later one stands."""

    crashes: Mapping[str, CrashRecord]
    isolated_crashes: Mapping[str, CrashRecord]
    clears: Mapping[str, ClearRecord]


def judge_content(
    findings: Findings, content_key: str, now_wall: float
) -> Suspicion:
    """Return how a request of this content may run."""
    isolated = findings.isolated_crashes.get(content_key)
    if isolated is not None and _convicts(findings, isolated, now_wall):
        return Suspicion.convicted
    crash = findings.crashes.get(content_key)
    crashed = [one for one in (crash, isolated) if one is not None]
    crashed_wall = max((one.crashed_wall for one in crashed), default=-inf)
    if crashed_wall + SUSPICION_SECONDS <= now_wall:
        return Suspicion.none
    cleared = findings.clears.get(content_key)
    if cleared is not None and cleared.started_wall > crashed_wall:
        return Suspicion.none
    return Suspicion.suspect


def find_last_started(records: Iterable[CrashRecord]) -> CrashRecord:
    """Return the run that most likely caused a crash.

    A server that ran well until a request came is most likely crashed by
    that request.
    """
    return max(
        records, key=lambda record: (record.started_wall, record.content_key)
    )


def _convicts(findings: Findings, record: CrashRecord, now_wall: float) -> bool:
    if record.crashed_wall + CONVICTION_SECONDS <= now_wall:
        return False
    together = [
        other
        for other in findings.isolated_crashes.values()
        if abs(other.crashed_wall - record.crashed_wall) <= _SAME_CRASH_SECONDS
    ]
    if len({other.server for other in together}) >= _WAVE_SERVERS:
        return False
    same_server = [one for one in together if one.server == record.server]
    return find_last_started(same_server) == record
