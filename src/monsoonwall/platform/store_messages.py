"""Decode the answers of the metadata store.

Objects are decoded one by one, since any of them may come from another writer
and must not hide the others.
"""

from dataclasses import dataclass
from typing import Any, TypeVar

from msgspec import DecodeError, Raw, Struct, ValidationError, field, json
from returns.result import Failure, Result, Success

from monsoonwall.logs import make_logger
from monsoonwall.platform.objects import StoreFailure
from monsoonwall.transport.messages import Reply

_log = make_logger('store')
_Decoded = TypeVar('_Decoded')


class StoreMetadata(Struct):
    """Hold an object's name and the revision of its last change."""

    name: str = ''
    revision: int = 0
    # Tells two objects that had the same name apart.
    created: Raw = field(default_factory=lambda: Raw(b'null'))


class StoreObject(Struct):
    """Hold one object."""

    metadata: StoreMetadata
    spec: Raw = field(default_factory=lambda: Raw(b'null'))
    status: Raw = field(default_factory=lambda: Raw(b'null'))


class StorePage(Struct):
    """Hold one page of a list; ``at`` is the store's revision."""

    at: int
    items: list[Raw] = field(default_factory=list)
    has_more: bool = False


class StoreEvent(Struct):
    """Hold one change; a deletion has a revision of its own."""

    object: StoreObject
    deleted: bool = False


class StoreEvents(Struct):
    """Hold changes in order, as of the store's revision ``at``."""

    at: int
    events: list[Raw] = field(default_factory=list)


@dataclass(frozen=True)
class StoreList:
    """Hold a whole list."""

    at: int
    objects: tuple[StoreObject, ...]


@dataclass(frozen=True)
class StoreChanges:
    """Hold the changes that a watch brought."""

    at: int
    events: tuple[StoreEvent, ...]


def decode_response(reply: Reply, expected: Any) -> Result[Any, StoreFailure]:
    """Return an answer's body, or that it was lost."""
    try:
        return Success(json.decode(reply.body or b'{}', type=expected))
    except (DecodeError, ValidationError) as error:
        _log.warning('Answer of the store cannot be read.', reason=str(error))
        return Failure(StoreFailure.lost)


def decode_page(reply: Reply) -> Result[StorePage, StoreFailure]:
    """Return one page of a list."""
    return decode_response(reply, StorePage)


def decode_valid(
    items: list[Raw], expected: type[_Decoded]
) -> tuple[_Decoded, ...]:
    """Return what can be read; log what is left out."""
    decoded = []
    for item in items:
        try:
            decoded.append(json.decode(item, type=expected))
        except (DecodeError, ValidationError) as error:
            _log.warning('Stored object left out.', reason=str(error))
    return tuple(decoded)
