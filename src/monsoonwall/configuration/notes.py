"""Tell other hosts which configuration a host has in force."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack

from monsoonwall.mesh.board import Entry

ANNOUNCEMENT_KIND: Final = 'configuration'
NOTE_KIND: Final = 'configuration-held'
CURRENT_KEY: Final = 'current'


@dataclass(frozen=True)
class HostNote:
    """Say what one host has in force and when it was last confirmed.

    In a wide fleet a zone's hosts are told of in one note: ``number`` is
    then the highest of theirs and ``lowest`` the lowest.
    """

    zone: str
    number: int
    confirmed_wall: float
    problem: str = ''
    lowest: int = 0
    hosts: int = 1


@dataclass(frozen=True)
class AttributedNote:
    """Attribute a note to its host."""

    host: str
    note: HostNote


def encode_note(note: HostNote) -> bytes:
    """Return the payload of an entry."""
    return msgpack.encode(note)


def merge_notes(payloads: Sequence[bytes]) -> bytes:
    """Return one note for several hosts of a zone.

    A time at which no number above a host's own was accepted is also one
    for the highest number.
    """
    notes = [msgpack.decode(payload, type=HostNote) for payload in payloads]
    return encode_note(
        HostNote(
            notes[0].zone,
            max(note.number for note in notes),
            max(note.confirmed_wall for note in notes),
            max(note.problem for note in notes),
            min(note.lowest for note in notes),
            sum(note.hosts for note in notes),
        )
    )


def decode_note(entry: Entry) -> AttributedNote | None:
    """Return what an entry says, or None if it is unreadable."""
    try:
        note = msgpack.decode(entry.payload, type=HostNote)
    except (DecodeError, ValidationError):
        return None
    return AttributedNote(entry.origin, note)
