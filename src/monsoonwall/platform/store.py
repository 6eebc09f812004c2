"""HTTP client of the metadata store of the users' platform."""

from collections.abc import Mapping
from functools import partial
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import quote, urlencode

from msgspec import Raw, json
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
from monsoonwall.decisions.record_age import find_current_time
from monsoonwall.gateway.model import Rollout, RolloutState
from monsoonwall.gateway.records import (
    Listing,
    Record,
    RecordKind,
    RecordSource,
    RolloutWriter,
)
from monsoonwall.logs import make_logger
from monsoonwall.metrics import PLATFORM_CALLS
from monsoonwall.platform.objects import (
    MAX_OBJECT_BYTES,
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)
from monsoonwall.platform.rollouts import encode_status
from monsoonwall.platform.store_messages import (
    StoreChanges,
    StoreEvent,
    StoreEvents,
    StoreList,
    StoreObject,
    decode_page,
    decode_response,
    decode_valid,
    read_era,
)
from monsoonwall.transport.channels import call
from monsoonwall.transport.messages import OutgoingRequest, Reply

_log = make_logger('store')

# The store responds within milliseconds, or hundreds of them if it is slow.
_CALL_TIMEOUT_SECONDS: Final = 1.5
# How long a response to a watch may take after the time that it waits.
_WATCH_TIMEOUT_SECONDS: Final = 0.7
_MILLISECONDS_PER_SECOND: Final = 1000
_MAX_WAIT_MILLISECONDS: Final = 30_000
_OBJECTS_PATH: Final = '/monsoonwall/objects'
# Distinguishes kinds of objects written by monsoonwall from the platform's.
_OWN_KIND_PREFIX: Final = 'monsoonwall-'
# Only the object with this name is the active configuration.
_CONFIGURATION_NAME: Final = 'main'
_KINDS: Final = MappingProxyType(
    {
        RecordKind.catalogue: 'config',
        RecordKind.server: 'servers',
        RecordKind.rollout: 'rollouts',
        RecordKind.evacuation: 'evacuations',
    }
)
_NO_OPTIONS: Final[Mapping[str, Any]] = MappingProxyType({})
_FIRST_FAILURE_STATUS: Final = 300
_JSON_HEADERS: Final = (('Content-Type', 'application/json'),)
_LOGGED_BYTES: Final = 200
# Versions of objects hold the era above the revision.
_REVISION_BITS: Final = 48
_FAILURES: Final = MappingProxyType(
    {
        404: StoreFailure.missing,
        409: StoreFailure.conflict,
        # The store has discarded the changes after the watch's revision.
        410: StoreFailure.missing,
        413: StoreFailure.too_large,
        429: StoreFailure.unavailable,
        503: StoreFailure.unavailable,
    }
)


class PlatformStore(ObjectStore, RecordSource, RolloutWriter):
    """Metadata store, with a new channel for each call.

    A new channel can reach the store even if earlier ones no longer do.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._era = 0

    @property
    def era(self) -> int:
        """Return how often the store has returned from an older copy."""
        return self._era

    async def read(
        self, key: str, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Fetch the object with a key."""
        return await self._fetch_object(
            key, reason, OutgoingRequest('GET', _make_path(key), ())
        )

    async def list_objects(
        self, prefix: str, reason: CallReason
    ) -> Result[tuple[StoredObject, ...], StoreFailure]:
        """Fetch all objects of a kind; ``prefix`` is the kind and a slash."""
        kind = _OWN_KIND_PREFIX + prefix.rstrip('/')
        listed = await self._list(kind, reason)
        return listed.map(
            lambda decoded: tuple(
                _make_stored_object(
                    prefix + store_object.metadata.name,
                    store_object,
                    decoded.era,
                )
                for store_object in decoded.objects
            )
        )

    async def create(
        self, key: str, content: bytes, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Write a new object; fails with ``conflict`` if the key exists."""
        path = _make_path(key).rpartition('/')[0]
        request = _make_write_request('POST', path, key, content)
        return await self._write(key, request, reason, self._era)

    async def update(
        self, key: str, content: bytes, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; ``conflict`` if it has another version."""
        era, revision = _split_version(version)
        request = _make_write_request(
            'PUT', _make_path(key), key, content, revision
        )
        return await self._write(key, request, reason, era)

    async def delete(
        self, key: str, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Delete an object; ``conflict`` if it has another version."""
        era, revision = _split_version(version)
        path = f'{_make_path(key)}?{urlencode({"revision": revision})}'
        request = OutgoingRequest('DELETE', path, ())
        return await self._write(key, request, reason, era)

    async def watch(
        self, key: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Wait until the object's version is above ``after``, return it."""
        kind, _, name = key.partition('/')
        own_kind = _OWN_KIND_PREFIX + kind
        revision = _split_version(after)[1]
        watched = await self._watch(own_kind, revision, deadline, reason)
        if not is_successful(watched):
            return Failure(watched.failure())
        changes = watched.unwrap()
        changed = [
            event.object
            for event in changes.events
            if event.object.metadata.name == name and not event.deleted
        ]
        if not changed:
            return Failure(StoreFailure.missing)
        return Success(_make_stored_object(key, changed[-1], changes.era))

    async def list_records(
        self, kind: RecordKind, current: bool
    ) -> Result[Listing, StoreFailure]:
        """Fetch all records of a kind, maybe seconds old if not ``current``."""
        began_at = self._clock.read_monotonic()
        listed = await self._list(
            _KINDS[kind],
            CallReason.configuration,
            {} if current else {'allow_stale': 1},
        )
        return listed.map(
            lambda decoded: Listing(
                tuple(
                    _make_record(kind, store_object, decoded.era)
                    for store_object in decoded.objects
                    if _is_relevant(kind, store_object)
                ),
                decoded.revision,
                decoded.era,
                began_at if current else float('-inf'),
            )
        )

    async def watch_records(
        self, kind: RecordKind, after: int, deadline: float
    ) -> Result[Listing, StoreFailure]:
        """Wait for changes after a revision and return them."""
        watched = await self._watch(
            _KINDS[kind], after, deadline, CallReason.configuration
        )
        return watched.map(
            lambda decoded: Listing(
                tuple(
                    _make_record(kind, event.object, decoded.era, event.deleted)
                    for event in decoded.events
                    if _is_relevant(kind, event.object)
                ),
                decoded.revision,
                decoded.era,
                decoded.current_at,
            )
        )

    async def write_rollout(
        self, rollout: Rollout, state: RolloutState
    ) -> Result[Record, StoreFailure]:
        """Write the state of a roll-out."""
        if rollout.era != self._era:
            return Failure(StoreFailure.conflict)
        kind = _KINDS[RecordKind.rollout]
        name = quote(rollout.name, safe='')
        request = OutgoingRequest(
            'PUT',
            f'{_OBJECTS_PATH}/{kind}/{name}/status',
            _JSON_HEADERS,
            encode_status(rollout, state),
        )
        fetched = await self._fetch(request, CallReason.status)
        return (
            fetched.bind(lambda reply: _check_era(reply, rollout.era))
            .bind(lambda reply: decode_response(reply, StoreObject))
            .map(
                lambda decoded: _make_record(
                    RecordKind.rollout, decoded, rollout.era
                )
            )
        )

    async def _list(
        self,
        kind: str,
        reason: CallReason,
        options: Mapping[str, Any] = _NO_OPTIONS,
    ) -> Result[StoreList, StoreFailure]:
        objects: list[StoreObject] = []
        query = dict(options)
        era: int | None = None
        revision: int | None = None
        while True:
            path = f'{_OBJECTS_PATH}/{kind}?{urlencode(query)}'.rstrip('?')
            fetched = await self._fetch(
                OutgoingRequest('GET', path, ()), reason
            )
            if era is None:
                era = fetched.map(read_era).value_or(0)
            page = fetched.bind(partial(_check_era, era=era)).bind(decode_page)
            if not is_successful(page):
                return page
            page_content = page.unwrap()
            objects.extend(decode_valid(page_content.items, StoreObject))
            # Objects of earlier pages may have changed since.
            if revision is None:
                revision = page_content.at
            if not page_content.has_more or not objects:
                return Success(StoreList(revision, tuple(objects), era))
            query['after'] = objects[-1].metadata.name

    async def _watch(
        self, kind: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoreChanges, StoreFailure]:
        began_at = self._clock.read_monotonic()
        remaining_seconds = max(0, deadline - began_at)
        wait_milliseconds = min(
            _MAX_WAIT_MILLISECONDS,
            int(remaining_seconds * _MILLISECONDS_PER_SECOND),
        )
        query = urlencode({'watch': after, 'wait_ms': wait_milliseconds})
        fetched = await self._fetch(
            OutgoingRequest('GET', f'{_OBJECTS_PATH}/{kind}?{query}', ()),
            reason,
            remaining_seconds + _WATCH_TIMEOUT_SECONDS,
        )
        responded_at = self._clock.read_monotonic()
        waits_until = began_at + wait_milliseconds / _MILLISECONDS_PER_SECOND
        era = fetched.map(read_era).value_or(0)
        return fetched.bind(
            lambda reply: decode_response(reply, StoreEvents)
        ).map(
            lambda decoded: StoreChanges(
                decoded.at,
                decode_valid(decoded.events, StoreEvent),
                era,
                find_current_time(
                    began_at,
                    waits_until,
                    responded_at,
                    changed=bool(decoded.events),
                ),
            )
        )

    async def _write(
        self, key: str, request: OutgoingRequest, reason: CallReason, era: int
    ) -> Result[StoredObject, StoreFailure]:
        """Write an object on the basis of what was read in an era."""
        if len(request.body) > MAX_OBJECT_BYTES:
            return Failure(StoreFailure.too_large)
        if era != self._era:
            return Failure(StoreFailure.conflict)
        fetched = await self._fetch(request, reason)
        return (
            fetched.bind(lambda reply: _check_era(reply, era))
            .bind(lambda reply: decode_response(reply, StoreObject))
            .map(lambda decoded: _make_stored_object(key, decoded, era))
        )

    async def _fetch_object(
        self, key: str, reason: CallReason, request: OutgoingRequest
    ) -> Result[StoredObject, StoreFailure]:
        fetched = await self._fetch(request, reason)
        era = fetched.map(read_era).value_or(0)
        return fetched.bind(
            lambda reply: decode_response(reply, StoreObject)
        ).map(lambda decoded: _make_stored_object(key, decoded, era))

    async def _fetch(
        self,
        request: OutgoingRequest,
        reason: CallReason,
        timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> Result[Reply, StoreFailure]:
        try:
            reply = await call(self._address, request, timeout_seconds)
        except (ConnectionResetError, TimeoutError):
            return _record_failure(reason, StoreFailure.lost)
        except OSError:
            return _record_failure(reason, StoreFailure.unavailable)
        self._era = max(self._era, read_era(reply))
        if reply.head.status >= _FIRST_FAILURE_STATUS:
            status = reply.head.status
            if status not in _FAILURES:
                _log.warning(
                    'Store responded with an unexpected status.',
                    status=status,
                    target=request.target,
                    body=reply.body[:_LOGGED_BYTES].decode(errors='replace'),
                )
            return _record_failure(
                reason, _FAILURES.get(status, StoreFailure.lost)
            )
        PLATFORM_CALLS.labels(reason, 'ok').inc()
        return Success(reply)


def _record_failure(
    reason: CallReason, failure: StoreFailure
) -> Result[Any, StoreFailure]:
    PLATFORM_CALLS.labels(reason, failure).inc()
    return Failure(failure)


def _make_path(key: str) -> str:
    kind, _, name = key.partition('/')
    return f'{_OBJECTS_PATH}/{_OWN_KIND_PREFIX}{kind}/{quote(name, safe="")}'


def _make_write_request(
    method: str, path: str, key: str, content: bytes, version: int | None = None
) -> OutgoingRequest:
    metadata: dict[str, Any] = {'name': key.partition('/')[-1]}
    if version is not None:
        metadata['revision'] = version
    body = json.encode({'metadata': metadata, 'spec': Raw(content)})
    return OutgoingRequest(method, path, _JSON_HEADERS, body)


def _make_stored_object(
    key: str, store_object: StoreObject, era: int
) -> StoredObject:
    version = era << _REVISION_BITS | store_object.metadata.revision
    return StoredObject(key, version, bytes(store_object.spec))


def _split_version(version: int) -> tuple[int, int]:
    """Return the era and the revision of a stored object's version."""
    era = version >> _REVISION_BITS
    return era, version - (era << _REVISION_BITS)


def _check_era(reply: Reply, era: int) -> Result[Reply, StoreFailure]:
    """Return the reply, or ``lost`` if it is from another era.

    What a call refers to may be another content in that era.
    """
    if read_era(reply) == era:
        return Success(reply)
    return Failure(StoreFailure.lost)


def _is_relevant(kind: RecordKind, store_object: StoreObject) -> bool:
    if kind is RecordKind.catalogue:
        return store_object.metadata.name == _CONFIGURATION_NAME
    return True


def _make_record(
    kind: RecordKind,
    store_object: StoreObject,
    era: int,
    deleted: bool = False,
) -> Record:
    spec = bytes(store_object.spec)
    if kind is RecordKind.rollout:
        spec = json.encode(store_object)
    # A deletion has its own revision, because the same response may also
    # contain the next object with that name.
    return Record(
        kind,
        store_object.metadata.name,
        store_object.metadata.revision,
        None if deleted else spec,
        era,
    )
