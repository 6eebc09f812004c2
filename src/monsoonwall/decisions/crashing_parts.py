"""Find parts of prompts that crash the backend servers which run them.

Requests may crash their servers by one part that they share, and differ in all
else. A crash ends all requests of a server, so each of their parts may be the
cause. What tells them apart: a part that crashes servers was running in each of
these crashes, and no request with it completes.

So the part that explains the most crashes is convicted, and these crashes no
longer count against the others. Parts that ran in exactly the same crashes are
convicted together: only requests with all of them are refused, so that requests
with some of them show which one it is.

Every host evaluates the records alone and in any order of arrival. Times are
Unix seconds.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    CrashHistory,
    CrashRecord,
)

# Crashes in a row, each of an attempt that began after the one before, without
# a completion. An outage that ends many servers at once is one such crash.
_CONVICTING_SEQUENCE: Final = 3
# Some records may be missing, so a conviction is short until the part has run
# on this many crashed servers: a sound part completes afterwards. A growing
# fraction of the requests is then sent, so that a bad part crashes few servers
# more before it is convicted again.
_CERTAIN_SERVERS: Final = 4
_UNCERTAIN_CONVICTION_SECONDS: Final = 10.0
_TRIAL_SECONDS: Final = 10.0

Crashes = Mapping[str, CrashRecord]


@dataclass(frozen=True)
class ConvictedParts:
    """Hold parts that were running in the same crashes.

    Requests with all of them are refused until ``until_wall`` (Unix time),
    some of them longer unless it is ``certain``: enough servers crashed.
    """

    part_keys: frozenset[str]
    until_wall: float
    certain: bool

    def find_end(self, phase: float) -> float:
        """Return until when a request of this phase, 0 to 1, is refused."""
        if self.certain:
            return self.until_wall
        return self.until_wall + phase * _TRIAL_SECONDS


@dataclass(frozen=True)
class PartConvictions:
    """Hold the convicted parts, and the crashed servers that they explain."""

    convicted: tuple[ConvictedParts, ...] = ()
    explained_servers: frozenset[str] = frozenset()

    def find_end(
        self, part_keys: Collection[str], now_wall: float, phase: float
    ) -> float:
        """Return until when a request with these parts is refused, or 0.

        ``phase``, from 0 to 1, differs by request.
        """
        ends = (
            parts.find_end(phase)
            for parts in self.convicted
            if parts.part_keys.issubset(part_keys)
        )
        return max((end for end in ends if now_wall < end), default=0)


def find_convicted_parts(history: CrashHistory) -> PartConvictions:
    """Return the parts that crash servers, by the records of all hosts.

    The content keys of the records are keys of parts. The clear records tell
    when a request with a part last completed, not when it started.
    """
    unexplained = {
        part_key: list_uncleared_crashes(history, part_key)
        for part_key in history.crashes
    }
    convicted = []
    explained: set[str] = set()
    while suspects := _list_suspects(unexplained):
        servers = max(
            (frozenset(unexplained[part_key]) for part_key in suspects),
            key=_rank_servers,
        )
        convicted.append(_convict(unexplained, servers))
        explained |= servers
        unexplained = {
            part_key: _drop_servers(crashes, servers)
            for part_key, crashes in unexplained.items()
        }
    return PartConvictions(tuple(convicted), frozenset(explained))


def list_uncleared_crashes(history: CrashHistory, part_key: str) -> Crashes:
    """Return the crashes of a part since it last completed, by server."""
    completed_wall = max(
        (
            record.started_wall
            for record in history.clears.get(part_key, {}).values()
        ),
        default=-inf,
    )
    return {
        record.server: record
        for record in history.crashes.get(part_key, {}).values()
        if record.started_wall > completed_wall
    }


def _list_suspects(unexplained: Mapping[str, Crashes]) -> list[str]:
    return [
        part_key
        for part_key, crashes in unexplained.items()
        if _count_sequence(crashes) >= _CONVICTING_SEQUENCE
    ]


def _count_sequence(crashes: Crashes) -> int:
    """Return how many crashes followed each other.

    Of the attempts that were running at the same time only one counts.
    """
    count = 0
    last_crash = -inf
    for record in sorted(crashes.values(), key=_get_crash_time):
        if record.started_wall >= last_crash:
            count += 1
            last_crash = record.crashed_wall
    return count


def _rank_servers(servers: frozenset[str]) -> tuple[int, list[str]]:
    return len(servers), sorted(servers)


def _convict(
    unexplained: Mapping[str, Crashes], servers: frozenset[str]
) -> ConvictedParts:
    part_keys = frozenset(
        part_key
        for part_key, crashes in unexplained.items()
        if crashes.keys() == servers
    )
    crashed_wall = max(
        record.crashed_wall
        for part_key in part_keys
        for record in unexplained[part_key].values()
    )
    certain = len(servers) >= _CERTAIN_SERVERS
    seconds = CONVICTION_SECONDS if certain else _UNCERTAIN_CONVICTION_SECONDS
    return ConvictedParts(part_keys, crashed_wall + seconds, certain)


def _drop_servers(crashes: Crashes, servers: frozenset[str]) -> Crashes:
    return {
        server: record
        for server, record in crashes.items()
        if server not in servers
    }


def _get_crash_time(record: CrashRecord) -> float:
    return record.crashed_wall
