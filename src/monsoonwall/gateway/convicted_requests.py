"""Persist the crash records of convicted requests in the platform's store.

A request is convicted, and then refused, if it is found to crash its servers.
Hosts share crash records over the mesh, which loses them if all hosts stop at
once. The next host that holds the duty lease then restores them from the
store.
"""

from typing import Final

from msgspec import json
from returns.pipeline import is_successful

from monsoonwall.decisions.crashing_requests import CrashRecord
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.gateway.duties import DutyWorker, LeaseHolder
from monsoonwall.logs import make_logger
from monsoonwall.pipeline.crash_records import ConvictionRecords
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoreFailure,
)

CONTENTS_KEY: Final = 'crashing/convicted'
PARTS_KEY: Final = 'crashing/convicted-parts'
# A record takes a few hundred bytes; only the latest ones are stored.
_MAX_RECORDS: Final = 500

_log = make_logger('convictions')


class ConvictedRequestStore(DutyWorker):
    """Restore the records when a lease term begins, then store new ones."""

    def __init__(
        self, screening: ConvictionRecords, store: ObjectStore, key: str
    ) -> None:
        self._screening = screening
        self._store = store
        self._key = key
        self._version: int | None = None
        self._stored: frozenset[CrashRecord] = frozenset()

    def reset(self) -> None:
        """Make the next step read the store again before it writes."""
        self._version = None

    async def step(self, holder: LeaseHolder) -> None:
        """Store changed records; the next step retries a failed call."""
        if self._version is None and not await self._read():
            return
        records = self._screening.list_conviction_records()[-_MAX_RECORDS:]
        if not self._stored.issuperset(records):
            await self._write(records)

    async def _read(self) -> bool:
        found = await self._store.read(self._key, CallReason.status)
        if is_successful(found):
            stored = found.unwrap()
            records = _decode_records(stored.content)
            self._screening.extend_expiry(records)
            self._version = stored.version
            self._stored = frozenset(records)
            _log.info('Convicted requests restored.', records=len(records))
            return True
        if found.failure() is StoreFailure.missing:
            self._version = 0
            self._stored = frozenset()
            return True
        return False

    async def _write(self, records: tuple[CrashRecord, ...]) -> None:
        content = json.encode(records)
        written = await (
            self._store.update(
                self._key, content, self._version, CallReason.status
            )
            if self._version
            else self._store.create(self._key, content, CallReason.status)
        )
        if not is_successful(written):
            _log.warning(
                'Convicted requests not stored.', reason=written.failure()
            )
            # The write may have taken effect, so read the object again first.
            self._version = None
            return
        self._version = written.unwrap().version
        self._stored = frozenset(records)
        _log.info('Convicted requests stored.', records=len(records))


def _decode_records(content: bytes) -> tuple[CrashRecord, ...]:
    try:
        return json.decode(content, type=tuple[CrashRecord, ...])
    except DECODE_ERRORS as error:
        _log.warning(
            'Stored convicted requests cannot be decoded.', reason=str(error)
        )
        return ()
