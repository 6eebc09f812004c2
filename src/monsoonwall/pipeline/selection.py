"""Choose the backend server for each attempt of a call."""

import asyncio
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from returns.pipeline import is_successful
from returns.result import Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Refusal,
    RefusalReason,
    ServerChoice,
)
from monsoonwall.pipeline.stages import ServerRouting

# New servers of a reclaimed zone take longer, but those of other zones come
# back into the choice within their load reports and limits.
_SERVER_WAIT_SECONDS: Final = 20.0
_SERVER_POLL_SECONDS: Final = 0.25


@dataclass(frozen=True)
class Progress:
    """Follow one call over its attempts."""

    call: Call
    version: str
    isolated: bool
    attempt: int = 1
    excluded: frozenset[str] = frozenset()
    failures: int = 0
    target: ServerChoice | None = None
    kv_handle: str = ''


class ServerSelection:
    """Ask the routing stage, and wait for a server where that may help."""

    def __init__(self, routing: ServerRouting, clock: Clock) -> None:
        self._routing = routing
        self._clock = clock

    async def choose_or_wait(
        self, progress: Progress
    ) -> Result[ServerChoice, Refusal]:
        """Wait a while for a server if the call has lost one.

        A new call is refused at once instead: nothing of it is lost.
        """
        wait = _SERVER_WAIT_SECONDS if progress.excluded else 0
        give_up_at = min(
            progress.call.deadline, self._clock.read_monotonic() + wait
        )
        while True:
            choice = self.choose(progress)
            now = self._clock.read_monotonic()
            if not _lacks_server(choice) or now >= give_up_at:
                return choice
            await asyncio.sleep(_SERVER_POLL_SECONDS)

    def choose(self, progress: Progress) -> Result[ServerChoice, Refusal]:
        """Return the server that is set for the attempt, or the best."""
        if progress.target is not None:
            return Success(progress.target)
        choice = self.choose_excluding(progress, progress.excluded)
        if progress.call.idempotent and _lacks_server(choice):
            # Better one that failed before, and may be well again, than none.
            choice = self.choose_excluding(progress, frozenset())
        return choice.alt(partial(_include_earlier_attempts, progress))

    def choose_excluding(
        self, progress: Progress, excluded: frozenset[str]
    ) -> Result[ServerChoice, Refusal]:
        """Return the best server but the excluded, and count it as sent to."""
        now = self._clock.read_monotonic()
        choice = self._routing.choose_server(
            progress.call,
            progress.version,
            excluded,
            progress.isolated,
            now,
        )
        if is_successful(choice):
            self._routing.note_dispatch(progress.call, choice.unwrap(), now)
        return choice


def _lacks_server(choice: Result[ServerChoice, Refusal]) -> bool:
    if is_successful(choice):
        return False
    return choice.failure().reason is RefusalReason.no_server


def _include_earlier_attempts(progress: Progress, refusal: Refusal) -> Refusal:
    # A call that is not idempotent gets here again only if nothing of it ran.
    # Of any other call an earlier attempt, here or at the host that it was
    # taken over from, may have run.
    is_first = progress.attempt == 1
    if is_first or not progress.call.idempotent:
        return refusal
    if refusal.effect is not Effect.not_run:
        return refusal
    return replace(refusal, effect=Effect.unknown)
