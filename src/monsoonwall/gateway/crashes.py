"""Determine whether a server crashed when an attempt at it broke off."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.gateway.server_connections import ServerConnector
from monsoonwall.logs import make_logger
from monsoonwall.metrics import BROKEN_ATTEMPTS
from monsoonwall.pipeline.screening import CrashCheck, SuspectScreening
from monsoonwall.transport.probes import ProbeResult, probe_address

# A running machine refuses a connection within milliseconds. A request that may
# be retried waits at most this long for the first probe.
_FIRST_PROBE_SECONDS: Final = 0.2
# A terminating process may still accept connections for a moment.
_SECOND_PROBE_DELAY_SECONDS: Final = 0.4
# The store entry of a server that crashed expires within this time.
_ENTRY_EXPIRY_SECONDS: Final = 10.0

_log = make_logger('crashes')


@dataclass(frozen=True)
class _PendingInspection:
    """Hold the inspection of a server that did not react to the probes.

    ``expires_at`` is monotonic; by then the store entry of a crashed server
    has expired.
    """

    crash_check: CrashCheck
    server: BackendServer
    expires_at: float


class CrashInspector:
    """Inspect broken attempts by probing the server or by its store entry.

    A server has crashed if its machine refuses connections, also those of
    other hosts where these offer tunnels. A silent server
    may only be unreachable from here; it has crashed if its entry expires or
    is replaced by one of another incarnation.
    """

    def __init__(
        self,
        record_cache: RecordCache,
        screening: SuspectScreening,
        clock: Clock,
        connector: ServerConnector,
    ) -> None:
        self._record_cache = record_cache
        self._screening = screening
        self._clock = clock
        self._connector = connector
        self._probes: dict[str, asyncio.Task[ProbeResult]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending: list[_PendingInspection] = []
        record_cache.subscribe(self._recheck_pending)

    async def inspect(
        self, crash_check: CrashCheck, server: BackendServer
    ) -> None:
        """Start an inspection; return after the first probe or its timeout."""
        probed = self.start(crash_check, server)
        try:
            async with asyncio.timeout(_FIRST_PROBE_SECONDS):
                await probed.wait()
        except TimeoutError:
            # The inspection continues in its own task.
            return

    def start(
        self, crash_check: CrashCheck, server: BackendServer
    ) -> asyncio.Event:
        """Start an inspection; return the event that ends its first probe."""
        probed = asyncio.Event()
        self._spawn(self._inspect(crash_check, server, probed))
        return probed

    async def _inspect(
        self,
        crash_check: CrashCheck,
        server: BackendServer,
        probed: asyncio.Event,
    ) -> None:
        result = await self._probe_server(server)
        if result is ProbeResult.refused:
            self._report(crash_check, result)
        probed.set()
        if result in {ProbeResult.refused, ProbeResult.leaving}:
            return
        await asyncio.sleep(_SECOND_PROBE_DELAY_SECONDS)
        result = await self._probe_server(server)
        if result is ProbeResult.silent:
            self._pending.append(
                _PendingInspection(
                    crash_check,
                    server,
                    self._clock.read_monotonic() + _ENTRY_EXPIRY_SECONDS,
                )
            )
            return
        self._report(crash_check, result)

    async def _probe_server(self, server: BackendServer) -> ProbeResult:
        current = self._record_cache.find_server(server.name)
        if current is None or current.leaving or current.born != server.born:
            return ProbeResult.leaving
        # Attempts that broke off together share one probe.
        probe = self._probes.get(server.name)
        if probe is None:
            probe = asyncio.create_task(self._probe_paths(server))
            self._probes[server.name] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(server.name, None)
            )
        return await asyncio.shield(probe)

    async def _probe_paths(self, server: BackendServer) -> ProbeResult:
        result = await probe_address(server.address)
        # The own links may refuse connections to a running server.
        if (
            result is ProbeResult.refused
            and await self._connector.is_reached_by_tunnel(server)
        ):
            return ProbeResult.accepts
        return result

    def _report(self, crash_check: CrashCheck, result: ProbeResult) -> None:
        BROKEN_ATTEMPTS.labels(result).inc()
        _log.info(
            'Broken attempt inspected.',
            server=crash_check.record.server,
            content=crash_check.record.content_key,
            found=result,
        )
        self._screening.finish_check(crash_check, result is ProbeResult.refused)

    def _recheck_pending(self, record: Record) -> None:
        if record.kind is not RecordKind.server or not self._pending:
            return
        results = {pending: self._recheck(pending) for pending in self._pending}
        self._pending = [
            pending for pending, result in results.items() if result is None
        ]
        for pending, result in results.items():
            if result is not None:
                self._report(pending.crash_check, result)

    def _recheck(self, pending: _PendingInspection) -> ProbeResult | None:
        current = self._record_cache.find_server(pending.server.name)
        if current is None or current.born != pending.server.born:
            return ProbeResult.refused
        if current.leaving:
            return ProbeResult.leaving
        now = self._clock.read_monotonic()
        return ProbeResult.silent if now >= pending.expires_at else None

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
