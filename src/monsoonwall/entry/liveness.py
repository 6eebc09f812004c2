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

_PROBE_DELAYS_SECONDS: Final = (0, 0.2, 0.5)
# A load report tells no deadline; its flag is renewed while it stands.
_NOTICE_SECONDS: Final = 60.0
_STOP_GRACE_SECONDS: Final = 30.0

_log = make_logger('liveness')


class LivenessTask:
    """Mark leaving servers and look into broken attempts."""

    def __init__(
        self,
        server_view: ServerView,
        screening: SuspectScreening,
        board: Board,
        clock: Clock,
    ) -> None:
        self._server_view = server_view
        self._screening = screening
        self._board = board
        self._clock = clock
        self._incoming: Queue[Entry | Fact] = board.subscribe(LEAVING_KIND)
        self._probe_tasks: set[asyncio.Task[None]] = set()
        self._leaving: set[str] = set()

    async def run(self) -> None:
        """Follow notices and crash questions until cancelled."""
        for leaving in read_leaving_servers(
            self._board, self._clock.read_wall()
        ).values():
            self._note_leaving(leaving)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_notices())
            group.create_task(self._follow_crash_checks())

    def report_leaving(self, server: str) -> None:
        """Publish that a server says of itself that it is leaving."""
        renewal = self._clock.read_monotonic() + _STOP_GRACE_SECONDS
        if self._server_view.availability.is_leaving(server, renewal):
            return
        leaving = LeavingServer(
            server, self._clock.read_wall() + _NOTICE_SECONDS
        )
        self._note_leaving(leaving)
        self._board.publish_fact(make_leaving_fact(leaving))

    async def _follow_notices(self) -> None:
        while True:
            fact = await self._incoming.get()
            try:
                leaving = msgpack.decode(fact.payload, type=LeavingServer)
            except (DecodeError, ValidationError) as error:
                _log.error('Leaving notice is damaged.', error=str(error))
                continue
            self._note_leaving(leaving)

    def _note_leaving(self, leaving: LeavingServer) -> None:
        remaining = leaving.deadline_wall - self._clock.read_wall()
        now = self._clock.read_monotonic()
        expires_at = now + remaining + _STOP_GRACE_SECONDS
        availability = self._server_view.availability
        if expires_at > now and not availability.is_leaving(
            leaving.server, now
        ):
            _log.info('Backend server is leaving.', server=leaving.server)
        availability.note_leaving(leaving.server, expires_at)
        self._leaving.add(leaving.server)
        self._leaving = {
            name for name in self._leaving if availability.is_leaving(name, now)
        }
        LEAVING_SERVERS.set(len(self._leaving))

    async def _follow_crash_checks(self) -> None:
        while True:
            check = await self._screening.crash_checks.get()
            task = asyncio.create_task(self._run_check(check))
            self._probe_tasks.add(task)
            task.add_done_callback(self._probe_tasks.discard)

    async def _run_check(self, check: CrashCheck) -> None:
        result = await self._probe_server(check.record.server)
        BROKEN_ATTEMPTS.labels(result).inc()
        # Only a machine that answers, with nobody listening, is proof: a cut
        # network or a lost machine is silent, a broken connection accepts.
        self._screening.finish_check(check, result is ProbeResult.refused)

    async def _probe_server(self, server: str) -> ProbeResult:
        now = self._clock.read_monotonic()
        if self._server_view.availability.is_leaving(server, now):
            return ProbeResult.leaving
        server_configuration = (
            self._server_view.configuration.backend_servers.get(server)
        )
        if server_configuration is None:
            return ProbeResult.leaving
        # A dying process may close its connections before its listener.
        for pause in _PROBE_DELAYS_SECONDS:
            await asyncio.sleep(pause)
            result = await probe_address(server_configuration.address)
            if result is not ProbeResult.accepts:
                return result
        return ProbeResult.accepts
