"""Authenticate and parse callers' HTTP requests."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

from msgspec import Struct, field, json
from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from monsoonwall.configuration.model import (
    Configuration,
    Route,
    ServiceKind,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Refusal,
    RefusalReason,
)

IDEMPOTENCY_KEY_HEADER: Final = 'Idempotency-Key'
_DEFAULT_MAX_TOKENS: Final = 256
_MAX_TOKENS: Final = 32_768
_ID_BYTES: Final = 12
_SEED_LIMIT: Final = 2_147_483_648
_MAX_KEY_LENGTH: Final = 200


@dataclass(frozen=True)
class CallerRequest:
    """Hold an HTTP request as received.

    Looking up a name in ``headers`` must ignore its case.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class _ChatMessage(Struct):
    role: str
    content: str


class _Completion(Struct):
    model: str
    prompt: str = ''
    messages: list[_ChatMessage] = field(default_factory=list)
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False
    seed: int | None = None


@dataclass(frozen=True)
class ModelRequest:
    """Hold a completion call, and whether to stream its answer."""

    call: Call
    stream: bool


class RequestParser:
    """Turn HTTP requests into calls, under one configuration."""

    def __init__(self, configuration: Configuration, host_name: str) -> None:
        self._configuration = configuration
        self._host_name = host_name
        self._workspaces = {
            workspace.api_key_sha256: name
            for name, workspace in configuration.workspaces.items()
        }

    def parse_completion(
        self, request: CallerRequest, chat: bool, now: float
    ) -> Result[ModelRequest, Refusal]:
        """Return the call of a completion request, or the refusal."""
        workspace = self._find_workspace(request)
        if workspace is None:
            return Failure(_refuse_unauthorized())
        try:
            completion = json.decode(request.body, type=_Completion)
        except DECODE_ERRORS as error:
            return Failure(_refuse(RefusalReason.bad_request, str(error)))
        route = self._configuration.routes.get(completion.model)
        refusal = self._check_completion(completion, route, chat)
        if route is None or refusal is not None:
            return Failure(refusal or _refuse_route(completion.model))
        prompt = _join_messages(completion) if chat else completion.prompt
        content = f'{route.service}\0{completion.max_tokens}\0{prompt}'
        call = Call(
            request_id=self.make_request_id(),
            workspace=workspace,
            route=completion.model,
            service=route.service,
            priority=route.priority,
            idempotent=True,
            idempotency_key=None,
            deadline=now + route.timeout_seconds,
            content_key=xxh3_128_hexdigest(content.encode()),
            prompt=prompt,
            max_tokens=completion.max_tokens,
            seed=_choose_seed(completion.seed),
            chat=chat,
        )
        return Success(ModelRequest(call, completion.stream))

    def parse_service_call(
        self, request: CallerRequest, service: str, now: float
    ) -> Result[Call, Refusal]:
        """Return the call to a plain service, or the refusal."""
        workspace = self._find_workspace(request)
        if workspace is None:
            return Failure(_refuse_unauthorized())
        found = self._find_plain_route(request, service)
        if found is None:
            requested = ' '.join((request.method, request.path))
            return Failure(_refuse_route(requested))
        route_name, route = found
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        refusal = _check_idempotency_key(key, route)
        if refusal is not None:
            return Failure(refusal)
        parts = (service, request.method, request.path)
        content = '\0'.join(parts).encode() + request.body
        return Success(
            Call(
                request_id=self.make_request_id(),
                workspace=workspace,
                route=route_name,
                service=service,
                priority=route.priority,
                idempotent=route.idempotent,
                idempotency_key=key,
                deadline=now + route.timeout_seconds,
                content_key=xxh3_128_hexdigest(content),
                method=request.method,
                path=request.path,
                body=request.body,
            )
        )

    def make_request_id(self) -> str:
        """Return a new request id that begins with this host's name."""
        return f'{self._host_name}.{secrets.token_hex(_ID_BYTES)}'

    def _find_workspace(self, request: CallerRequest) -> str | None:
        scheme, _, key = request.headers.get('Authorization', '').partition(' ')
        if scheme.lower() != 'bearer':
            return None
        return self._workspaces.get(sha256(key.strip().encode()).hexdigest())

    def _check_completion(
        self, completion: _Completion, route: Route | None, chat: bool
    ) -> Refusal | None:
        if route is None:
            return _refuse_route(completion.model)
        service = self._configuration.services[route.service]
        if service.kind is not ServiceKind.model:
            return _refuse_route(completion.model)
        if not 0 < completion.max_tokens <= _MAX_TOKENS:
            return _refuse(
                RefusalReason.bad_request,
                f'max_tokens must be from 1 to {_MAX_TOKENS}',
            )
        if chat and not completion.messages:
            return _refuse(
                RefusalReason.bad_request, 'messages must not be empty'
            )
        if not chat and not completion.prompt:
            return _refuse(
                RefusalReason.bad_request, 'prompt must not be empty'
            )
        return None

    def _find_plain_route(
        self, request: CallerRequest, service: str
    ) -> tuple[str, Route] | None:
        matching = [
            (name, route)
            for name, route in self._configuration.routes.items()
            if (route.service, route.method) == (service, request.method)
            and route.path_prefix
            and request.path.startswith(route.path_prefix)
        ]
        # The longest prefix is the most specific route.
        return max(
            matching,
            key=lambda candidate: len(candidate[1].path_prefix),
            default=None,
        )


def _join_messages(completion: _Completion) -> str:
    return ''.join(
        f'{message.role}: {message.content}\n'
        for message in completion.messages
    )


def _choose_seed(requested: int | None) -> int:
    # The seed is fixed here so that another engine can resume the answer with
    # the same sampling.
    if requested is not None:
        return requested
    return secrets.randbelow(_SEED_LIMIT)


def _check_idempotency_key(key: str | None, route: Route) -> Refusal | None:
    if route.idempotent:
        return None
    if key is None or not 0 < len(key) <= _MAX_KEY_LENGTH:
        return _refuse(
            RefusalReason.key_required,
            f'send a {IDEMPOTENCY_KEY_HEADER} header of 1 to {_MAX_KEY_LENGTH} '
            'characters, the same one when you repeat the call',
        )
    return None


def _refuse(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, Effect.not_run, detail)


def _refuse_unauthorized() -> Refusal:
    return _refuse(
        RefusalReason.unauthorized,
        'no workspace has this key; send Authorization: Bearer KEY',
    )


def _refuse_route(requested: str) -> Refusal:
    return _refuse(RefusalReason.unknown_route, f'no route for {requested!r}')
