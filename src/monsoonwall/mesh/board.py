"""Share small records between entry hosts.

Two kinds of record cover what hosts tell each other. An entry belongs to the
host that published it, is replaced by that host's next one under the same
key, and goes when the host is gone. A fact belongs to nobody: once published
anywhere it spreads to every host and stays until its deadline, so that a
withdrawal outlives the host that decided it.
"""

from abc import ABC, abstractmethod
from asyncio import Queue
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

# Begins the origin of the entries that sum up a zone.
SUMMARY_PREFIX: Final = 'zone/'
# Makes one payload of what several hosts say under one key.
Merge = Callable[[Sequence[bytes]], bytes]


@dataclass(frozen=True)
class Entry:
    """Hold what one host says under one key."""

    origin: str
    kind: str
    key: str
    payload: bytes


def is_zone_summary(entry: Entry) -> bool:
    """Tell whether an entry sums up what the hosts of a zone say."""
    return entry.origin.startswith(SUMMARY_PREFIX)


@dataclass(frozen=True)
class Fact:
    """Hold what every host is to know until a time in Unix seconds.

    Of two facts with the same kind and key the greater payload stands, so
    that all hosts keep the same one whatever order they arrive in.
    """

    kind: str
    key: str
    payload: bytes
    expires_wall: float


class Board(ABC):
    """Publish records to, and read them from, all connected hosts."""

    @abstractmethod
    def publish_entry(self, kind: str, key: str, payload: bytes) -> None:
        """Set this host's entry under a key."""

    @abstractmethod
    def publish_fact(self, fact: Fact) -> None:
        """Spread a fact."""

    @abstractmethod
    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return every live host's entries of a kind, own ones included."""

    @abstractmethod
    def read_facts(self, kind: str) -> tuple[Fact, ...]:
        """Return the facts of a kind that have not expired."""

    @abstractmethod
    def subscribe(self, kind: str) -> Queue[Entry | Fact]:
        """Return a queue of what arrives from now on."""

    def declare_merge(self, kind: str, merge: Merge) -> None:  # noqa: B027
        """Let a zone's relays merge its hosts' entries of a kind.

        In a fleet too large for full exchange, a kind without a merge stays
        within its zone; of a kind with one, hosts of other zones read one
        entry a zone and key, whose origin is ``zone/`` and the zone's name.
        """
