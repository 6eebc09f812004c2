"""Define the interface for sharing small records between entry hosts.

There are two types of record. An entry belongs to the host that published it:
the host's next entry under the same key replaces it, and it is dropped when
the host is considered gone. A fact has no owner: it is replicated to every
host and kept until it expires. A withdrawal is a fact, for example, so that
it outlives the host that decided it.
"""

from abc import ABC, abstractmethod
from asyncio import Queue
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Final

# Prefix of the origin of entries that summarize a zone.
SUMMARY_PREFIX: Final = 'zone/'
# Hosts that publish a fact within this share of its time to live agree on when
# it expires.
_EXPIRY_STEPS: Final = 6
# Merges the payloads that several hosts published under one key.
Merge = Callable[[Sequence[bytes]], bytes]


@dataclass(frozen=True)
class Entry:
    """Hold the value that one host, the origin, published under one key."""

    origin: str
    kind: str
    key: str
    payload: bytes


def is_zone_summary(entry: Entry) -> bool:
    """Return whether an entry summarizes the entries of a zone's hosts."""
    return entry.origin.startswith(SUMMARY_PREFIX)


@dataclass(frozen=True)
class Fact:
    """Hold a value replicated to every host until it expires.

    ``expires_wall`` is in Unix seconds. Of two facts with the same kind and
    key the one with the greater payload wins, so that all hosts keep the same
    one in whatever order they arrive.
    """

    kind: str
    key: str
    payload: bytes
    expires_wall: float


@dataclass(frozen=True)
class Watermark:
    """Hold a position of a source, and when it was known to be the latest.

    Of two positions the greater bytes are the later one. ``confirmed_at`` is
    in monotonic seconds of this host.
    """

    key: str
    position: bytes
    confirmed_at: float


def find_expiry(now_wall: float, ttl_seconds: float) -> float:
    """Return when a fact expires that is published now, in Unix seconds.

    Hosts that publish the same fact at about the same time mostly get the same
    expiry. Otherwise the latest would replace the others on all hosts.
    """
    step = ttl_seconds / _EXPIRY_STEPS
    return ceil(now_wall / step) * step + ttl_seconds


class Board(ABC):
    """Publish records to all connected hosts, and read theirs."""

    @abstractmethod
    def publish_entry(self, kind: str, key: str, payload: bytes) -> None:
        """Set this host's entry under a key."""

    @abstractmethod
    def publish_fact(self, fact: Fact) -> None:
        """Publish a fact to every host."""

    @abstractmethod
    async def replicate_fact(self, fact: Fact, deadline: float) -> bool:
        """Publish a fact; return whether it outlives this host.

        That is so once another host has acknowledged it, or if no other host
        is known. The deadline is in monotonic seconds.
        """

    @abstractmethod
    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return every live host's entries of a kind, own ones included."""

    @abstractmethod
    def read_facts(self, kind: str) -> tuple[Fact, ...]:
        """Return the facts of a kind that have not expired."""

    @abstractmethod
    def subscribe(self, kind: str) -> Queue[Entry | Fact]:
        """Return a queue of the records of a kind that arrive from now on."""

    def advance_watermark(self, watermark: Watermark) -> None:  # noqa: B027
        """Declare up to where this host holds all facts of a source.

        Everything that the watermark covers must have been published.
        """

    def find_watermark(self, key: str) -> Watermark | None:  # noqa: B027
        """Return up to where this host holds all facts of a source."""

    def prefer_partner(self, find_partner: Callable[[], str]) -> None:  # noqa: B027
        """Register which host most likely knows what this one lacks.

        Every other round of a wide fleet is with it; empty if there is none.
        """

    def declare_merge(self, kind: str, merge: Merge) -> None:  # noqa: B027
        """Register how a zone's relays merge the entries of a kind.

        This matters in a fleet too large for full exchange. Entries of a
        kind without a merge function stay within their zone there. Of a
        kind with one, hosts of other zones read one entry per zone and key,
        whose origin is ``zone/`` followed by the zone's name.
        """
