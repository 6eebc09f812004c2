"""Decode responses of the metadata store.

Objects are decoded one by one, since others write to the store as well: a
malformed object must not hide the valid ones.
"""

from dataclasses import dataclass
from typing import Any, Final, TypeVar

from msgspec import DecodeError, Raw, Struct, field, json
from returns.result import Failure, Result, Success

from monsoonwall.decoding import DECODE_ERRORS, Count, drop_nested
from monsoonwall.logs import make_logger
from monsoonwall.metrics import MALFORMED_ENTRIES
from monsoonwall.platform.objects import StoreFailure
from monsoonwall.transport.messages import Reply

_log = make_logger('store')
# Number of times that the store has returned from an older copy.
_ERA_HEADER: Final = 'Store-Era'
_LOGGED_BYTES: Final = 200
_MAX_ERA_DIGITS: Final = 15
_Decoded = TypeVar('_Decoded')


class StoreMetadata(Struct):
    """Name of an object and revision of its last change."""

    name: str = ''
    revision: Count = 0
    # Distinguishes objects that had the same name at different times.
    created: Raw = field(default_factory=lambda: Raw(b'null'))


class StoreObject(Struct):
    """An object of the store."""

    metadata: StoreMetadata
    spec: Raw = field(default_factory=lambda: Raw(b'null'))
    status: Raw = field(default_factory=lambda: Raw(b'null'))


class StorePage(Struct):
    """One page of a list; ``at`` is the store's revision."""

    at: int
    items: list[Raw] = field(default_factory=list)
    has_more: bool = False


class StoreEvent(Struct):
    """A change of an object; a deletion has its own revision."""

    object: StoreObject
    deleted: bool = False


class StoreEvents(Struct):
    """Changes in order, up to the store's revision ``at``."""

    at: int
    events: list[Raw] = field(default_factory=list)


@dataclass(frozen=True)
class StoreList:
    """All objects of a kind, as of a revision of the store."""

    revision: int
    objects: tuple[StoreObject, ...]
    era: int


@dataclass(frozen=True)
class StoreChanges:
    """Decoded changes of a watch, up to a revision of the store.

    It had no later ones at ``current_at``, in monotonic seconds.
    """

    revision: int
    events: tuple[StoreEvent, ...]
    era: int
    current_at: float


def read_era(reply: Reply) -> int:
    """Return how often the store has returned from an older copy."""
    era = reply.head.headers.get(_ERA_HEADER, '')
    is_valid = era.isdecimal() and len(era) <= _MAX_ERA_DIGITS
    return int(era) if is_valid else 0


def decode_response(reply: Reply, expected: Any) -> Result[Any, StoreFailure]:
    """Decode a response's body; ``lost`` if it is malformed."""
    body = reply.body or b'{}'
    try:
        return Success(json.decode(body, type=expected))
    except RecursionError:
        _log.warning('Deeply nested response of the store.', bytes=len(body))
    except DecodeError as error:
        _log.warning('Cannot decode response of the store.', reason=str(error))
        return Failure(StoreFailure.lost)
    try:
        return Success(json.decode(drop_nested(body), type=expected))
    except DECODE_ERRORS as error:
        _log.warning('Cannot decode response of the store.', reason=str(error))
        return Failure(StoreFailure.lost)


def decode_page(reply: Reply) -> Result[StorePage, StoreFailure]:
    """Decode one page of a list, but not yet its items."""
    return decode_response(reply, StorePage)


def decode_valid(
    items: list[Raw], expected: type[_Decoded]
) -> tuple[_Decoded, ...]:
    """Decode items; logs and skips malformed ones."""
    decoded = []
    for item in items:
        try:
            decoded.append(json.decode(item, type=expected))
        except DECODE_ERRORS as error:
            MALFORMED_ENTRIES.inc()
            _log.warning(
                'Malformed stored object skipped.',
                reason=str(error),
                content=bytes(item)[:_LOGGED_BYTES].decode(errors='replace'),
            )
    return tuple(decoded)
