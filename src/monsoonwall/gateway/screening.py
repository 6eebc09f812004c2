"""Keep requests away from the servers that they would end."""

from dataclasses import replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.hashing import spread_text
from monsoonwall.decisions.suspects import Suspicion
from monsoonwall.gateway.crashes import CrashInspector
from monsoonwall.gateway.journeys import Journey
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.model import BackendServer
from monsoonwall.mesh.board import Board
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.screening import SuspectScreening

# A suspect that is being tried is answered, or its server gone, by then.
_TRIAL_SECONDS: Final = 0.5
_BROKEN: Final = frozenset((AttemptEnding.crashed, AttemptEnding.timed_out))


class Screener:
    """Screen each sending of a request by the crashes of all hosts."""

    def __init__(
        self, screening: SuspectScreening, inspector: CrashInspector
    ) -> None:
        self.screening = screening
        self._inspector = inspector
        self._trials: dict[str, Journey] = {}

    def screen(self, journey: Journey) -> Refusal | None:
        """Return why a request may not be sent now, and mark suspects.

        Of several requests of one suspect content, a host sends one at a time.
        """
        call = journey.admitted.call
        judged = self.screening.classify(call.content_key)
        journey.suspect = judged is not Suspicion.none
        if judged is Suspicion.convicted:
            return self.screening.refuse(call, journey.effect)
        if not journey.suspect:
            return None
        if self._trials.setdefault(call.content_key, journey) is journey:
            return None
        return Refusal(
            RefusalReason.crashing_request,
            journey.effect,
            'a backend server ended under the same request, which is being '
            'tried once more; send it again later',
            _TRIAL_SECONDS * (1 + spread_text(call.request_id)),
        )

    def release(self, journey: Journey) -> None:
        """Take in that a request has its final answer."""
        content_key = journey.admitted.call.content_key
        if self._trials.get(content_key) is journey:
            self._trials.pop(content_key)

    async def note_ending(
        self, record: AttemptRecord, server: BackendServer
    ) -> None:
        """Take in how a sending ended.

        If it broke off, returns when it is known whether the server ended, or
        soon after.
        """
        choice = replace(record.choice, server=_name_life(server))
        record = replace(record, choice=choice)
        if record.ending not in _BROKEN:
            self.screening.observe(record)
            return
        question = self.screening.start_check(record)
        if question is not None:
            await self._inspector.inspect(question, server)


def make_screener(knowledge: Knowledge, board: Board, clock: Clock) -> Screener:
    """Return the screener of one gateway."""
    screening = SuspectScreening(board, clock)
    return Screener(screening, CrashInspector(knowledge, screening, clock))


def _name_life(server: BackendServer) -> str:
    # A server that starts again under its name may end under the same request.
    return f'{server.name}@{server.born}'
