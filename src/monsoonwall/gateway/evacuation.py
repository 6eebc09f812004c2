"""Move runs off servers that are about to end."""

import asyncio
from contextlib import suppress
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import Continuation
from monsoonwall.gateway.engines import EngineCalls
from monsoonwall.gateway.model import RouteKind
from monsoonwall.gateway.placing import Place, Placer
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import Record, RecordKind
from monsoonwall.gateway.runs import Moved, Run, RunBook
from monsoonwall.logs import make_logger
from monsoonwall.metrics import STREAM_MOVES

# Part of the drain time that runs get to end where they are.
_WAIT_PART: Final = 0.55

_log = make_logger('evacuation')


class Evacuator:
    """Own the moves of this host's runs."""

    def __init__(
        self,
        record_cache: RecordCache,
        placer: Placer,
        engines: EngineCalls,
        drain_seconds: float,
        clock: Clock,
    ) -> None:
        self._record_cache = record_cache
        self.runs = RunBook()
        self._placer = placer
        self._engines = engines
        self._wait_seconds = _WAIT_PART * drain_seconds
        self._clock = clock
        self._due: dict[str, float] = {}
        self._changed = asyncio.Event()
        record_cache.subscribe(self._note_record)

    async def run(self) -> None:
        """Move runs when it is time, until cancelled."""
        while True:
            now = self._clock.read_monotonic()
            over = [name for name, due in self._due.items() if due <= now]
            for name in over:
                self._due.pop(name)
                self._move_all(name)
            self._changed.clear()
            next_due = min(self._due.values(), default=None)
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(),
                    None if next_due is None else next_due - now,
                )

    def _note_record(self, record: Record) -> None:
        if record.kind is not RecordKind.server:
            return
        server = self._record_cache.find_server(record.name)
        if server is not None and not server.leaving:
            self._due.pop(record.name, None)
            return
        now = self._clock.read_monotonic()
        self._due.setdefault(record.name, now + self._wait_seconds)
        self._changed.set()

    def _move_all(self, name: str) -> None:
        for run in self.runs.list_runs(name):
            admitted = run.journey.admitted
            engine = admitted.service.engine
            movable = engine is not None and engine.moves
            streaming = admitted.route.kind is RouteKind.streaming
            if movable and streaming and run.journey.progress.events:
                run.moving = asyncio.create_task(self._move(run))

    async def _move(self, run: Run) -> Moved | None:
        source = run.place.server
        target = self._placer.choose_other(run.journey, source.name)
        if target is None:
            return None
        receipt = await self._engines.move_run(
            run.journey.request_id, source, target.server
        )
        kind = 'copied' if receipt.copied else 'stopped'
        STREAM_MOVES.labels(kind if receipt.handle else 'refused').inc()
        _log.info(
            'Run moved.',
            request_id=run.journey.request_id,
            source=source.name,
            target=target.server.name,
            events=run.journey.progress.events,
            copied=receipt.copied,
            stopped=bool(receipt.handle),
            detail=receipt.detail,
        )
        if not receipt.handle:
            return None
        # What was stopped but not copied can go on at its source alone.
        place = target if receipt.copied else run.place
        return Moved(
            Place(place.server, place.candidate),
            Continuation(source.address, receipt.handle),
        )
