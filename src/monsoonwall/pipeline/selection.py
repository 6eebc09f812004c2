"""Select the backend server for each attempt of a call."""

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

# Replacements for the servers of a reclaimed zone take longer than this to
# start. The servers of other zones become eligible again sooner, as their next
# load reports arrive and their limits allow.
_SERVER_WAIT_SECONDS: Final = 20.0
_SERVER_POLL_SECONDS: Final = 0.25


@dataclass(frozen=True)
class CallProgress:
    """Track a call across its attempts.

    ``excluded`` names the servers of earlier attempts. If a stream is moved,
    ``target`` is its next server, and ``kv_handle`` names the KV cache that
    was copied there, if any.
    """

    call: Call
    version: str
    isolated: bool
    attempt: int = 1
    excluded: frozenset[str] = frozenset()
    failures: int = 0
    target: ServerChoice | None = None
    kv_handle: str = ''


class ServerSelection:
    """Get servers from the routing stage, waiting for one if necessary."""

    def __init__(self, routing: ServerRouting, clock: Clock) -> None:
        self._routing = routing
        self._clock = clock

    async def choose_or_wait(
        self, progress: CallProgress
    ) -> Result[ServerChoice, Refusal]:
        """Return a server, waiting for one if the call has lost its server.

        A new call is refused immediately, as no partial answer is lost.
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

    def choose(self, progress: CallProgress) -> Result[ServerChoice, Refusal]:
        """Return the preset server of the attempt, or the best one."""
        if progress.target is not None:
            return Success(progress.target)
        choice = self.choose_excluding(progress, progress.excluded)
        if progress.call.idempotent and _lacks_server(choice):
            # Fall back to servers that failed; they may have recovered.
            choice = self.choose_excluding(progress, frozenset())
        return choice.alt(partial(_include_earlier_attempts, progress))

    def choose_excluding(
        self, progress: CallProgress, excluded: frozenset[str]
    ) -> Result[ServerChoice, Refusal]:
        """Return the best server not excluded, and count the dispatch."""
        now = self._clock.read_monotonic()
        choice = self._routing.choose_server(
            progress.call,
            progress.version,
            excluded,
            progress.isolated,
            now,
        )
        if is_successful(choice):
            self._routing.record_dispatch(progress.call, choice.unwrap(), now)
        return choice


def _lacks_server(choice: Result[ServerChoice, Refusal]) -> bool:
    if is_successful(choice):
        return False
    return choice.failure().reason is RefusalReason.no_server


def _include_earlier_attempts(
    progress: CallProgress, refusal: Refusal
) -> Refusal:
    # A call that is not idempotent is retried only if it certainly did not
    # run. Any other call may have run in an earlier attempt, on this host or
    # on the host that it was taken over from.
    is_first = progress.attempt == 1
    if is_first or not progress.call.idempotent:
        return refusal
    if refusal.effect is not Effect.not_run:
        return refusal
    return replace(refusal, effect=Effect.unknown)
