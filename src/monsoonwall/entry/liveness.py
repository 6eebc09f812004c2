"""Follow which backend servers are leaving, and which have crashed."""

import asyncio
from asyncio import Queue
from typing import Final

from msgspec import DecodeError, ValidationError, msgpack

from monsoonwall.clocks import Clock
from monsoonwall.decisions.leaving import (
    LEAVING_KIND,
    LeavingServer,
    make_leaving_fact,
    read_leaving_servers,
)
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact
from monsoonwall.metrics import BROKEN_ATTEMPTS, LEAVING_SERVERS
from monsoonwall.pipeline.screening import CrashCheck, SuspectScreening
from monsoonwall.pipeline.server_view import ServerView
from monsoonwall.transport.probes import ProbeResult, probe_address

_PROBE_PAUSES_SECONDS: Final = (0, 0.2, 0.5)
# A load report tells no deadline; its flag is renewed while it stands.
_FLAG_SECONDS: Final = 60.0
_LATE_SECONDS: Final = 30.0

_log = make_logger('liveness')


class LivenessTask:
    """Mark leaving servers and look into broken attempts."""

    def __init__(
        self,
        knowledge: ServerView,
        screening: SuspectScreening,
        board: Board,
        clock: Clock,
    ) -> None:
        self._knowledge = knowledge
        self._screening = screening
        self._board = board
        self._clock = clock
        self._arrived: Queue[Entry | Fact] = board.subscribe(LEAVING_KIND)
        self._probes: set[asyncio.Task[None]] = set()
        self._leaving: set[str] = set()

    async def run(self) -> None:
        """Follow notices and crash questions until cancelled."""
        for known in read_leaving_servers(
            self._board, self._clock.read_wall()
        ).values():
            self._note_leaving(known)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_notices())
            group.create_task(self._follow_questions())

    def report_leaving(self, server: str) -> None:
        """Publish that a server says of itself that it is leaving."""
        renewal = self._clock.read_monotonic() + _LATE_SECONDS
        if self._knowledge.availability.is_leaving(server, renewal):
            return
        leaving = LeavingServer(server, self._clock.read_wall() + _FLAG_SECONDS)
        self._note_leaving(leaving)
        self._board.publish_fact(make_leaving_fact(leaving))

    async def _follow_notices(self) -> None:
        while True:
            fact = await self._arrived.get()
            try:
                leaving = msgpack.decode(fact.payload, type=LeavingServer)
            except (DecodeError, ValidationError) as error:
                _log.error('Leaving notice is damaged.', error=str(error))
                continue
            self._note_leaving(leaving)

    def _note_leaving(self, leaving: LeavingServer) -> None:
        remaining = leaving.deadline_wall - self._clock.read_wall()
        now = self._clock.read_monotonic()
        until = now + remaining + _LATE_SECONDS
        availability = self._knowledge.availability
        if until > now and not availability.is_leaving(leaving.server, now):
            _log.info('Backend server is leaving.', server=leaving.server)
        availability.note_leaving(leaving.server, until)
        self._leaving.add(leaving.server)
        self._leaving = {
            name for name in self._leaving if availability.is_leaving(name, now)
        }
        LEAVING_SERVERS.set(len(self._leaving))

    async def _follow_questions(self) -> None:
        while True:
            question = await self._screening.crash_checks.get()
            probing = asyncio.create_task(self._answer(question))
            self._probes.add(probing)
            probing.add_done_callback(self._probes.discard)

    async def _answer(self, question: CrashCheck) -> None:
        found = await self._look_into(question.record.server)
        BROKEN_ATTEMPTS.labels(found).inc()
        # Only a machine that answers, with nobody listening, is proof: a cut
        # network or a lost machine is silent, a broken connection accepts.
        self._screening.finish_check(question, found is ProbeResult.refused)

    async def _look_into(self, server: str) -> ProbeResult:
        now = self._clock.read_monotonic()
        if self._knowledge.availability.is_leaving(server, now):
            return ProbeResult.leaving
        described = self._knowledge.configuration.backend_servers.get(server)
        if described is None:
            return ProbeResult.leaving
        # A dying process may close its connections before its listener.
        for pause in _PROBE_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            found = await probe_address(described.address)
            if found is not ProbeResult.accepts:
                return found
        return ProbeResult.accepts
