"""Know what the other entry hosts have in force, and tell them."""

from asyncio import Queue
from dataclasses import dataclass
from typing import Final

from monsoonwall.configuration.notes import (
    CURRENT_KEY,
    HELD,
    HeldNote,
    HostNote,
    decode_note,
    encode_note,
    merge_notes,
)
from monsoonwall.decisions.adoption import ZoneHost, choose_watchers
from monsoonwall.mesh.board import Board, Entry, Fact

# Notes of all hosts together, per second, but for those of the watchers.
_NOTES_PER_SECOND: Final = 60
_RANKING_SECONDS: Final = 1.0


@dataclass(frozen=True)
class HostIdentity:
    """Name this host; ``has_peers`` tells that it is to expect others."""

    name: str
    zone: str
    has_peers: bool


class Neighbours:
    """Read the notes of other hosts and publish one's own."""

    def __init__(
        self, identity: HostIdentity, board: Board, now: float
    ) -> None:
        self._identity = identity
        self._board = board
        self._arriving: Queue[Entry | Fact] = board.subscribe(HELD)
        board.declare_merge(HELD, merge_notes)
        self._published: HostNote | None = None
        self._publish_due = now
        self._ranking_due = now
        self.watching = True
        self.leading = False
        self.count = 1

    async def receive(self) -> HostNote:
        """Return the next note of another host."""
        while True:
            record = await self._arriving.get()
            told = decode_note(record) if isinstance(record, Entry) else None
            if told is not None and told.host != self._identity.name:
                return told.note

    def list_notes(self) -> tuple[HeldNote, ...]:
        """Return the notes of all live hosts, this one's included."""
        decoded = map(decode_note, self._board.read_entries(HELD))
        return tuple(note for note in decoded if note is not None)

    def list_peer_numbers(self) -> tuple[int, ...]:
        """Return the numbers that other live hosts have in force."""
        own = self._identity.name
        return tuple(
            told.note.number for told in self.list_notes() if told.host != own
        )

    def rank(self, now: float) -> None:
        """Find out, now and then, whether this host is to watch."""
        if now < self._ranking_due:
            return
        self._ranking_due = now + _RANKING_SECONDS
        notes = self.list_notes()
        self.count = sum(told.note.hosts for told in notes)
        hosts = {ZoneHost(told.host, told.note.zone) for told in notes}
        hosts.add(ZoneHost(self._identity.name, self._identity.zone))
        watchers = choose_watchers(hosts, self._identity.zone)
        self.watching = self._identity.name in watchers
        self.leading = watchers[0] == self._identity.name

    def tell(self, note: HostNote, now: float) -> None:
        """Publish a changed note; the watchers' go out without delay."""
        if note == self._published:
            return
        if now < self._publish_due and not self.watching:
            return
        self._published = note
        self._publish_due = now + self.count / _NOTES_PER_SECOND
        self._board.publish_entry(HELD, CURRENT_KEY, encode_note(note))
