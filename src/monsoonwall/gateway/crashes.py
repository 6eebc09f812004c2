"""Find out whether a server ended when a sending to it broke off."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.logs import make_logger
from monsoonwall.metrics import BACKEND_CRASHES
from monsoonwall.pipeline.screening import CrashCheck, SuspectScreening
from monsoonwall.transport.probes import Probe, probe_address

# A machine that lives refuses a connection within milliseconds; a request that
# may be sent again waits no longer for the answer.
_FIRST_LOOK_SECONDS: Final = 0.2
# An ending process may accept connections for a moment.
_SECOND_LOOK_SECONDS: Final = 0.4
# The entry of a server that ended lapses within this time.
_LAPSE_SECONDS: Final = 10.0

_log = make_logger('crashes')


@dataclass(frozen=True)
class _Doubt:
    """Hold a question about a server that does not answer at all."""

    question: CrashCheck
    server: BackendServer
    lapses_at: float


class CrashInspector:
    """Settle questions by connecting to the server, or by its entry.

    A server whose machine refuses connections has ended. One that is silent
    may be cut off; it has ended if its entry lapses or tells of a later life.
    """

    def __init__(
        self, knowledge: Knowledge, screening: SuspectScreening, clock: Clock
    ) -> None:
        self._knowledge = knowledge
        self._screening = screening
        self._clock = clock
        self._looks: dict[str, asyncio.Task[Probe]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._doubts: list[_Doubt] = []
        knowledge.subscribe(self._note_record)

    async def inspect(
        self, question: CrashCheck, server: BackendServer
    ) -> None:
        """Look into a question; return once it is settled, or soon after."""
        looked = asyncio.Event()
        self._spawn(self._settle(question, server, looked))
        try:
            async with asyncio.timeout(_FIRST_LOOK_SECONDS):
                await looked.wait()
        except TimeoutError:
            # The look goes on by itself.
            return

    async def _settle(
        self,
        question: CrashCheck,
        server: BackendServer,
        looked: asyncio.Event,
    ) -> None:
        found = await self._look(server)
        if found is Probe.refused:
            self._conclude(question, found)
        looked.set()
        if found in {Probe.refused, Probe.leaving}:
            return
        await asyncio.sleep(_SECOND_LOOK_SECONDS)
        found = await self._look(server)
        if found is Probe.silent:
            self._doubts.append(
                _Doubt(
                    question,
                    server,
                    self._clock.read_monotonic() + _LAPSE_SECONDS,
                )
            )
            return
        self._conclude(question, found)

    async def _look(self, server: BackendServer) -> Probe:
        known = self._knowledge.find_server(server.name)
        if known is None or known.leaving or known.born != server.born:
            return Probe.leaving
        # What broke off together asks the same.
        looking = self._looks.get(server.name)
        if looking is None:
            looking = asyncio.create_task(probe_address(server.address))
            self._looks[server.name] = looking
            looking.add_done_callback(
                lambda _: self._looks.pop(server.name, None)
            )
        return await asyncio.shield(looking)

    def _conclude(self, question: CrashCheck, found: Probe) -> None:
        BACKEND_CRASHES.labels(found).inc()
        _log.info(
            'Broken sending looked into.',
            server=question.record.server,
            content=question.record.content_key,
            found=found,
        )
        self._screening.finish_check(question, found is Probe.refused)

    def _note_record(self, record: Record) -> None:
        if record.kind is not RecordKind.server or not self._doubts:
            return
        found = {doubt: self._reconsider(doubt) for doubt in self._doubts}
        self._doubts = [doubt for doubt, end in found.items() if end is None]
        for doubt, end in found.items():
            if end is not None:
                self._conclude(doubt.question, end)

    def _reconsider(self, doubt: _Doubt) -> Probe | None:
        known = self._knowledge.find_server(doubt.server.name)
        if known is None or known.born != doubt.server.born:
            return Probe.refused
        if known.leaving:
            return Probe.leaving
        now = self._clock.read_monotonic()
        return Probe.silent if now >= doubt.lapses_at else None

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
