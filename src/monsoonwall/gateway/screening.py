"""Protect servers from requests that would crash them."""

from dataclasses import replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.crashing_requests import Suspicion
from monsoonwall.decisions.hashing import hash_to_fraction
from monsoonwall.gateway.crashes import CrashInspector
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.server_connections import ServerConnector
from monsoonwall.mesh.board import Board
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.screening import SuspectScreening

# By then, a suspect request under trial has completed or crashed its server.
_TRIAL_SECONDS: Final = 0.5
_POSSIBLE_CRASH_ENDINGS: Final = frozenset(
    (AttemptEnding.crashed, AttemptEnding.timed_out)
)


class Screener:
    """Check each attempt against the crash records of all hosts."""

    def __init__(
        self, screening: SuspectScreening, inspector: CrashInspector
    ) -> None:
        self.screening = screening
        self._inspector = inspector
        self._trials: dict[str, RequestState] = {}

    def screen(self, state: RequestState) -> Refusal | None:
        """Return why a request may not be sent now; mark suspect requests.

        Of several requests with the same suspect content, a host sends one at
        a time.
        """
        call = state.admitted.call
        refusal = self.screening.parts.screen(call, state.effect)
        if refusal is not None:
            return refusal
        suspicion = self.screening.classify(call.content_key)
        state.suspect = suspicion is not Suspicion.none
        if suspicion is Suspicion.convicted:
            return self.screening.refuse(call, state.effect)
        if not state.suspect:
            return None
        if self._trials.setdefault(call.content_key, state) is state:
            return None
        return Refusal(
            RefusalReason.crashing_request,
            state.effect,
            'a backend server ended under the same request, which is being '
            'tried once more; send it again later',
            _TRIAL_SECONDS * (1 + hash_to_fraction(call.request_id)),
        )

    def release(self, state: RequestState) -> None:
        """Let the next request with the same suspect content be tried."""
        content_key = state.admitted.call.content_key
        if self._trials.get(content_key) is state:
            self._trials.pop(content_key)

    async def record_attempt_end(
        self, record: AttemptRecord, server: BackendServer
    ) -> None:
        """Record how an attempt ended.

        If the attempt broke off, waits a short time for the inspection that
        finds out whether the server crashed.
        """
        record = _name_incarnation(record, server)
        if record.ending not in _POSSIBLE_CRASH_ENDINGS:
            self.screening.observe(record)
            return
        crash_check = self.screening.start_check(record)
        if crash_check is not None:
            await self._inspector.inspect(crash_check, server)

    def record_interruption(
        self, record: AttemptRecord, server: BackendServer
    ) -> None:
        """Record an attempt that was given up without a response.

        The inspection that finds out whether the server crashed goes on after
        the request has ended.
        """
        crash_check = self.screening.start_check(
            _name_incarnation(record, server)
        )
        if crash_check is not None:
            self._inspector.start(crash_check, server)


def make_screener(
    record_cache: RecordCache,
    board: Board,
    clock: Clock,
    connector: ServerConnector,
) -> Screener:
    """Return the screener of one gateway."""
    screening = SuspectScreening(board, clock)
    return Screener(
        screening, CrashInspector(record_cache, screening, clock, connector)
    )


def _name_incarnation(
    record: AttemptRecord, server: BackendServer
) -> AttemptRecord:
    # A server that restarts under its name may crash again under the same
    # request, which counts as another crash.
    incarnation = f'{server.name}@{server.born}'
    return replace(record, choice=replace(record.choice, server=incarnation))
