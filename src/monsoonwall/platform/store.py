"""HTTP client of the metadata store of the users' platform."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import quote, urlencode

from msgspec import Raw, json
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock
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
    }
)
_NO_OPTIONS: Final[Mapping[str, Any]] = MappingProxyType({})
_FIRST_FAILURE_STATUS: Final = 300
_JSON_HEADERS: Final = (('Content-Type', 'application/json'),)
_LOGGED_BYTES: Final = 200
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
                    prefix + store_object.metadata.name, store_object
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
        return await self._write(key, request, reason)

    async def update(
        self, key: str, content: bytes, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; ``conflict`` if it has another version."""
        request = _make_write_request(
            'PUT', _make_path(key), key, content, version
        )
        return await self._write(key, request, reason)

    async def delete(
        self, key: str, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Delete an object; ``conflict`` if it has another version."""
        path = f'{_make_path(key)}?{urlencode({"revision": version})}'
        return await self._fetch_object(
            key, reason, OutgoingRequest('DELETE', path, ())
        )

    async def watch(
        self, key: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Wait until the object's version is above ``after``, return it."""
        kind, _, name = key.partition('/')
        own_kind = _OWN_KIND_PREFIX + kind
        watched = await self._watch(own_kind, after, deadline, reason)
        if not is_successful(watched):
            return Failure(watched.failure())
        changed = [
            event.object
            for event in watched.unwrap().events
            if event.object.metadata.name == name and not event.deleted
        ]
        if not changed:
            return Failure(StoreFailure.missing)
        return Success(_make_stored_object(key, changed[-1]))

    async def list_records(
        self, kind: RecordKind, current: bool
    ) -> Result[Listing, StoreFailure]:
        """Fetch all records of a kind, maybe seconds old if not ``current``."""
        listed = await self._list(
            _KINDS[kind],
            CallReason.configuration,
            {} if current else {'allow_stale': 1},
        )
        return listed.map(
            lambda decoded: Listing(
                tuple(
                    _make_record(kind, store_object)
                    for store_object in decoded.objects
                    if _is_relevant(kind, store_object)
                ),
                decoded.revision,
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
                    _make_record(kind, event.object, event.deleted)
                    for event in decoded.events
                    if _is_relevant(kind, event.object)
                ),
                decoded.revision,
            )
        )

    async def write_rollout(
        self, rollout: Rollout, state: RolloutState
    ) -> Result[Record, StoreFailure]:
        """Write the state of a roll-out."""
        kind = _KINDS[RecordKind.rollout]
        name = quote(rollout.name, safe='')
        request = OutgoingRequest(
            'PUT',
            f'{_OBJECTS_PATH}/{kind}/{name}/status',
            _JSON_HEADERS,
            encode_status(rollout, state),
        )
        fetched = await self._fetch(request, CallReason.status)
        return fetched.bind(
            lambda reply: decode_response(reply, StoreObject)
        ).map(lambda decoded: _make_record(RecordKind.rollout, decoded))

    async def _list(
        self,
        kind: str,
        reason: CallReason,
        options: Mapping[str, Any] = _NO_OPTIONS,
    ) -> Result[StoreList, StoreFailure]:
        objects: list[StoreObject] = []
        query = dict(options)
        while True:
            path = f'{_OBJECTS_PATH}/{kind}?{urlencode(query)}'.rstrip('?')
            request = OutgoingRequest('GET', path, ())
            page = (await self._fetch(request, reason)).bind(decode_page)
            if not is_successful(page):
                return page
            page_content = page.unwrap()
            objects.extend(decode_valid(page_content.items, StoreObject))
            if not page_content.has_more or not objects:
                return Success(StoreList(page_content.at, tuple(objects)))
            query['after'] = objects[-1].metadata.name

    async def _watch(
        self, kind: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoreChanges, StoreFailure]:
        remaining_seconds = max(0, deadline - self._clock.read_monotonic())
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
        return fetched.bind(
            lambda reply: decode_response(reply, StoreEvents)
        ).map(
            lambda decoded: StoreChanges(
                decoded.at, decode_valid(decoded.events, StoreEvent)
            )
        )

    async def _write(
        self, key: str, request: OutgoingRequest, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        if len(request.body) > MAX_OBJECT_BYTES:
            return Failure(StoreFailure.too_large)
        return await self._fetch_object(key, reason, request)

    async def _fetch_object(
        self, key: str, reason: CallReason, request: OutgoingRequest
    ) -> Result[StoredObject, StoreFailure]:
        fetched = await self._fetch(request, reason)
        return fetched.bind(
            lambda reply: decode_response(reply, StoreObject)
        ).map(lambda decoded: _make_stored_object(key, decoded))

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


def _make_stored_object(key: str, store_object: StoreObject) -> StoredObject:
    return StoredObject(
        key, store_object.metadata.revision, bytes(store_object.spec)
    )


def _is_relevant(kind: RecordKind, store_object: StoreObject) -> bool:
    if kind is RecordKind.catalogue:
        return store_object.metadata.name == _CONFIGURATION_NAME
    return True


def _make_record(
    kind: RecordKind, store_object: StoreObject, deleted: bool = False
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
    )
