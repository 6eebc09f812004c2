"""Bring conclusions to the platform and back, whenever it answers."""

import asyncio
from collections.abc import Iterable
from typing import Final

from returns.pipeline import is_successful
from xxhash import xxh3_64_intdigest

from monsoonwall.clocks import Clock
from monsoonwall.decisions.moves import Conclusion
from monsoonwall.moves.records import ConclusionBoard, ConclusionStore

_POLL_SECONDS: Final = 1.0
# The host that decides writes at once; the others wait this long and then
# some, in case it is gone, so that few of them ever call the platform.
_BACKUP_DELAY_SECONDS: Final = 5.0
_BACKUP_SPREAD_SECONDS: Final = 30
_RETRY_SECONDS: Final = 10.0


class ConclusionSync:
    """Write and read the platform's records of conclusions.

    What is read is spread over the board, where the owner of the moves
    finds it like any other conclusion.
    """

    def __init__(
        self,
        conclusions: ConclusionBoard,
        store: ConclusionStore,
        clock: Clock,
        host_name: str,
    ) -> None:
        self._conclusions = conclusions
        self._store = store
        self._clock = clock
        self._host_name = host_name
        self._pending_reads: set[str] = set()
        self._pending_writes: dict[str, Conclusion] = {}
        self._write_times: dict[str, float] = {}

    def schedule_read(self, identities: Iterable[str]) -> None:
        """Ask the platform for the conclusions of these moves."""
        self._pending_reads.update(identities)

    def is_read_pending(self, identity: str) -> bool:
        """Tell whether the platform may hold a conclusion unknown here."""
        return identity in self._pending_reads

    def schedule_write(self, identity: str, conclusion: Conclusion) -> None:
        """Write what this host concluded."""
        self._pending_writes[identity] = conclusion
        self._write_times[identity] = self._clock.read_monotonic()

    def schedule_backup_write(
        self, identity: str, conclusion: Conclusion
    ) -> None:
        """Write what another host concluded, unless somebody has by then."""
        hash_input = f'{self._host_name}\0{identity}'.encode()
        host_delay = xxh3_64_intdigest(hash_input) % _BACKUP_SPREAD_SECONDS
        wait = _BACKUP_DELAY_SECONDS + host_delay
        self._pending_writes[identity] = conclusion
        self._write_times[identity] = self._clock.read_monotonic() + wait

    async def run(self) -> None:
        """Read and write until cancelled."""
        while True:
            for pending_identity in tuple(self._pending_reads):
                await self._read(pending_identity)
            now = self._clock.read_monotonic()
            for identity, conclusion in tuple(self._pending_writes.items()):
                if self._write_times[identity] <= now:
                    await self._write(identity, conclusion)
            await asyncio.sleep(_POLL_SECONDS)

    async def _read(self, identity: str) -> None:
        found = await self._store.read(identity)
        if not is_successful(found):
            return
        conclusion = found.unwrap()
        if conclusion is not None:
            self._conclusions.publish_conclusion(identity, conclusion)
        self._pending_reads.discard(identity)

    async def _write(self, identity: str, conclusion: Conclusion) -> None:
        if self._conclusions.is_recorded(identity, conclusion):
            self._pending_writes.pop(identity)
        elif await self._store.record(identity, conclusion):
            self._conclusions.publish_recorded(identity, conclusion)
            # A withdrawal may have come meanwhile, which is not written yet.
            if self._pending_writes.get(identity) is conclusion:
                self._pending_writes.pop(identity)
        else:
            self._write_times[identity] = (
                self._clock.read_monotonic() + _RETRY_SECONDS
            )
