"""Hash text the same way on every host."""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

_FRACTION_STEPS: Final = 65_536


def hash_text(text: str) -> int:
    """Return a 64-bit hash."""
    return xxh3_64_intdigest(text.encode())


def hash_to_fraction(text: str) -> float:
    """Return a hash of the text scaled to [0, 1)."""
    return (hash_text(text) % _FRACTION_STEPS) / _FRACTION_STEPS


def choose_by_hash(subject: str, names: Iterable[str]) -> str:
    """Choose a name for a subject by rendezvous hashing.

    Hosts that know the same names make the same choice. A name added or
    removed changes the choice only for the subjects assigned to it.
    """
    return max(names, key=lambda name: hash_text(f'{subject}/{name}'))
