"""Submit an operator's patch against a numbered configuration."""

import asyncio
from dataclasses import dataclass, replace
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.configuration.document import check_document
from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.outcomes import (
    PatchEnding,
    PatchOutcome,
    describe_race,
    describe_size,
    report_accepted,
    report_refused,
    report_unknown,
    report_unwritten,
)
from monsoonwall.configuration.patching import apply_patch
from monsoonwall.configuration.plans import find_change_faults
from monsoonwall.configuration.record import (
    RETRY_PAUSE_SECONDS,
    STORE_ATTEMPTS,
    ConfigurationRecord,
    CurrentObject,
)
from monsoonwall.configuration.stored import (
    AcceptedPatch,
    StoredConfiguration,
    copy_document,
    digest_document,
    encode_stored,
    extend_stored,
)
from monsoonwall.decisions.freshness import compute_settled_wall
from monsoonwall.findings import Finding
from monsoonwall.metrics import PATCHES
from monsoonwall.platform.objects import (
    MAX_OBJECT_BYTES,
    ObjectStore,
    StoreFailure,
)


@dataclass(frozen=True)
class PatchRequest:
    """Request a patch of the configuration with number ``base``.

    ``patch_id`` identifies the patch if it is submitted again.
    """

    base: int
    patch_id: str
    patch: Any


@dataclass(frozen=True)
class _PreparedWrite:
    """Hold everything needed to write a checked patch."""

    current: CurrentObject
    stored: StoredConfiguration
    configuration: Configuration
    content: bytes


class PatchSubmitter:
    """Write patches to the platform and report the outcome of each.

    A patch is reported as refused or unavailable only if it is certain that
    it never comes into force.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._record = ConfigurationRecord(store)
        self._clock = clock

    async def submit(
        self, request: PatchRequest, held: StoredConfiguration | None
    ) -> PatchOutcome:
        """Submit a patch and return its outcome.

        ``held`` is what this host has in force. It replaces an object that
        was removed from the platform or overwritten with unreadable content.
        """
        outcome = await self._submit(request, held)
        if outcome.ending is PatchEnding.accepted:
            settled_wall = compute_settled_wall(self._clock.read_wall())
            outcome = replace(outcome, settled_wall=settled_wall)
        PATCHES.labels(outcome.ending).inc()
        return outcome

    async def _submit(
        self, request: PatchRequest, held: StoredConfiguration | None
    ) -> PatchOutcome:
        current = await self._record.read(request.base, held)
        if not is_successful(current):
            number = held.number if held else 0
            return report_unwritten(number, current.failure())
        before = current.unwrap().stored
        accepted = before.find_patch(request.patch_id)
        if accepted is not None:
            return report_accepted(accepted)
        prepared = await asyncio.to_thread(
            self._prepare, request, current.unwrap()
        )
        if not is_successful(prepared):
            return report_refused(before.number, prepared.failure())
        return await self._write(request, prepared.unwrap())

    def _prepare(
        self, request: PatchRequest, current: CurrentObject
    ) -> Result[_PreparedWrite, tuple[Finding, ...]]:
        before = current.stored
        if request.base != before.number:
            return Failure((describe_race(request.base, before),))
        patched = apply_patch(copy_document(before), request.patch)
        if not is_successful(patched):
            return Failure(patched.failure())
        document = patched.unwrap()
        now_wall = self._clock.read_wall()
        checked = _check_change(before, document, now_wall)
        if not is_successful(checked):
            return Failure(checked.failure())
        accepted = AcceptedPatch(
            request.base + 1,
            request.patch_id,
            now_wall,
            digest_document(document),
            request.patch,
        )
        stored = extend_stored(before, document, accepted)
        content = encode_stored(stored)
        if len(content) > MAX_OBJECT_BYTES:
            return Failure((describe_size(len(content)),))
        return Success(
            _PreparedWrite(current, stored, checked.unwrap(), content)
        )

    async def _write(
        self, request: PatchRequest, prepared: _PreparedWrite
    ) -> PatchOutcome:
        response_lost = False
        for attempt in range(STORE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            written = await self._record.write(
                prepared.current, prepared.content
            )
            if is_successful(written):
                return _report_written(prepared, written.unwrap().version)
            failure = written.failure()
            if failure is StoreFailure.conflict:
                return await self._read_back(request, response_lost)
            # After a lost response only a later one can show whether the
            # write took effect. Retrying is safe: the same conditional write
            # takes effect at most once.
            response_lost = response_lost or failure is StoreFailure.lost
            if not response_lost:
                reason = Finding('platform', f'took no write ({failure})')
                return report_unwritten(request.base, (reason,))
        return report_unknown(request.patch_id, request.base)

    async def _read_back(
        self, request: PatchRequest, response_lost: bool
    ) -> PatchOutcome:
        """Return the outcome of a write that ended with a conflict."""
        current = await self._record.read(request.base + 1, None)
        newest = current.map(lambda found: found.stored).value_or(
            StoredConfiguration(request.base, {})
        )
        accepted = newest.find_patch(request.patch_id)
        if accepted is not None:
            return report_accepted(accepted)
        # After a lost response the patch may have been accepted, and its
        # record may have been dropped from the recent patches since. Only if
        # these still include its number is it certain that another patch was
        # accepted instead.
        if response_lost and not newest.has_record_of(request.base + 1):
            return report_unknown(request.patch_id, newest.number)
        return report_refused(
            newest.number, (describe_race(request.base, newest),)
        )


def _check_change(
    before: StoredConfiguration, document: Any, now_wall: float
) -> Result[Configuration, tuple[Finding, ...]]:
    checked = check_document(document, before.number + 1, before.document)
    if not is_successful(checked):
        return checked
    faults = find_change_faults(
        before.document.get('moves', {}), checked.unwrap(), now_wall
    )
    return Failure(faults) if faults else checked


def _report_written(prepared: _PreparedWrite, version: int) -> PatchOutcome:
    return PatchOutcome(
        PatchEnding.accepted,
        prepared.stored.number,
        accepted_wall=prepared.stored.recent[-1].accepted_wall,
        stored=prepared.stored,
        configuration=prepared.configuration,
        version=version,
    )
