"""Move streaming runs off servers that are shutting down."""

import asyncio
from contextlib import suppress
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import Continuation
from monsoonwall.gateway.engines import EngineCalls
from monsoonwall.gateway.model import RouteKind
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.gateway.runs import MovedRun, Run, RunMove, RunRegistry
from monsoonwall.gateway.server_connections import ServerConnector
from monsoonwall.gateway.server_selection import SelectedServer, ServerSelector
from monsoonwall.logs import make_logger
from monsoonwall.metrics import STREAM_MOVES

# Runs may finish in place for this fraction of the drain time, then they move.
_MOVE_DELAY_FRACTION: Final = 0.55

_log = make_logger('evacuation')


class RunMover:
    """Move this host's runs from leaving servers to other servers."""

    def __init__(
        self,
        record_cache: RecordCache,
        server_selector: ServerSelector,
        engines: EngineCalls,
        connector: ServerConnector,
        drain_seconds: float,
        clock: Clock,
    ) -> None:
        self._record_cache = record_cache
        self.runs = RunRegistry()
        self._server_selector = server_selector
        self._engines = engines
        self._connector = connector
        self._move_delay_seconds = _MOVE_DELAY_FRACTION * drain_seconds
        self._clock = clock
        self._move_times: dict[str, float] = {}
        self._changed = asyncio.Event()
        record_cache.subscribe(self._update_move_time)

    async def run(self) -> None:
        """Move the runs of each leaving server when due, until cancelled."""
        while True:
            now = self._clock.read_monotonic()
            due_servers = [
                name
                for name, move_time in self._move_times.items()
                if move_time <= now
            ]
            for name in due_servers:
                self._move_times.pop(name)
                self._move_all(name)
            self._changed.clear()
            next_move_time = min(self._move_times.values(), default=None)
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(),
                    None if next_move_time is None else next_move_time - now,
                )

    def _update_move_time(self, record: Record) -> None:
        if record.kind is not RecordKind.server:
            return
        server = self._record_cache.find_server(record.name)
        if server is not None and not server.leaving:
            self._move_times.pop(record.name, None)
            return
        now = self._clock.read_monotonic()
        self._move_times.setdefault(record.name, now + self._move_delay_seconds)
        self._changed.set()

    def _move_all(self, name: str) -> None:
        for run in self.runs.list_runs(name):
            admitted = run.request_state.admitted
            engine = admitted.service.engine
            movable = engine is not None and engine.moves
            streaming = admitted.route.kind is RouteKind.streaming
            if movable and streaming and run.request_state.progress.events:
                run.move_task = asyncio.create_task(self._move(run))

    async def _move(self, run: Run) -> RunMove:
        source = run.selected.server
        target = self._server_selector.choose_move_target(
            run.request_state, source.name
        )
        if target is None:
            return RunMove()
        move_result = await self._engines.move_run(
            run.request_state.request_id,
            source,
            target.server,
            self._connector,
        )
        label = 'copied' if move_result.copied else 'stopped'
        STREAM_MOVES.labels(label if move_result.handle else 'refused').inc()
        _log.info(
            'Run moved.',
            request_id=run.request_state.request_id,
            source=source.name,
            target=target.server.name,
            events=run.request_state.progress.events,
            copied=move_result.copied,
            stopped=bool(move_result.handle),
            may_have_stopped=move_result.may_have_stopped,
            detail=move_result.detail,
        )
        if not move_result.handle:
            return RunMove(move_result.may_have_stopped)
        # A stopped run whose state was not copied resumes only at its source.
        selected = target if move_result.copied else run.selected
        if self._server_selector.is_evacuated(selected.server):
            return RunMove(may_have_stopped=True)
        self._server_selector.record_move(selected.server)
        return RunMove(
            may_have_stopped=True,
            moved_run=MovedRun(
                SelectedServer(selected.server, selected.candidate),
                Continuation(source.address, move_result.handle),
            ),
        )
