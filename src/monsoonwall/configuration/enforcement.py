"""Put configurations in force on one host, and decide what they allow."""

import asyncio
from collections.abc import Callable
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.configuration.active import ActiveConfiguration, OfferResult
from monsoonwall.configuration.announcement import (
    encode_announcement,
    read_number,
)
from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.notes import (
    ANNOUNCEMENT_KIND,
    CURRENT_KEY,
    HostNote,
)
from monsoonwall.configuration.peer_notes import HostIdentity, PeerNotes
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

# Processing a larger offer would delay tokens, so it runs in a thread.
_MAX_INLINE_BYTES: Final = 100_000
# An announcement must not expire before the next one replaces it: one year.
_FACT_LIFETIME_SECONDS: Final = 31_536_000
# Notes may arrive before the announcement of the number that they mention.
_ANNOUNCEMENT_GRACE_SECONDS: Final = 1.0


class Enforcement:
    """Activate and announce configurations, and track how fresh they are.

    ``serving`` says whether this host serves with the configuration held.
    """

    def __init__(
        self,
        identity: HostIdentity,
        peer_notes: PeerNotes,
        board: Board,
        clock: Clock,
        adopt: Callable[[Configuration], None],
    ) -> None:
        self.active = ActiveConfiguration()
        self.freshness = Freshness()
        self.serving = False
        self._zone = identity.zone
        self._has_peers = identity.has_peers
        self._peer_notes = peer_notes
        self._board = board
        self._clock = clock
        self._adopt = adopt
        self._platform_answered = False
        self._offer_lock = asyncio.Lock()
        self._started = clock.read_monotonic()
        self._last_current_at = self._started

    def may_work(self, work: WorkKind) -> bool:
        """Return whether the configuration is fresh enough for some work."""
        return may_work(self.freshness, work, self._clock.read_wall())

    async def process_offer(
        self, offer: Callable[[], OfferResult | None], size: int
    ) -> OfferResult | None:
        """Call ``offer`` for a configuration and act on the result.

        ``size`` is the number of bytes that ``offer`` decodes. Offers are
        processed one at a time, large ones in a thread so that requests are
        not delayed.
        """
        async with self._offer_lock:
            held = self.active.read_content() or b''
            if max(size, len(held)) <= _MAX_INLINE_BYTES:
                result = offer()
            else:
                result = await asyncio.to_thread(offer)
            if result is not None:
                self._apply_result(result)
        return result

    def _apply_result(self, result: OfferResult) -> None:
        if result.supersedes_held:
            self.record_number(result.number)
        if result.adopted:
            self.freshness = adopt_number(self.freshness, result.number)
            self._announce()
            self.activate()

    def record_number(self, number: int) -> None:
        """Record that some host has a number in force."""
        self.freshness = observe_number(self.freshness, number)

    def record_platform_response(self) -> None:
        """Record that the platform has responded since the start."""
        self._platform_answered = True
        if not self.serving:
            self.activate()

    def confirm(self, number: int, confirmed_wall: float) -> None:
        """Record that a number was the newest at a time (Unix seconds)."""
        self.freshness = confirm_number(
            self.freshness, number, confirmed_wall, self._clock.read_wall()
        )

    def activate(self) -> None:
        """Serve with the configuration held.

        A starting host does so only once it may serve.
        """
        configuration = self.active.configuration
        if configuration is None:
            return
        if self.serving or self._may_start_serving():
            self.serving = True
            self._adopt(configuration)

    def is_behind(self, now: float) -> bool:
        """Return whether a newer number was known throughout a grace period.

        Call this regularly: it also records when the host was last current.
        """
        if self.freshness.known <= self.active.held.number:
            self._last_current_at = now
        return now > self._last_current_at + _ANNOUNCEMENT_GRACE_SECONDS

    def make_note(self) -> HostNote:
        """Return the note to publish to the other hosts."""
        problems = self.active.problems
        watching = self._peer_notes.watching
        number = self.active.held.number if self.serving else 0
        return HostNote(
            self._zone,
            number,
            self.freshness.confirmed_wall if watching else 0,
            str(problems[0]) if problems else '',
            number,
        )

    def _may_start_serving(self) -> bool:
        view = StartView(
            self.active.held.number,
            self._platform_answered,
            self._has_peers,
            self._peer_notes.list_peer_numbers(),
            self._started,
        )
        return may_serve(view, self._clock.read_monotonic())

    def _announce(self) -> None:
        announced_number = max(
            (
                read_number(fact.payload)
                for fact in self._board.read_facts(ANNOUNCEMENT_KIND)
            ),
            default=0,
        )
        stored = self.active.read_held()
        # Hosts may encode the same configuration differently, for example
        # with other recent patches. Since one announcement per number is
        # enough, others are not spread as well.
        if stored is None or announced_number >= stored.number:
            return
        payload = encode_announcement(stored)
        expires_wall = self._clock.read_wall() + _FACT_LIFETIME_SECONDS
        self._board.publish_fact(
            Fact(ANNOUNCEMENT_KIND, CURRENT_KEY, payload, expires_wall)
        )
