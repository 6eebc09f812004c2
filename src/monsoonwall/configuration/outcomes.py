"""Describe the outcome of a submitted patch, with advice to operators."""

from dataclasses import dataclass
from enum import StrEnum

from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.stored import (
    AcceptedPatch,
    StoredConfiguration,
)
from monsoonwall.findings import Finding
from monsoonwall.platform.objects import MAX_OBJECT_BYTES


class PatchEnding(StrEnum):
    """Name how a submitted patch ended; the values are a stable interface.

    After ``refused`` and ``unavailable`` the patch is certain not to be in
    force, now or later; after ``unknown`` it may be.
    """

    accepted = 'accepted'
    refused = 'refused'
    unavailable = 'platform_unavailable'
    unknown = 'unknown'


@dataclass(frozen=True)
class PatchOutcome:
    """Hold how a patch ended and the newest number seen, if any.

    From ``settled_wall`` on (Unix seconds, 0 if the patch was not accepted),
    no host does guarded work (see ``GUARDED_WORK``) under an earlier number.
    """

    ending: PatchEnding
    number: int
    findings: tuple[Finding, ...] = ()
    accepted_wall: float = 0
    settled_wall: float = 0
    stored: StoredConfiguration | None = None
    configuration: Configuration | None = None
    version: int = 0


def report_accepted(accepted: AcceptedPatch) -> PatchOutcome:
    """Return the outcome of a patch that is recorded as accepted."""
    return PatchOutcome(
        PatchEnding.accepted,
        accepted.number,
        accepted_wall=accepted.accepted_wall,
    )


def report_refused(number: int, findings: tuple[Finding, ...]) -> PatchOutcome:
    """Return the outcome of a patch that was refused."""
    return PatchOutcome(PatchEnding.refused, number, findings)


def report_unwritten(number: int, causes: tuple[Finding, ...]) -> PatchOutcome:
    """Return the outcome of a patch that certainly had no effect."""
    advice = Finding('patch', 'nothing was changed; submit it again later')
    return PatchOutcome(PatchEnding.unavailable, number, (*causes, advice))


def report_unknown(patch_id: str, number: int) -> PatchOutcome:
    """Return the outcome of a write that may have taken effect."""
    return PatchOutcome(
        PatchEnding.unknown,
        number,
        (
            Finding(
                'platform',
                'its answers were lost and the patch may be accepted; submit '
                f'it again with --patch_id={patch_id} to find out',
            ),
        ),
    )


def describe_race(base: int, current: StoredConfiguration) -> Finding:
    """Return the finding for a base that is not the current number."""
    next_number = base + 1
    winner = next(
        (
            accepted.patch_id
            for accepted in current.recent
            if accepted.number == next_number
        ),
        'not on record any more',
    )
    number = current.number
    reason = f'the configuration has number {number}, not {base}'
    if next_number <= number:
        reason = f'{reason}; patch {next_number} is {winner}'
    return Finding(
        '/base', f'{reason}; read it and submit against number {number}'
    )


def describe_size(size: int) -> Finding:
    """Return the finding for a configuration that is too large to store."""
    return Finding(
        '/',
        f'takes {size} bytes, the platform holds {MAX_OBJECT_BYTES}; '
        'remove entries that are not needed',
    )
