"""Tell other hosts which configuration a host has in force."""

from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack

from monsoonwall.mesh.board import Entry

ANNOUNCED: Final = 'configuration'
HELD: Final = 'configuration-held'
CURRENT_KEY: Final = 'current'


@dataclass(frozen=True)
class HostNote:
    """Say what one host has in force and when it was last confirmed."""

    zone: str
    number: int
    confirmed_wall: float
    problem: str = ''


@dataclass(frozen=True)
class HeldNote:
    """Attribute a note to its host."""

    host: str
    note: HostNote


def encode_note(note: HostNote) -> bytes:
    """Return the payload of an entry."""
    return msgpack.encode(note)


def decode_note(entry: Entry) -> HeldNote | None:
    """Return what an entry says, or None if it is unreadable."""
    try:
        note = msgpack.decode(entry.payload, type=HostNote)
    except (DecodeError, ValidationError):
        return None
    return HeldNote(entry.origin, note)
