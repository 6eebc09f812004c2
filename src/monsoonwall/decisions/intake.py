"""Decide which bytes of callers a host holds while its memory is scarce.

Answers clients that send many large bodies at once and leave them unfinished,
or that do not read their responses. A small body draws memory as it arrives; a
large one draws for its largest possible size at once, so that bodies being read
never wait for each other. While others wait, small bodies go first and then the
owners that hold least, and what makes no progress is given up.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Final

# The smallest machine on which a process runs.
DEFAULT_MEMORY_MEGABYTES: Final = 160.0
DEFAULT_DESCRIPTORS: Final = 1200

_BYTES_PER_MEGABYTE: Final = 1_000_000
# Part of a machine's memory for what callers send and do not read.
_MEMORY_RATIO: Final = 0.15
# Part of the descriptors for channels of callers: each request needs one to a
# server as well, and others are used for the mesh, the store and files.
_DESCRIPTOR_RATIO: Final = 0.4
_RESERVED_DESCRIPTORS: Final = 200
_MIN_CHANNELS: Final = 64
# A body of up to this size is small.
_SMALL_BYTES: Final = 65_536
# Large bodies leave this part of the memory to small ones.
_SMALL_RATIO: Final = 0.25
# One owner holds at most this part while others wait.
_OWNER_RATIO: Final = 0.5
# A request is copied while it is sent to a server.
_COPIES: Final = 2
# Whoever moves fewer bytes in this time makes no progress.
_STALL_SECONDS: Final = 0.5
_PROGRESS_BYTES: Final = 4096
_MAX_WAIT_SECONDS: Final = 2.0


@dataclass(frozen=True)
class IntakeLimits:
    """Bound what one process holds of all its callers."""

    max_bytes: int
    max_channels: int


def make_intake_limits(
    memory_megabytes: float, max_descriptors: int
) -> IntakeLimits:
    """Return the bounds for a machine."""
    channels = _DESCRIPTOR_RATIO * (max_descriptors - _RESERVED_DESCRIPTORS)
    return IntakeLimits(
        int(_MEMORY_RATIO * memory_megabytes * _BYTES_PER_MEGABYTE),
        max(_MIN_CHANNELS, int(channels)),
    )


@dataclass(eq=False)
class Holding:
    """Bytes held for one message; times are monotonic seconds.

    ``bound`` is the largest size that a body may reach. ``reserved`` is drawn
    from the account, ``wanted`` what it waits for until ``refuse_at``, if it
    is ``waiting``.
    """

    owner: str
    bound: int
    progressed_at: float
    received: int = 0
    reserved: int = 0
    wanted: int = 0
    waiting: bool = False
    refuse_at: float = 0
    complete: bool = False
    counted: int = 0

    @property
    def is_small(self) -> bool:
        """Return whether the body has been small so far."""
        return self.received <= _SMALL_BYTES

    def is_stalled(self, now: float) -> bool:
        """Return whether it has made no progress for some time."""
        return now - self.progressed_at >= _STALL_SECONDS

    def record_progress(self, size: int, now: float) -> None:
        """Count bytes that were received."""
        self.counted += size
        if self.counted >= _PROGRESS_BYTES:
            self.counted = 0
            self.progressed_at = now


class IntakeAccount:
    """Account for the bytes that a process holds of all callers."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._holdings: set[Holding] = set()
        self._owners: Counter[str] = Counter()
        self.used = 0

    @property
    def is_over(self) -> bool:
        """Return whether more is held than allowed."""
        return self.used > self._max_bytes

    @property
    def is_scarce(self) -> bool:
        """Return whether something waits or more is held than allowed."""
        return self.is_over or bool(self._list_waiting())

    def open(self, owner: str, bound: int, now: float) -> Holding:
        """Return a new holding, which is empty."""
        holding = Holding(owner, bound, now)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Return all bytes of a holding."""
        if holding in self._holdings:
            self._reserve(holding, 0)
            self._holdings.discard(holding)

    def draw(self, holding: Holding, size: int, now: float) -> bool:
        """Count bytes of a body; return whether more of it may be read."""
        holding.received += size
        holding.record_progress(size, now)
        holding.wanted = _compute_need(holding)
        if holding.wanted <= holding.reserved or self._fits(holding):
            self._grant(holding)
            return True
        holding.waiting = True
        holding.refuse_at = now + _MAX_WAIT_SECONDS
        return False

    def complete(self, holding: Holding) -> None:
        """Keep only what a body that has arrived needs."""
        holding.complete = True
        self._reserve(holding, _COPIES * holding.received)

    def hold_unsent(self, holding: Holding, size: int) -> None:
        """Count bytes that wait for a caller to read them."""
        self._reserve(holding, holding.reserved + size)

    def grant_waiting(self) -> tuple[Holding, ...]:
        """Let those read on for whom there is room now, and return them."""
        granted = []
        for holding in self._list_waiting():
            if self._fits(holding):
                self._grant(holding)
                granted.append(holding)
        return tuple(granted)

    def list_overdue(self, now: float) -> tuple[Holding, ...]:
        """Return the holdings that have waited too long."""
        return tuple(
            holding
            for holding in self._list_waiting()
            if now >= holding.refuse_at
        )

    def list_stalled(self, now: float) -> tuple[Holding, ...]:
        """Return the holdings to give up, so that others find room."""
        missing = (
            self.used
            - self._max_bytes
            + sum(
                holding.wanted - holding.reserved
                for holding in self._list_waiting()
            )
        )
        stalled = [
            holding
            for holding in self._holdings
            if holding.reserved
            and not holding.complete
            and not holding.waiting
            and holding.is_stalled(now)
        ]
        stalled.sort(
            key=lambda holding: (
                -self._owners[holding.owner],
                holding.progressed_at,
            )
        )
        given_up = []
        for holding in stalled:
            if missing <= 0:
                break
            missing -= holding.reserved
            given_up.append(holding)
        return tuple(given_up)

    def _list_waiting(self) -> list[Holding]:
        waiting = [holding for holding in self._holdings if holding.waiting]
        waiting.sort(
            key=lambda holding: (
                not holding.is_small,
                self._owners[holding.owner],
                holding.refuse_at,
            )
        )
        return waiting

    def _fits(self, holding: Holding) -> bool:
        others = self.used - holding.reserved
        if not others:
            # A single body of any allowed size is read.
            return True
        ratio = 1 if holding.is_small else 1 - _SMALL_RATIO
        if others + holding.wanted > ratio * self._max_bytes:
            return False
        owned = self._owners[holding.owner] - holding.reserved
        is_within_part = (
            owned + holding.wanted <= _OWNER_RATIO * self._max_bytes
        )
        return is_within_part or not self._is_awaited_by_others(holding.owner)

    def _is_awaited_by_others(self, owner: str) -> bool:
        return any(
            holding.waiting and holding.owner != owner
            for holding in self._holdings
        )

    def _grant(self, holding: Holding) -> None:
        holding.waiting = False
        if holding.wanted > holding.reserved:
            self._reserve(holding, holding.wanted)

    def _reserve(self, holding: Holding, size: int) -> None:
        added = size - holding.reserved
        holding.reserved = size
        self.used += added
        self._owners[holding.owner] += added
        if not self._owners[holding.owner]:
            self._owners.pop(holding.owner)


def _compute_need(holding: Holding) -> int:
    size = holding.received if holding.is_small else holding.bound
    return _COPIES * max(size, holding.received)
