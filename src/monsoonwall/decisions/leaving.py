"""Publish to every entry host which backend servers are leaving.

The record is a fact on the board. So it also reaches hosts whose own view of
the platform is out of date, and outlives the host that got the notice.
"""

from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack

from monsoonwall.mesh.board import Board, Fact

LEAVING_KIND: Final = 'leaving'
# The fact is kept this long after the deadline, so that a server that stops a
# little late is not taken for a crashed one. A new server of the same name
# gets no work until the fact expires.
_RETENTION_SECONDS: Final = 30.0


@dataclass(frozen=True)
class LeavingServer:
    """Name a backend server that will stop by ``deadline_wall`` (Unix time)."""

    server: str
    deadline_wall: float


def make_leaving_fact(leaving: LeavingServer) -> Fact:
    """Return the fact that publishes a leaving server."""
    return Fact(
        LEAVING_KIND,
        leaving.server,
        msgpack.encode(leaving),
        leaving.deadline_wall + _RETENTION_SECONDS,
    )


def read_leaving_servers(
    board: Board, now_wall: float
) -> dict[str, LeavingServer]:
    """Return the leaving servers by name, skipping malformed facts."""
    leaving: dict[str, LeavingServer] = {}
    for fact in board.read_facts(LEAVING_KIND):
        if fact.expires_wall <= now_wall:
            continue
        with suppress(DecodeError, ValidationError):
            leaving[fact.key] = msgpack.decode(fact.payload, type=LeavingServer)
    return leaving
