"""HTTP client of a plain service."""

from typing import Final

from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from monsoonwall.backends.errors import BUSY_STATUSES, classify_error
from monsoonwall.backends.service import PlainService
from monsoonwall.clocks import Clock
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptFailure,
    Call,
    ServiceReply,
)
from monsoonwall.transport.clients import CALL_ERRORS
from monsoonwall.transport.messages import is_defined_status, is_framed

_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_BODILESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE'))
_BODILESS_STATUSES: Final = frozenset((204, 304))


class HttpService(PlainService):
    """Server of a plain service, called with tornado's HTTP client."""

    def __init__(
        self, address: str, client: AsyncHTTPClient, clock: Clock
    ) -> None:
        self._address = address
        self._client = client
        self._clock = clock

    async def send_call(
        self, call: Call
    ) -> Result[ServiceReply, AttemptFailure]:
        """Send the call once and return the complete response."""
        remaining = call.deadline - self._clock.read_monotonic()
        if remaining <= 0:
            return Failure(_make_failure(AttemptEnding.timed_out, False))
        try:
            response = await self._client.fetch(
                self._build_request(call, remaining), raise_error=False
            )
        except CALL_ERRORS as error:
            return Failure(classify_error(error))
        if not is_defined_status(response.code):
            return Failure(
                _make_failure(
                    AttemptEnding.malformed, True, f'status {response.code}'
                )
            )
        if response.code in BUSY_STATUSES:
            # Only with Retry-After does it say that the call was not started.
            may_have_run = 'Retry-After' not in response.headers
            return Failure(_make_failure(AttemptEnding.busy, may_have_run))
        if not _is_whole(call, response):
            return Failure(
                _make_failure(
                    AttemptEnding.crashed, True, 'the response has no length'
                )
            )
        return Success(
            ServiceReply(
                status=response.code,
                content_type=response.headers.get(
                    'Content-Type', 'application/octet-stream'
                ),
                body=response.body,
            )
        )

    def _build_request(self, call: Call, remaining: float) -> HTTPRequest:
        bodiless = call.method in _BODILESS_METHODS
        return HTTPRequest(
            f'http://{self._address}{call.path}',
            method=call.method,
            body=None if bodiless else call.body,
            headers=_build_headers(call),
            connect_timeout=min(_CONNECT_TIMEOUT_SECONDS, remaining),
            request_timeout=remaining,
            follow_redirects=False,
        )


def _is_whole(call: Call, response: HTTPResponse) -> bool:
    """Return whether the body was read to an end that its headers define.

    The client does not tell a body that ends with its connection from one that
    was reset.
    """
    bodiless = call.method == 'HEAD' or response.code in _BODILESS_STATUSES
    return bodiless or is_framed(response.headers)


def _build_headers(call: Call) -> dict[str, str]:
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': call.request_id,
    }
    if call.idempotency_key:
        headers['Idempotency-Key'] = call.idempotency_key
    return headers


def _make_failure(
    ending: AttemptEnding, may_have_run: bool, detail: str = ''
) -> AttemptFailure:
    return AttemptFailure(ending, detail or ending.value, may_have_run)
