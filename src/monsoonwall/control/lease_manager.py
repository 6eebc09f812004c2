"""Manage a lease of this host in the platform's object API."""

import asyncio
from typing import Final
from uuid import uuid4

from msgspec import json
from returns.pipeline import is_successful
from returns.result import Result

from monsoonwall.clocks import Clock
from monsoonwall.decisions.leases import (
    LeaseRecord,
    LeaseState,
    LeaseTiming,
    Read,
    Term,
    Wait,
    Write,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.logs import make_logger
from monsoonwall.metrics import LEASES
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)

_PREFIX: Final = 'leases/'
# After these failures a write certainly had no effect.
_NO_EFFECT_FAILURES: Final = frozenset(
    (StoreFailure.unavailable, StoreFailure.over_budget)
)

_log = make_logger('lease')


class LeaseManager:
    """Acquire, renew and release the lease of one shard."""

    def __init__(
        self,
        shard: str,
        holder: str,
        store: ObjectStore,
        clock: Clock,
        timing: LeaseTiming,
    ) -> None:
        self.shard = shard
        self._key = f'{_PREFIX}{shard}'
        self._store = store
        self._clock = clock
        self._state = LeaseState(holder, timing)
        self._known_number = 0
        self._held = False

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            await self._step()
            self._report_change()

    def get_term(self) -> Term | None:
        """Return the lease term if it allows sending an order now."""
        term = self._state.term
        if term is None or not term.allows(self._clock.read_monotonic()):
            return None
        return term

    def observe(self, fencing_number: int) -> None:
        """Note the store's era, and the latest fencing number that is known.

        Call it regularly, also on hosts that do not compete for the lease, so
        that these need not wait when they begin to.
        """
        self._known_number = max(self._known_number, fencing_number)
        self._state.record_era(self._store.era, self._clock.read_monotonic())

    async def release(self) -> None:
        """Release the lease so that a successor can take it at once.

        No order may be in progress.
        """
        write = self._state.release()
        if write is not None:
            await self._write(write)
            self._report_change()

    async def _step(self) -> None:
        now = self._clock.read_monotonic()
        step = self._state.decide(
            now, self._clock.read_wall(), uuid4().hex, self._known_number
        )
        if isinstance(step, Wait):
            await asyncio.sleep(step.until - now)
        elif isinstance(step, Read):
            await self._read()
        else:
            await self._write(step)

    async def _read(self) -> None:
        found = await self._store.read(self._key, CallReason.lease)
        now = self._clock.read_monotonic()
        if is_successful(found):
            stored = found.unwrap()
            self._state.record_read(
                stored.version,
                _decode_record(stored.content),
                now,
                self._store.era,
            )
        elif found.failure() is StoreFailure.missing:
            self._state.record_read(0, None, now, self._store.era)
        else:
            self._state.record_failure(now)

    async def _write(self, write: Write) -> None:
        self._state.record_sent_write(write, self._clock.read_monotonic())
        written = await self._send(write)
        now = self._clock.read_monotonic()
        if is_successful(written):
            self._state.record_successful_write(written.unwrap().version, now)
        elif written.failure() in _NO_EFFECT_FAILURES:
            self._state.record_failure(now)
        else:
            self._state.record_uncertain_write(now)

    async def _send(self, write: Write) -> Result[StoredObject, StoreFailure]:
        content = json.encode(write.record)
        if write.version:
            return await self._store.update(
                self._key, content, write.version, CallReason.lease
            )
        return await self._store.create(self._key, content, CallReason.lease)

    def _report_change(self) -> None:
        held = self.get_term() is not None
        if held is not self._held:
            self._held = held
            LEASES.labels('taken' if held else 'lost').inc()
            _log.info('Lease taken.' if held else 'Lease lost.', of=self.shard)


def _decode_record(content: bytes) -> LeaseRecord | None:
    try:
        return json.decode(content, type=LeaseRecord)
    except DECODE_ERRORS:
        return None
