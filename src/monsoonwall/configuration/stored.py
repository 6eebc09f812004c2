"""Encode and decode the configuration object stored in the platform.

The object is the operators' document with two more fields beside its
sections: ``number``, which grows by one with each accepted patch, and
``recent``, the patches accepted last. These show an operator whose response
was lost whether the patch was accepted, and a host with an earlier number can
apply them to derive the current document.
"""

import zlib
from dataclasses import dataclass
from typing import Any, Final

from msgspec import DecodeError, ValidationError, convert, json
from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from monsoonwall.findings import Finding

# Larger objects are compressed, since the platform limits their size.
_MAX_UNCOMPRESSED_BYTES: Final = 200_000
_MAX_DECODED_BYTES: Final = 32_000_000
MAX_RECENT_PATCHES: Final = 64
_MAX_PATCHES_BYTES: Final = 16_000


@dataclass(frozen=True)
class AcceptedPatch:
    """Record an accepted patch; ``patch`` is None if its content was dropped.

    ``digest`` is that of the resulting document.
    """

    number: int
    patch_id: str
    accepted_wall: float
    digest: str
    patch: Any = None


@dataclass(frozen=True)
class StoredConfiguration:
    """Hold a numbered document and the last patches that led to it."""

    number: int
    document: dict[str, Any]
    recent: tuple[AcceptedPatch, ...] = ()

    def find_patch(self, patch_id: str) -> AcceptedPatch | None:
        """Return the record of an accepted patch, or None if there is none."""
        for accepted in self.recent:
            if accepted.patch_id == patch_id:
                return accepted
        return None

    def has_record_of(self, number: int) -> bool:
        """Return whether the patch that led to a number is still recorded."""
        return any(accepted.number == number for accepted in self.recent)

    def matches_last_patch(self) -> bool:
        """Return whether the last patch has this number and digest.

        If it has, a host accepted this document, even if the checks of other
        hosts refuse it.
        """
        if not self.recent:
            return False
        last = self.recent[-1]
        digest = digest_document(self.document)
        return (last.number, last.digest) == (self.number, digest)


def digest_document(document: Any) -> str:
    """Return a hash of a document that ignores the order of fields."""
    return xxh3_128_hexdigest(json.encode(document, order='sorted'))


def copy_document(stored: StoredConfiguration) -> dict[str, Any]:
    """Return a deep copy of the document, which may be modified."""
    copied: dict[str, Any] = json.decode(json.encode(stored.document))
    return copied


def extend_stored(
    before: StoredConfiguration, document: Any, patch: AcceptedPatch
) -> StoredConfiguration:
    """Return the configuration after a patch, with its record appended."""
    recent = (*before.recent, patch)[-MAX_RECENT_PATCHES:]
    return StoredConfiguration(patch.number, document, trim_patches(recent))


def trim_patches(
    recent: tuple[AcceptedPatch, ...], limit: int = _MAX_PATCHES_BYTES
) -> tuple[AcceptedPatch, ...]:
    """Return the records, with the newest patches up to ``limit`` bytes.

    Older records stay as well, but without their patch.
    """
    kept: list[AcceptedPatch] = []
    size = 0
    for accepted in reversed(recent):
        size += len(json.encode(accepted.patch))
        patch = accepted.patch if size <= limit else None
        kept.append(
            AcceptedPatch(
                accepted.number,
                accepted.patch_id,
                accepted.accepted_wall,
                accepted.digest,
                patch,
            )
        )
    return tuple(reversed(kept))


def encode_uncompressed(stored: StoredConfiguration) -> bytes:
    """Return the content of the object without compression."""
    return json.encode(
        {
            'number': stored.number,
            'recent': stored.recent,
            **stored.document,
        }
    )


def encode_stored(stored: StoredConfiguration) -> bytes:
    """Return the content of the object, compressed if it is large."""
    content = encode_uncompressed(stored)
    return (
        content
        if len(content) <= _MAX_UNCOMPRESSED_BYTES
        else zlib.compress(content)
    )


def decode_stored(
    content: bytes,
) -> Result[StoredConfiguration, tuple[Finding, ...]]:
    """Return the decoded content of an object, or why it is unreadable."""
    try:
        fields = json.decode(_decompress(content))
    except (DecodeError, zlib.error, RecursionError) as error:
        return _refuse('/', f'is not readable: {error}')
    if not isinstance(fields, dict):
        return _refuse('/', 'must be an object')
    number = fields.pop('number', None)
    if not _is_number(number):
        return _refuse('/number', 'must be a whole number of at least 1')
    try:
        recent = convert(fields.pop('recent', ()), tuple[AcceptedPatch, ...])
    except ValidationError as error:
        return _refuse('/recent', str(error))
    return Success(StoredConfiguration(number, fields, recent))


def _is_number(number: Any) -> bool:
    # Checking for digits rejects JSON's true, which is an int in Python.
    return isinstance(number, int) and str(number).isdigit() and number > 0


def _decompress(content: bytes) -> bytes:
    if content[:1] == b'{':
        return content
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(content, _MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise zlib.error('cut short or too large')
    return decompressed


def _refuse(
    place: str, reason: str
) -> Result[StoredConfiguration, tuple[Finding, ...]]:
    return Failure((Finding(place, reason),))
