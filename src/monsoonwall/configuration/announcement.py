"""Announce a newly accepted configuration to the other hosts in a fact.

A small document is sent whole. Of a large one only the last patches are sent.
A host that is not far behind applies them to the document it has, and checks
by the digest that the result is the same document.
"""

import zlib
from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, ValidationError, convert, json
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.configuration.patching import apply_patch
from monsoonwall.configuration.stored import (
    MAX_RECENT_PATCHES,
    AcceptedPatch,
    StoredConfiguration,
    decode_stored,
    digest_document,
    encode_uncompressed,
    trim_patches,
)
from monsoonwall.findings import Finding

MAX_WHOLE_BYTES: Final = 4_000
_MAX_BYTES_TO_COMPRESS: Final = 100_000
_MAX_PATCHES_BYTES: Final = 4_000
_MAX_DECOMPRESSED_BYTES: Final = 100_000
_NUMBER_BYTES: Final = 8


@dataclass(frozen=True)
class Announcement:
    """Announce a configuration, whole or by the patches that led to it."""

    number: int
    whole: bytes | None
    recent: tuple[AcceptedPatch, ...]


def encode_announcement(stored: StoredConfiguration) -> bytes:
    """Return the payload of a fact.

    It begins with the number: of two facts the greater payload, and so the
    newer configuration, wins. A letter follows: ``W`` before the whole
    configuration, ``T`` before its last patches.
    """
    head = stored.number.to_bytes(_NUMBER_BYTES, 'big')
    content = encode_uncompressed(stored)
    if len(content) <= _MAX_BYTES_TO_COMPRESS:
        whole = zlib.compress(content)
        if len(whole) <= MAX_WHOLE_BYTES:
            return b'%bW%b' % (head, whole)
    patches = [
        accepted
        for accepted in trim_patches(stored.recent, _MAX_PATCHES_BYTES)
        if accepted.patch is not None
    ]
    return b'%bT%b' % (head, zlib.compress(json.encode(patches)))


def read_number(payload: bytes) -> int:
    """Return the configuration number in a fact's payload."""
    return int.from_bytes(payload[:_NUMBER_BYTES], 'big')


def decode_announcement(payload: bytes) -> Result[Announcement, Finding]:
    """Return the announcement in a payload, or why it is unreadable."""
    number = read_number(payload)
    kind = payload[_NUMBER_BYTES : _NUMBER_BYTES + 1]
    body = payload[_NUMBER_BYTES + 1 :]
    if kind == b'W':
        return Success(Announcement(number, body, ()))
    try:
        recent = convert(
            json.decode(
                zlib.decompressobj().decompress(body, _MAX_DECOMPRESSED_BYTES)
            ),
            tuple[AcceptedPatch, ...],
        )
    except (DecodeError, ValidationError, zlib.error) as error:
        return Failure(Finding('announcement', str(error)))
    return Success(Announcement(number, None, recent))


def derive_stored(
    announcement: Announcement, held: StoredConfiguration | None
) -> StoredConfiguration | None:
    """Return the announced configuration, or None if it must be read.

    The document of ``held`` may be modified in place, so pass a copy.
    """
    if announcement.whole is not None:
        decoded = decode_stored(announcement.whole).value_or(None)
        return _expect_number(decoded, announcement.number)
    if held is None:
        return None
    missing = [
        accepted
        for accepted in announcement.recent
        if accepted.number > held.number
    ]
    expected = list(range(held.number + 1, announcement.number + 1))
    if [accepted.number for accepted in missing] != expected:
        return None
    document = held.document
    for accepted in missing:
        patched = apply_patch(document, accepted.patch)
        if not is_successful(patched):
            return None
        document = patched.unwrap()
    if not missing or digest_document(document) != missing[-1].digest:
        return None
    recent = (*held.recent, *missing)[-MAX_RECENT_PATCHES:]
    return StoredConfiguration(
        announcement.number, document, trim_patches(recent)
    )


def _expect_number(
    decoded: StoredConfiguration | None, number: int
) -> StoredConfiguration | None:
    if decoded is None or decoded.number != number:
        return None
    return decoded
