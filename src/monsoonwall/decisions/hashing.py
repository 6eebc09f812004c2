"""Hash text the same way on every host."""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

_FRACTION_STEPS: Final = 65_536


def hash_text(text: str) -> int:
    """Return a hash of 64 bits."""
    return xxh3_64_intdigest(text.encode())


def hash_to_fraction(text: str) -> float:
    """Return a number from 0 to 1 that differs by text."""
    return (hash_text(text) % _FRACTION_STEPS) / _FRACTION_STEPS


def choose_by_hash(subject: str, names: Iterable[str]) -> str:
    """Return the name that hosts which know the same names choose alike.

    A name that comes or goes changes the choice for its own subjects alone.
    """
    return max(names, key=lambda name: hash_text(f'{subject}/{name}'))
