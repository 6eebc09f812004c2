"""Put configurations in force on one host, and say what they allow."""

import asyncio
from collections.abc import Callable
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.configuration.announcement import (
    encode_announcement,
    read_number,
)
from monsoonwall.configuration.keeper import ConfigurationKeeper, Intake
from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.neighbours import HostIdentity, Neighbours
from monsoonwall.configuration.notes import ANNOUNCED, CURRENT_KEY, HostNote
from monsoonwall.decisions.adoption import StartView, may_serve
from monsoonwall.decisions.freshness import (
    Freshness,
    WorkKind,
    adopt_number,
    confirm_number,
    may_work,
    observe_number,
)
from monsoonwall.mesh.board import Board, Fact

# Above this, taking an offer lasts longer than a token may wait.
_INLINE_BYTES: Final = 100_000
# The fact is replaced by the next one and must not go before.
_FACT_SECONDS: Final = 31_536_000
# Notes may overtake the announcement that tells of the same number.
_OVERTAKE_SECONDS: Final = 1.0


class Enforcement:
    """Follow the keeper: put in force, announce, keep the currency."""

    def __init__(
        self,
        identity: HostIdentity,
        neighbours: Neighbours,
        board: Board,
        clock: Clock,
        adopt: Callable[[Configuration], None],
    ) -> None:
        self.keeper = ConfigurationKeeper()
        self.freshness = Freshness()
        self.serving = False
        self._zone = identity.zone
        self._has_peers = identity.has_peers
        self._neighbours = neighbours
        self._board = board
        self._clock = clock
        self._adopt = adopt
        self._answered = False
        self._taking = asyncio.Lock()
        self._started = clock.read_monotonic()
        self._level_at = self._started

    def may_work(self, work: WorkKind) -> bool:
        """Return whether this host may do a kind of work now."""
        return may_work(self.freshness, work, self._clock.read_wall())

    async def take(
        self, offer: Callable[[], Intake | None], size: int
    ) -> Intake | None:
        """Let the keeper take an offer of some bytes, and follow it up.

        One at a time; a large one in a thread, so that requests go on.
        """
        async with self._taking:
            held = self.keeper.read_content() or b''
            if max(size, len(held)) <= _INLINE_BYTES:
                intake = offer()
            else:
                intake = await asyncio.to_thread(offer)
            if intake is not None:
                self._settle(intake)
        return intake

    def _settle(self, intake: Intake) -> None:
        if intake.superseded:
            self.hear(intake.number)
        if intake.adopted:
            self.freshness = adopt_number(self.freshness, intake.number)
            self._announce()
            self.activate()

    def hear(self, number: int) -> None:
        """Note that another host has a number in force."""
        self.freshness = observe_number(self.freshness, number)

    def hear_platform(self) -> None:
        """Note that the platform told what it holds."""
        self._answered = True
        if not self.serving:
            self.activate()

    def confirm(self, number: int, confirmed_wall: float) -> None:
        """Note that a number was the newest at a time (Unix seconds)."""
        self.freshness = confirm_number(
            self.freshness, number, confirmed_wall, self._clock.read_wall()
        )

    def activate(self) -> None:
        """Serve with what is held, or wait if this host only starts."""
        configuration = self.keeper.configuration
        if configuration is None:
            return
        if self.serving or self._may_begin():
            self.serving = True
            self._adopt(configuration)

    def is_behind(self, now: float) -> bool:
        """Return whether a newer number has been known for too long."""
        if self.freshness.known <= self.keeper.held.number:
            self._level_at = now
        return now > self._level_at + _OVERTAKE_SECONDS

    def make_note(self) -> HostNote:
        """Return what to tell the other hosts."""
        problems = self.keeper.problems
        watching = self._neighbours.watching
        number = self.keeper.held.number if self.serving else 0
        return HostNote(
            self._zone,
            number,
            self.freshness.confirmed_wall if watching else 0,
            str(problems[0]) if problems else '',
            number,
        )

    def _may_begin(self) -> bool:
        view = StartView(
            self.keeper.held.number,
            self._answered,
            self._has_peers,
            self._neighbours.list_peer_numbers(),
            self._started,
        )
        return may_serve(view, self._clock.read_monotonic())

    def _announce(self) -> None:
        known = max(
            (
                read_number(fact.payload)
                for fact in self._board.read_facts(ANNOUNCED)
            ),
            default=0,
        )
        stored = self.keeper.read_held()
        # Hosts may word the same number differently; one wording is enough.
        if stored is None or known >= stored.number:
            return
        payload = encode_announcement(stored)
        expires_wall = self._clock.read_wall() + _FACT_SECONDS
        self._board.publish_fact(
            Fact(ANNOUNCED, CURRENT_KEY, payload, expires_wall)
        )
