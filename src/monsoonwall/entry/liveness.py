"""Track leaving backend servers, and check whether servers crashed."""

import asyncio
from asyncio import Queue
from typing import Final

from msgspec import msgpack

from monsoonwall.clocks import Clock
from monsoonwall.decisions.leaving import (
    LEAVING_KIND,
    LeavingServer,
    make_leaving_fact,
    read_leaving_servers,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact
from monsoonwall.metrics import BROKEN_ATTEMPTS, LEAVING_SERVERS
from monsoonwall.pipeline.screening import CrashCheck, SuspectScreening
from monsoonwall.pipeline.server_view import ServerView
from monsoonwall.transport.probes import ProbeResult, probe_address

_PROBE_DELAYS_SECONDS: Final = (0, 0.2, 0.5)
# A load report can say that its server is leaving, but not when it will stop.
# The notice published for it gets a deadline this far ahead, and is renewed
# when that has passed and the server still reports that it is leaving.
_NOTICE_SECONDS: Final = 60.0
# A server may stop late, so it counts as leaving for this long after its
# deadline.
_STOP_GRACE_SECONDS: Final = 30.0

_log = make_logger('liveness')


class LivenessTask:
    """Mark leaving servers, and probe the servers of broken attempts."""

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
        self._notices: Queue[Entry | Fact] = board.subscribe(LEAVING_KIND)
        self._probe_tasks: set[asyncio.Task[None]] = set()
        self._leaving_servers: set[str] = set()

    async def run(self) -> None:
        """Process leaving notices and crash checks until cancelled."""
        for leaving in read_leaving_servers(
            self._board, self._clock.read_wall()
        ).values():
            self._record_leaving(leaving)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_notices())
            group.create_task(self._follow_crash_checks())

    def report_leaving(self, server: str) -> None:
        """Publish a notice for a server that reports itself as leaving."""
        # A notice whose deadline has not passed expires later than this.
        grace_end = self._clock.read_monotonic() + _STOP_GRACE_SECONDS
        if self._server_view.availability.is_leaving(server, grace_end):
            return
        leaving = LeavingServer(
            server, self._clock.read_wall() + _NOTICE_SECONDS
        )
        self._record_leaving(leaving)
        self._board.publish_fact(make_leaving_fact(leaving))

    async def _follow_notices(self) -> None:
        while True:
            fact = await self._notices.get()
            try:
                leaving = msgpack.decode(fact.payload, type=LeavingServer)
            except DECODE_ERRORS as error:
                _log.error('Cannot decode a leaving notice.', error=str(error))
                continue
            self._record_leaving(leaving)

    def _record_leaving(self, leaving: LeavingServer) -> None:
        remaining = leaving.deadline_wall - self._clock.read_wall()
        now = self._clock.read_monotonic()
        expires_at = now + remaining + _STOP_GRACE_SECONDS
        availability = self._server_view.availability
        if expires_at > now and not availability.is_leaving(
            leaving.server, now
        ):
            _log.info('Backend server is leaving.', server=leaving.server)
        availability.mark_leaving(leaving.server, expires_at)
        self._leaving_servers.add(leaving.server)
        self._leaving_servers = {
            name
            for name in self._leaving_servers
            if availability.is_leaving(name, now)
        }
        LEAVING_SERVERS.set(len(self._leaving_servers))

    async def _follow_crash_checks(self) -> None:
        while True:
            check = await self._screening.crash_checks.get()
            task = asyncio.create_task(self._run_check(check))
            self._probe_tasks.add(task)
            task.add_done_callback(self._probe_tasks.discard)

    async def _run_check(self, check: CrashCheck) -> None:
        result = await self._probe_server(check.record.server)
        BROKEN_ATTEMPTS.labels(result).inc()
        # Only a refused connection proves a crash: the machine responds, but
        # no process listens. A partition or a lost machine gives no response,
        # and a server whose connection merely broke accepts a new one.
        self._screening.finish_check(check, result is ProbeResult.refused)

    async def _probe_server(self, server: str) -> ProbeResult:
        now = self._clock.read_monotonic()
        if self._server_view.availability.is_leaving(server, now):
            return ProbeResult.leaving
        server_configuration = (
            self._server_view.configuration.backend_servers.get(server)
        )
        if server_configuration is None:
            # A server that was removed from the configuration counts as
            # leaving.
            return ProbeResult.leaving
        # Probe again if the server accepts: a terminating process may close
        # its connections before its listening socket.
        for pause in _PROBE_DELAYS_SECONDS:
            await asyncio.sleep(pause)
            result = await probe_address(server_configuration.address)
            if result is not ProbeResult.accepts:
                return result
        return ProbeResult.accepts
