"""HTTP client of the platform's object API."""

from types import MappingProxyType
from typing import Any, Final

from msgspec import Struct, json
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httputil import url_concat
from tornado.simple_httpclient import HTTPTimeoutError

from monsoonwall.clocks import Clock
from monsoonwall.metrics import PLATFORM_CALLS
from monsoonwall.platform.objects import (
    MAX_OBJECT_BYTES,
    CallReason,
    ObjectStore,
    StoredObject,
    StoreFailure,
)
from monsoonwall.transport.clients import CALL_ERRORS

_CALL_TIMEOUT_SECONDS: Final = 2.0
_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_FAILURES: Final = MappingProxyType(
    {
        404: StoreFailure.missing,
        409: StoreFailure.conflict,
        412: StoreFailure.conflict,
        413: StoreFailure.too_large,
        429: StoreFailure.unavailable,
        503: StoreFailure.unavailable,
    }
)
_VERSION_HEADER: Final = 'X-Object-Version'


class _ListedObject(Struct):
    key: str
    version: int
    content: str


class HttpObjectStore(ObjectStore):
    """Object API at one address, called with tornado's HTTP client."""

    def __init__(
        self, address: str, client: AsyncHTTPClient, clock: Clock
    ) -> None:
        self._address = address
        self._client = client
        self._clock = clock

    async def read(
        self, key: str, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Fetch the object with a key."""
        return await self._fetch_object(key, reason)

    async def list_objects(
        self, prefix: str, reason: CallReason
    ) -> Result[tuple[StoredObject, ...], StoreFailure]:
        """Fetch all objects whose keys start with a prefix."""
        fetched = await self._fetch(
            url_concat('/objects', {'prefix': prefix}), reason
        )
        return fetched.map(
            lambda response: tuple(
                StoredObject(
                    listed_object.key,
                    listed_object.version,
                    listed_object.content.encode(),
                )
                for listed_object in json.decode(
                    response.body, type=list[_ListedObject]
                )
            )
        )

    async def create(
        self, key: str, content: bytes, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Write a new object; fails with ``conflict`` if the key exists."""
        return await self._write(key, content, {'If-None-Match': '*'}, reason)

    async def update(
        self, key: str, content: bytes, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Replace an object; ``conflict`` if it has another version."""
        condition = {'If-Match': str(version)}
        return await self._write(key, content, condition, reason)

    async def delete(
        self, key: str, version: int, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Delete an object; ``conflict`` if it has another version."""
        return await self._fetch_object(
            key, reason, method='DELETE', headers={'If-Match': str(version)}
        )

    async def watch(
        self, key: str, after: int, deadline: float, reason: CallReason
    ) -> Result[StoredObject, StoreFailure]:
        """Wait until the object's version is above ``after``, return it."""
        remaining_seconds = max(0, deadline - self._clock.read_monotonic())
        fetched = await self._fetch(
            url_concat(
                f'/objects/{key}',
                {'watch_after': after, 'wait_seconds': remaining_seconds},
            ),
            reason,
            request_timeout=remaining_seconds + _CALL_TIMEOUT_SECONDS,
        )
        return fetched.bind(lambda response: _make_object(key, response))

    async def _write(
        self,
        key: str,
        content: bytes,
        condition: dict[str, str],
        reason: CallReason,
    ) -> Result[StoredObject, StoreFailure]:
        if len(content) > MAX_OBJECT_BYTES:
            return Failure(StoreFailure.too_large)
        written = await self._fetch_object(
            key, reason, method='PUT', body=content, headers=condition
        )
        return written.map(
            lambda stored: StoredObject(key, stored.version, content)
        )

    async def _fetch_object(
        self, key: str, reason: CallReason, **options: Any
    ) -> Result[StoredObject, StoreFailure]:
        fetched = await self._fetch(f'/objects/{key}', reason, **options)
        return fetched.bind(lambda response: _make_object(key, response))

    async def _fetch(
        self, path: str, reason: CallReason, **options: Any
    ) -> Result[Any, StoreFailure]:
        options.setdefault('request_timeout', _CALL_TIMEOUT_SECONDS)
        request = HTTPRequest(
            f'http://{self._address}{path}',
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            **options,
        )
        try:
            response = await self._client.fetch(request)
        except CALL_ERRORS as error:
            failure = _classify_error(error)
            PLATFORM_CALLS.labels(reason, failure).inc()
            return Failure(failure)
        PLATFORM_CALLS.labels(reason, 'ok').inc()
        return Success(response)


def _make_object(key: str, response: Any) -> Result[StoredObject, StoreFailure]:
    version = response.headers.get(_VERSION_HEADER, '')
    if not version.isdecimal():
        return Failure(StoreFailure.lost)
    return Success(StoredObject(key, int(version), response.body))


def _classify_error(error: Exception) -> StoreFailure:
    if isinstance(error, ConnectionRefusedError):
        return StoreFailure.unavailable
    if isinstance(error, HTTPTimeoutError):
        # Only tornado's message says in which phase the time ran out.
        not_sent = any(word in str(error) for word in ('connect', 'queue'))
        return StoreFailure.unavailable if not_sent else StoreFailure.lost
    if not isinstance(error, HTTPError) or error.response is None:
        return StoreFailure.lost
    return _FAILURES.get(error.code, StoreFailure.lost)
