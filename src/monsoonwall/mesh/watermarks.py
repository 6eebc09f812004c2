"""Track up to which point this host holds all facts of a source.

A watermark says that a host holds, as facts, everything that a source had
recorded up to a position and a time. It passes between hosts with a complete
exchange of facts: whoever then holds all facts of the other host holds what
the other host's watermarks cover.
"""

from collections.abc import Iterable
from math import ceil
from typing import Final

from monsoonwall.mesh.board import Watermark
from monsoonwall.mesh.wire import gossip_pb2

_MILLISECONDS_PER_SECOND: Final = 1000
_MAX_WATERMARKS: Final = 16
# Differences that hosts need not tell each other by a message of its own.
_MIN_ADVANCE_SECONDS: Final = 0.25


class WatermarkTable:
    """Hold the highest watermark of each key."""

    def __init__(self) -> None:
        self._watermarks: dict[str, Watermark] = {}

    def find(self, key: str) -> Watermark | None:
        """Return the watermark of a key."""
        return self._watermarks.get(key)

    def list_all(self) -> tuple[Watermark, ...]:
        """Return the watermarks of all keys."""
        return tuple(self._watermarks.values())

    def advance(self, watermark: Watermark) -> None:
        """Adopt a watermark that is later, in time and in position.

        Two watermarks that contradict each other are not combined to one that
        no host has stated.
        """
        known = self._watermarks.get(watermark.key)
        if known is None:
            if len(self._watermarks) < _MAX_WATERMARKS:
                self._watermarks[watermark.key] = watermark
        elif (
            watermark.position >= known.position
            and watermark.confirmed_at >= known.confirmed_at
        ):
            self._watermarks[watermark.key] = watermark


def encode_watermarks(
    watermarks: Iterable[Watermark], now: float
) -> list[gossip_pb2.Watermark]:
    """Return the messages for some watermarks at a monotonic time."""
    return [
        gossip_pb2.Watermark(
            key=watermark.key,
            position=watermark.position,
            age_milliseconds=max(
                0,
                ceil(_MILLISECONDS_PER_SECOND * (now - watermark.confirmed_at)),
            ),
        )
        for watermark in watermarks
    ]


def decode_watermarks(
    messages: Iterable[gossip_pb2.Watermark], sent_at: float
) -> tuple[Watermark, ...]:
    """Return the watermarks in a message that was sent at that time or later.

    ``sent_at`` is in monotonic seconds of the receiver.
    """
    return tuple(
        Watermark(
            message.key,
            message.position,
            sent_at - message.age_milliseconds / _MILLISECONDS_PER_SECOND,
        )
        for message in messages
    )


def is_ahead(
    watermarks: Iterable[Watermark], others: Iterable[Watermark]
) -> bool:
    """Return whether watermarks are clearly ahead of those of another host."""
    known = {other.key: other.confirmed_at for other in others}
    return any(
        watermark.confirmed_at
        > known.get(watermark.key, float('-inf')) + _MIN_ADVANCE_SECONDS
        for watermark in watermarks
    )
