"""Encode the notes in which hosts report the configuration in force."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from msgspec import msgpack

from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.mesh.board import Entry

ANNOUNCEMENT_KIND: Final = 'configuration'
NOTE_KIND: Final = 'configuration-held'
CURRENT_KEY: Final = 'current'


@dataclass(frozen=True)
class HostNote:
    """Report which number a host has in force and when it was confirmed.

    In a fleet too large for full exchange, one note covers all ``hosts`` of
    a zone: ``number`` is then their highest number, and ``lowest`` their
    lowest.
    """

    zone: str
    number: int
    confirmed_wall: float
    problem: str = ''
    lowest: int = 0
    hosts: int = 1


@dataclass(frozen=True)
class AttributedNote:
    """Hold a note and the name of the host, or zone summary, it is from."""

    host: str
    note: HostNote


def encode_note(note: HostNote) -> bytes:
    """Return a note as the payload of an entry."""
    return msgpack.encode(note)


def merge_notes(payloads: Sequence[bytes]) -> bytes:
    """Return one note for several hosts of a zone.

    The latest confirmation is valid for the highest number: at a time when
    nothing above a lower number was accepted, nothing above the highest one
    was either.
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
    """Return the note in an entry, or None if it cannot be decoded."""
    try:
        note = msgpack.decode(entry.payload, type=HostNote)
    except DECODE_ERRORS:
        return None
    return AttributedNote(entry.origin, note)
