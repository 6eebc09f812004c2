"""Synchronize conclusions of moves with the platform's store."""

import asyncio
from collections.abc import Iterable
from typing import Final

from returns.pipeline import is_successful
from xxhash import xxh3_64_intdigest

from monsoonwall.clocks import Clock
from monsoonwall.decisions.moves import Conclusion
from monsoonwall.moves.records import ConclusionBoard, ConclusionStore

_POLL_SECONDS: Final = 1.0
# The host that concluded a move writes immediately. The others wait this long
# plus a delay that differs by host, in case that host is gone, and write only
# if no host has by then. Few of them therefore ever call the platform.
_BACKUP_DELAY_SECONDS: Final = 5.0
_BACKUP_SPREAD_SECONDS: Final = 30
_RETRY_SECONDS: Final = 10.0


class ConclusionSync:
    """Read and write conclusions in the platform's store, with retries.

    Conclusions that are read are published on the board, from where the task
    that executes the moves receives them like those of other hosts.
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
        """Read the stored conclusions of these moves later."""
        self._pending_reads.update(identities)

    def is_read_pending(self, identity: str) -> bool:
        """Return whether the stored conclusion of a move is still unread."""
        return identity in self._pending_reads

    def schedule_write(self, identity: str, conclusion: Conclusion) -> None:
        """Write a conclusion of this host at the next poll."""
        self._pending_writes[identity] = conclusion
        self._write_times[identity] = self._clock.read_monotonic()

    def schedule_backup_write(
        self, identity: str, conclusion: Conclusion
    ) -> None:
        """Write another host's conclusion later unless recorded by then."""
        hash_input = f'{self._host_name}\0{identity}'.encode()
        host_delay = xxh3_64_intdigest(hash_input) % _BACKUP_SPREAD_SECONDS
        wait = _BACKUP_DELAY_SECONDS + host_delay
        self._pending_writes[identity] = conclusion
        self._write_times[identity] = self._clock.read_monotonic() + wait

    async def run(self) -> None:
        """Perform scheduled reads and writes until cancelled."""
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
            # A withdrawal may have replaced this conclusion during the write;
            # if so, the withdrawal still has to be written.
            if self._pending_writes.get(identity) is conclusion:
                self._pending_writes.pop(identity)
        else:
            self._write_times[identity] = (
                self._clock.read_monotonic() + _RETRY_SECONDS
            )
