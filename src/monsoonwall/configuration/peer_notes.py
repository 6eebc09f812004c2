"""Know what the other entry hosts have in force, and tell them."""

from asyncio import Queue
from dataclasses import dataclass
from typing import Final

from monsoonwall.configuration.notes import (
    CURRENT_KEY,
    NOTE_KIND,
    AttributedNote,
    HostNote,
    decode_note,
    encode_note,
    merge_notes,
)
from monsoonwall.decisions.adoption import ZoneHost, choose_watchers
from monsoonwall.mesh.board import Board, Entry, Fact

# Notes of all hosts together, per second, but for those of the watchers.
_NOTES_PER_SECOND: Final = 60
_ROLE_UPDATE_SECONDS: Final = 1.0


@dataclass(frozen=True)
class HostIdentity:
    """Name this host; ``has_peers`` tells that it is to expect others."""

    name: str
    zone: str
    has_peers: bool


class PeerNotes:
    """Read the notes of other hosts and publish one's own."""

    def __init__(
        self, identity: HostIdentity, board: Board, now: float
    ) -> None:
        self._identity = identity
        self._board = board
        self._incoming: Queue[Entry | Fact] = board.subscribe(NOTE_KIND)
        board.declare_merge(NOTE_KIND, merge_notes)
        self._published: HostNote | None = None
        self._publish_due = now
        self._role_update_due = now
        self.watching = True
        self.leading = False
        self.host_count = 1

    async def receive(self) -> HostNote:
        """Return the next note of another host."""
        while True:
            record = await self._incoming.get()
            received = (
                decode_note(record) if isinstance(record, Entry) else None
            )
            if received is not None and received.host != self._identity.name:
                return received.note

    def list_notes(self) -> tuple[AttributedNote, ...]:
        """Return the notes of all live hosts, this one's included."""
        decoded = map(decode_note, self._board.read_entries(NOTE_KIND))
        return tuple(note for note in decoded if note is not None)

    def list_peer_numbers(self) -> tuple[int, ...]:
        """Return the numbers that other live hosts have in force."""
        own = self._identity.name
        return tuple(
            received.note.number
            for received in self.list_notes()
            if received.host != own
        )

    def update_role(self, now: float) -> None:
        """Find out, now and then, whether this host is to watch."""
        if now < self._role_update_due:
            return
        self._role_update_due = now + _ROLE_UPDATE_SECONDS
        notes = self.list_notes()
        self.host_count = sum(received.note.hosts for received in notes)
        hosts = {
            ZoneHost(received.host, received.note.zone) for received in notes
        }
        hosts.add(ZoneHost(self._identity.name, self._identity.zone))
        watchers = choose_watchers(hosts, self._identity.zone)
        self.watching = self._identity.name in watchers
        self.leading = watchers[0] == self._identity.name

    def publish(self, note: HostNote, now: float) -> None:
        """Publish a changed note; the watchers' go out without delay."""
        if note == self._published:
            return
        if now < self._publish_due and not self.watching:
            return
        self._published = note
        self._publish_due = now + self.host_count / _NOTES_PER_SECOND
        self._board.publish_entry(NOTE_KIND, CURRENT_KEY, encode_note(note))
