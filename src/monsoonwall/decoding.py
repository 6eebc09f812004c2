"""Decode documents that other programs have written."""

import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Annotated, Final

from msgspec import DecodeError, Meta

# What msgspec raises for malformed, mistyped or deeply nested documents.
DECODE_ERRORS: Final = (DecodeError, RecursionError)
# A number that fits the messages that hosts exchange.
_MAX_COUNT: Final = 4_000_000_000_000_000_000
Count = Annotated[int, Meta(ge=0, le=_MAX_COUNT)]
_MAX_PORT: Final = 65_535
_MAX_PORT_DIGITS: Final = 5
# Depth of an object in a list of a document.
_ELEMENT_DEPTH: Final = 3
_MAX_DEPTH: Final = 100
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_DEPTH_CHANGES: Final = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})


def is_port(text: str) -> bool:
    """Return whether a text is the number of a TCP port."""
    if not text.isdecimal() or len(text) > _MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= _MAX_PORT


def drop_nested(document: bytes) -> bytes:
    """Replace the elements of lists that are nested too deeply by null.

    These are the elements of the lists in a JSON object: one that cannot be
    decoded must not hide the others.
    """
    kept: list[bytes] = []
    kept_until = 0
    for start, end in _find_nested(document):
        kept += (document[kept_until:start], b'null')
        kept_until = end
    return b''.join((*kept, document[kept_until:]))


def _find_nested(document: bytes) -> Iterator[tuple[int, int]]:
    """Yield start and end of the elements that are nested too deeply."""
    depth = 0
    deepest = 0
    start = 0
    for token in _TOKEN.finditer(document):
        change = _DEPTH_CHANGES.get(token.group(), 0)
        is_end = change < 0 and depth == _ELEMENT_DEPTH
        if is_end and deepest > _MAX_DEPTH:
            yield start, token.end()
        depth += change
        if change > 0 and depth == _ELEMENT_DEPTH:
            start = token.start()
            deepest = depth
        deepest = max(deepest, depth)
