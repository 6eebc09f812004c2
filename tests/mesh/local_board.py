"""Provide a board for a host without peers."""

from asyncio import Queue

from monsoonwall.mesh.board import Board, Entry, Fact


class LocalBoard(Board):
    """Store the records that one host publishes."""

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._entries: dict[tuple[str, str], Entry] = {}
        self._facts: dict[tuple[str, str], Fact] = {}
        self._queues: dict[str, list[Queue[Entry | Fact]]] = {}

    def publish_entry(self, kind: str, key: str, payload: bytes) -> None:
        """Set this host's entry under a key."""
        entry = Entry(self._origin, kind, key, payload)
        self._entries[kind, key] = entry
        self._announce(entry)

    def publish_fact(self, fact: Fact) -> None:
        """Store the fact if its payload is greater than the stored one's."""
        known = self._facts.get((fact.kind, fact.key))
        if known is None or fact.payload > known.payload:
            self._facts[fact.kind, fact.key] = fact
            self._announce(fact)

    async def replicate_fact(self, fact: Fact, deadline: float) -> bool:
        """Store the fact; there is no other host to lose it to."""
        self.publish_fact(fact)
        return True

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return this host's entries of a kind."""
        return tuple(
            entry for entry in self._entries.values() if entry.kind == kind
        )

    def read_facts(self, kind: str) -> tuple[Fact, ...]:
        """Return the facts of a kind."""
        return tuple(fact for fact in self._facts.values() if fact.kind == kind)

    def subscribe(self, kind: str) -> Queue[Entry | Fact]:
        """Return a queue of the records of a kind published from now on."""
        queue: Queue[Entry | Fact] = Queue()
        self._queues.setdefault(kind, []).append(queue)
        return queue

    def _announce(self, record: Entry | Fact) -> None:
        for queue in self._queues.get(record.kind, ()):
            queue.put_nowait(record)
