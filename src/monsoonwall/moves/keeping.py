"""Bring conclusions to the platform and back, whenever it answers."""

import asyncio
from collections.abc import Iterable
from typing import Final

from returns.pipeline import is_successful
from xxhash import xxh3_64_intdigest

from monsoonwall.clocks import Clock
from monsoonwall.decisions.moves import Conclusion
from monsoonwall.moves.records import ConclusionBoard, ConclusionStore

_LOOK_SECONDS: Final = 1.0
# The host that decides writes at once; the others wait this long and then
# some, in case it is gone, so that few of them ever call the platform.
_OTHERS_WAIT_SECONDS: Final = 5.0
_SPREAD_SECONDS: Final = 30
_RETRY_SECONDS: Final = 10.0


class RecordKeeper:
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
        self._unread: set[str] = set()
        self._unwritten: dict[str, Conclusion] = {}
        self._due: dict[str, float] = {}

    def read_later(self, identities: Iterable[str]) -> None:
        """Ask the platform for the conclusions of these moves."""
        self._unread.update(identities)

    def is_unread(self, identity: str) -> bool:
        """Tell whether the platform may hold a conclusion unknown here."""
        return identity in self._unread

    def write_first(self, identity: str, conclusion: Conclusion) -> None:
        """Write what this host concluded."""
        self._unwritten[identity] = conclusion
        self._due[identity] = self._clock.read_monotonic()

    def write_in_turn(self, identity: str, conclusion: Conclusion) -> None:
        """Write what another host concluded, unless somebody has by then."""
        place = f'{self._host_name}\0{identity}'.encode()
        order = xxh3_64_intdigest(place) % _SPREAD_SECONDS
        wait = _OTHERS_WAIT_SECONDS + order
        self._unwritten[identity] = conclusion
        self._due[identity] = self._clock.read_monotonic() + wait

    async def run(self) -> None:
        """Read and write until cancelled."""
        while True:
            for unread in tuple(self._unread):
                await self._read(unread)
            now = self._clock.read_monotonic()
            for identity, conclusion in tuple(self._unwritten.items()):
                if self._due[identity] <= now:
                    await self._write(identity, conclusion)
            await asyncio.sleep(_LOOK_SECONDS)

    async def _read(self, identity: str) -> None:
        found = await self._store.read(identity)
        if not is_successful(found):
            return
        conclusion = found.unwrap()
        if conclusion is not None:
            self._conclusions.spread(identity, conclusion)
        self._unread.discard(identity)

    async def _write(self, identity: str, conclusion: Conclusion) -> None:
        if self._conclusions.is_recorded(identity, conclusion):
            self._unwritten.pop(identity)
        elif await self._store.record(identity, conclusion):
            self._conclusions.spread_record(identity, conclusion)
            # A withdrawal may have come meanwhile, which is not written yet.
            if self._unwritten.get(identity) is conclusion:
                self._unwritten.pop(identity)
        else:
            self._due[identity] = self._clock.read_monotonic() + _RETRY_SECONDS
