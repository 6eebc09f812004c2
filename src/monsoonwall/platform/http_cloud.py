"""HTTP client of the cloud API."""

from typing import Any, Final

from msgspec import json
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httputil import url_concat
from tornado.simple_httpclient import HTTPTimeoutError

from monsoonwall.clocks import Clock
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.platform.cloud import (
    CloudApi,
    CloudFailure,
    CloudHost,
    HostOrder,
    ReclaimNotice,
)
from monsoonwall.transport.clients import CALL_ERRORS

_CALL_TIMEOUT_SECONDS: Final = 5.0
_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_CONFLICT: Final = 409
_UNAVAILABLE: Final = 503


class HttpCloudApi(CloudApi):
    """Cloud API at one address, called with tornado's HTTP client."""

    def __init__(
        self, address: str, client: AsyncHTTPClient, clock: Clock
    ) -> None:
        self._address = address
        self._client = client
        self._clock = clock

    async def wait_notices(
        self, after: int, deadline: float
    ) -> Result[tuple[ReclaimNotice, ...], CloudFailure]:
        """Wait for notices with numbers above ``after``."""
        remaining_seconds = max(0, deadline - self._clock.read_monotonic())
        path = url_concat(
            '/notices', {'after': after, 'wait_seconds': remaining_seconds}
        )
        fetched = await self._fetch(path, remaining_seconds, method='GET')
        return fetched.bind(
            lambda body: _decode(body, tuple[ReclaimNotice, ...])
        )

    async def list_hosts(
        self,
    ) -> Result[tuple[CloudHost, ...], CloudFailure]:
        """Return running and leaving hosts; the list may be out of date."""
        fetched = await self._fetch('/hosts', method='GET')
        return fetched.bind(lambda body: _decode(body, tuple[CloudHost, ...]))

    async def start_host(
        self, order: HostOrder
    ) -> Result[CloudHost, CloudFailure]:
        """Start a host; ``refused`` if none is available."""
        fetched = await self._fetch(
            '/hosts', method='POST', body=json.encode(order)
        )
        return fetched.bind(lambda body: _decode(body, CloudHost))

    async def stop_host(self, name: str) -> Result[None, CloudFailure]:
        """Stop a host; succeeds if it no longer exists."""
        fetched = await self._fetch(f'/hosts/{name}', method='DELETE')
        return fetched.map(lambda _body: None)

    async def _fetch(
        self, path: str, wait_seconds: float = 0, **options: Any
    ) -> Result[bytes, CloudFailure]:
        request = HTTPRequest(
            f'http://{self._address}{path}',
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            request_timeout=wait_seconds + _CALL_TIMEOUT_SECONDS,
            **options,
        )
        try:
            response = await self._client.fetch(request)
        except CALL_ERRORS as error:
            return Failure(_classify_error(error))
        return Success(response.body)


def _decode(body: bytes, response_type: Any) -> Result[Any, CloudFailure]:
    try:
        return Success(json.decode(body, type=response_type))
    except DECODE_ERRORS:
        return Failure(CloudFailure.lost)


def _classify_error(error: Exception) -> CloudFailure:
    if isinstance(error, ConnectionRefusedError):
        return CloudFailure.unavailable
    if isinstance(error, HTTPTimeoutError):
        # Only tornado's message says in which phase the time ran out.
        connecting = 'connect' in str(error)
        return CloudFailure.unavailable if connecting else CloudFailure.lost
    if not isinstance(error, HTTPError):
        return CloudFailure.lost
    if error.code == _CONFLICT:
        return CloudFailure.refused
    if error.code == _UNAVAILABLE:
        return CloudFailure.unavailable
    return CloudFailure.lost
