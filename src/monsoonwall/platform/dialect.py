"""The platform's HTTP protocol: headers, status codes and refusals."""

import re
from http import HTTPStatus
from math import isfinite
from types import MappingProxyType
from typing import Final

from msgspec import json
from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine

from monsoonwall.gateway.dialect import (
    Attempt,
    Dialect,
    ResponseInfo,
)
from monsoonwall.gateway.model import (
    CallerRequest,
    Prompt,
    PromptPart,
)
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason
from monsoonwall.transport.messages import (
    Head,
    OutgoingRequest,
    copy_headers,
)

_MILLISECONDS_PER_SECOND: Final = 1000
_MAX_ID_LENGTH: Final = 200
_MISDIRECTED: Final = 421
_DEFAULT_DEADLINE_SECONDS: Final = 60.0

_ATTEMPT_ID: Final = 'X-Monsoonwall-Attempt-Id'
# Milliseconds until the deadline, counted from when the message is sent.
_TIME_LEFT: Final = 'X-Monsoonwall-Deadline-Ms'
_TARGET: Final = 'X-Monsoonwall-Target-Instance'
_WORKSPACE: Final = 'X-Monsoonwall-Tenant'
_API_KEY: Final = 'Api-Key'
_MODEL: Final = 'X-Monsoonwall-Model'
# Number of prompt tokens and maximum number of output tokens, as "1460,80".
_TOKEN_USAGE: Final = 'X-Monsoonwall-Token-Usage'
_CONTROL: Final = re.compile('[\x00-\x20\x7f]')
# Numbers of 64 bits have up to 20 digits.
_MAX_TOKEN_DIGITS: Final = 20
# Far above the memory of a server, and above what any limit allows.
_MAX_TOKENS: Final = 1_000_000_000_000
_PROMPT_PREFIX: Final = 'X-Monsoonwall-Prompt-Prefix'
_LAST_EVENT: Final = 'Last-Event-Id'
_PRIORITY: Final = 'X-Monsoonwall-Request-Priority'
_KV_FROM: Final = 'Kv-From'
_SIGNATURE: Final = 'X-Monsoonwall-Response-Seal'
_NOT_EXECUTED: Final = 'X-Monsoonwall-Not-Executed'
_RETRY_AFTER: Final = 'Retry-After'
_LEAVING: Final = 'Server-Leaving'
_LEAVING_VALUE: Final = '1'
_LIMIT: Final = 'Server-Limit'
_BRITTLE: Final = 'Server-Brittle'
_COLD: Final = 'X-Monsoonwall-Cold-Ms'

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers that only monsoonwall may send to servers. They are removed from
# callers' requests, so that callers cannot forge them.
_SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        _TIME_LEFT,
        _TARGET,
        _WORKSPACE,
        _API_KEY,
        _PRIORITY,
        _KV_FROM,
        _LAST_EVENT,
        'Kv-Fetch',
        'X-Monsoonwall-Kv-Backup',
        'X-Monsoonwall-Hold',
        'X-Monsoonwall-Pin-Ms',
        'X-Monsoonwall-Expect-Version',
    )
)
_NOT_FORWARDED: Final = (
    _HOP_BY_HOP_HEADERS
    | _SYSTEM_HEADERS
    | frozenset(('content-length', 'expect'))
)
_STATUSES: Final = MappingProxyType(
    {
        RefusalReason.bad_request: 400,
        RefusalReason.unauthorized: 401,
        RefusalReason.unknown_route: 404,
        RefusalReason.body_too_large: 413,
        RefusalReason.workspace_limit: 429,
    }
)


class PlatformDialect(Dialect):
    """Translate between the gateway's types and the platform's HTTP."""

    def read_request(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        now: float,
    ) -> Result[CallerRequest, Refusal]:
        """Decode a caller's request, or return why it is refused."""
        attempt_id = self.read_attempt_id(headers)
        hosts = headers.get_list('Host')
        remaining_seconds = _read_remaining_seconds(headers)
        if (
            not attempt_id
            or len(hosts) != 1
            or remaining_seconds is None
            or not start_line.path.startswith('/')
        ):
            return _make_bad_request(
                'the request needs one id, one host and a path'
            )
        try:
            forwarded = copy_headers(
                headers, _NOT_FORWARDED | _list_connection_headers(headers)
            )
            prompt = _read_prompt(headers)
            target = _read_target(start_line.path)
        except (HTTPInputError, ValueError) as error:
            return _make_bad_request(str(error))
        return Success(
            CallerRequest(
                attempt_id=attempt_id,
                method=start_line.method,
                target=target,
                path=target.partition('?')[0],
                host=hosts[0].partition(':')[0].lower(),
                key=self.read_key(headers),
                received_at=now,
                deadline=now + remaining_seconds,
                passed_headers=tuple(forwarded.get_all()),
                body=body,
                prompt=prompt,
                last_event_id=headers.get(_LAST_EVENT, ''),
            )
        )

    def read_attempt_id(self, headers: HTTPHeaders) -> str:
        """Return the id that a caller gave its request, or ''."""
        attempt_ids = headers.get_list(_ATTEMPT_ID)
        if len(attempt_ids) != 1 or len(attempt_ids[0]) > _MAX_ID_LENGTH:
            return ''
        return attempt_ids[0].strip()

    def read_key(self, headers: HTTPHeaders) -> str:
        """Return the key that a caller sent, or ''."""
        return headers.get(_API_KEY, '')

    def write_attempt(self, attempt: Attempt, now: float) -> OutgoingRequest:
        """Return the HTTP request of an attempt; ``now`` is monotonic."""
        request = attempt.request
        remaining_seconds = max(0, attempt.deadline - now)
        added = [
            (
                _TIME_LEFT,
                str(int(remaining_seconds * _MILLISECONDS_PER_SECOND)),
            ),
            (_TARGET, attempt.server.name),
        ]
        if attempt.workspace is not None:
            added.append((_WORKSPACE, attempt.workspace))
        if attempt.priority is not None:
            added.append((_PRIORITY, str(attempt.priority)))
        if attempt.last_event_id:
            added.append((_LAST_EVENT, attempt.last_event_id))
        if attempt.continuation is not None:
            continuation = attempt.continuation
            added.append(
                (_KV_FROM, f'{continuation.address}/{continuation.handle}')
            )
        return OutgoingRequest(
            request.method,
            request.target,
            (*request.passed_headers, *added),
            request.body,
        )

    def read_response(self, head: Head) -> ResponseInfo:
        """Decode the protocol fields of a server's response head."""
        headers = head.headers
        return ResponseInfo(
            attempt_id=headers.get(_ATTEMPT_ID, ''),
            signed=_SIGNATURE in headers,
            not_executed=(
                _NOT_EXECUTED in headers or head.status == _MISDIRECTED
            ),
            closes_channel=headers.get('Connection', '').lower() == 'close',
            keep_alive_seconds=_read_keep_alive(headers),
            backoff_seconds=_read_backoff(head),
            leaving=headers.get(_LEAVING, '').strip() == _LEAVING_VALUE,
            requests_per_second=_read_number(headers, _LIMIT),
            cold_seconds=_read_cold_seconds(headers),
            rejections_per_second=_read_number(headers, _BRITTLE),
        )

    def write_response_headers(self, head: Head) -> HTTPHeaders:
        """Return the headers of a server's response to send the caller."""
        return copy_headers(
            head.headers,
            _HOP_BY_HOP_HEADERS | _list_connection_headers(head.headers),
        )

    def write_refusal(
        self, refusal: Refusal, attempt_id: str
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Return status, headers and body of the response to a refusal."""
        status = _choose_status(refusal)
        headers = HTTPHeaders({'Content-Type': 'application/json'})
        if attempt_id:
            headers[_ATTEMPT_ID] = attempt_id
        if refusal.retry_after is not None:
            headers[_RETRY_AFTER] = f'{refusal.retry_after:.2f}'
        body = json.encode(
            {
                'request_id': attempt_id,
                'error': refusal.reason,
                'effect': refusal.effect,
                'detail': refusal.detail,
            }
        )
        headers['Content-Length'] = str(len(body))
        return status, headers, body


def _choose_status(refusal: Refusal) -> int:
    # 429 and 503 guarantee to callers that the request has not run. If it may
    # have run, the status is 504 after the deadline and 502 otherwise.
    if refusal.effect is Effect.not_run:
        return _STATUSES.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.reason is RefusalReason.deadline_passed:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _list_connection_headers(headers: HTTPHeaders) -> frozenset[str]:
    return frozenset(
        name.strip().lower()
        for listed in headers.get_list('Connection')
        for name in listed.split(',')
    )


def _read_remaining_seconds(headers: HTTPHeaders) -> float | None:
    milliseconds = headers.get(_TIME_LEFT)
    if milliseconds is None:
        return _DEFAULT_DEADLINE_SECONDS
    try:
        return max(0, float(milliseconds) / _MILLISECONDS_PER_SECOND)
    except ValueError:
        return None


def _read_target(path: str) -> str:
    """Return the text of a path and query; raises ValueError if malformed.

    The bytes of a head arrive as characters of Latin-1, but those of a target
    are written as UTF-8. Other bytes than UTF-8 could not be passed on.
    """
    if _CONTROL.search(path):
        raise ValueError('the path contains a control character or a space')
    return path.encode('latin-1').decode()


def _read_prompt(headers: HTTPHeaders) -> Prompt | None:
    counts = headers.get(_TOKEN_USAGE, '').split(',')
    if len(counts) != 2 or not all(count.isdecimal() for count in counts):
        return None
    return Prompt(
        headers.get(_MODEL, ''),
        _read_prompt_parts(headers.get(_PROMPT_PREFIX, '')),
        _read_tokens(counts[0]),
        _read_tokens(counts[1]),
    )


def _read_tokens(digits: str) -> int:
    """Return a number of tokens; raises ValueError if it is too long.

    Numbers above the maximum are reduced to it, so that sums over all requests
    and hosts remain in the range of the messages that hosts exchange.
    """
    if len(digits) > _MAX_TOKEN_DIGITS:
        raise ValueError('a number of tokens is too long')
    return min(int(digits), _MAX_TOKENS)


def _read_prompt_parts(prompt_prefix: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in prompt_prefix.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if not part_id or not tokens.isdecimal():
            return tuple(parts)
        parts.append(PromptPart(part_id, _read_tokens(tokens)))
    return tuple(parts)


def _read_keep_alive(headers: HTTPHeaders) -> float | None:
    for option in headers.get('Keep-Alive', '').split(','):
        name, _, seconds = option.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return float(seconds)
    return None


def _read_backoff(head: Head) -> float | None:
    if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    try:
        seconds = float(head.headers.get(_RETRY_AFTER, ''))
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds > 0 else None


def _read_cold_seconds(headers: HTTPHeaders) -> float | None:
    milliseconds = _read_number(headers, _COLD)
    if milliseconds is None:
        return None
    return milliseconds / _MILLISECONDS_PER_SECOND


def _read_number(headers: HTTPHeaders, name: str) -> float | None:
    try:
        number = float(headers.get(name, ''))
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0 else None


def _make_bad_request(detail: str) -> Result[CallerRequest, Refusal]:
    return Failure(Refusal(RefusalReason.bad_request, Effect.not_run, detail))
