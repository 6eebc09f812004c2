"""Hash text the same way on every host."""

from typing import Final

from xxhash import xxh3_64_intdigest

_SPREAD_STEPS: Final = 65_536


def hash_text(text: str) -> int:
    """Return a hash of 64 bits."""
    return xxh3_64_intdigest(text.encode())


def spread_text(text: str) -> float:
    """Return a number from 0 to 1 that differs by text."""
    return (hash_text(text) % _SPREAD_STEPS) / _SPREAD_STEPS
