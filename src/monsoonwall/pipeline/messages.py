"""Define the data that the stages of the request path exchange.

Times are monotonic seconds of the host that created the object, except for
fields that end in ``_wall``, which are Unix seconds.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Priority(IntEnum):
    """Rank requests; the lower number is served first."""

    interactive = 0
    batch = 1


class Effect(StrEnum):
    """State whether a refused request may have run on a backend server."""

    not_run = 'not_run'
    run = 'run'
    unknown = 'unknown'


class RefusalReason(StrEnum):
    """List why requests are refused; values are stable error codes."""

    bad_request = 'bad_request'
    body_too_large = 'body_too_large'
    unauthorized = 'unauthorized'
    unknown_route = 'unknown_route'
    unknown_request = 'unknown_request'
    key_required = 'idempotency_key_required'
    key_reused = 'idempotency_key_reused'
    in_progress = 'already_in_progress'
    answer_not_kept = 'answer_not_kept'
    workspace_limit = 'workspace_limit'
    overloaded = 'overloaded'
    crashing_request = 'crashing_request'
    no_server = 'no_backend_server'
    deadline_passed = 'deadline_passed'
    retry_budget = 'retry_budget_exhausted'
    platform_unavailable = 'platform_unavailable'
    leaving = 'entry_host_leaving'
    not_ready = 'entry_host_not_ready'
    stale_configuration = 'configuration_too_old'
    outcome_unknown = 'outcome_unknown'
    answer_diverged = 'answer_diverged'
    internal = 'internal_error'


@dataclass(frozen=True)
class Refusal:
    """Describe why a request ends without an answer.

    ``retry_after`` is in seconds from now, like the HTTP header, and None if
    sending the same request again cannot help.
    """

    reason: RefusalReason
    effect: Effect
    detail: str
    retry_after: float | None = None


@dataclass(frozen=True)
class Call:
    """Describe one request that passed parsing and authentication.

    Plain services use ``method``, ``path`` and ``body``; model engines use
    ``prompt``, ``max_tokens`` and ``seed``. ``content_key`` is a hash of what
    the backend server runs, so a request that is sent again has the same key.
    ``part_keys`` identify the parts of its prompt that other requests may
    share.
    """

    request_id: str
    workspace: str
    route: str
    service: str
    priority: Priority
    idempotent: bool
    idempotency_key: str | None
    deadline: float
    content_key: str
    method: str = 'POST'
    path: str = ''
    body: bytes = b''
    prompt: str = ''
    max_tokens: int = 0
    seed: int = 0
    chat: bool = False
    part_keys: tuple[str, ...] = ()


@dataclass(frozen=True)
class Chunk:
    """Hold consecutive tokens that an engine streamed.

    ``offset`` is the number of tokens of the answer before this chunk,
    including those of earlier attempts. ``cached_tokens`` is the number of
    prompt tokens that the engine found in its cache; None if not reported.
    """

    request_id: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    finished: bool = False
    prompt_tokens: int | None = None
    cached_tokens: int | None = None


class AttemptEnding(StrEnum):
    """List how an attempt at a backend server can end.

    ``busy`` is a response with status 429 or 503. An attempt is ``reclaimed``
    if its stream moves off a server that is being reclaimed, and ``cancelled``
    if this host stops it. It is ``unsent`` if its server left before the
    request was written.
    """

    completed = 'completed'
    failed = 'failed'
    crashed = 'crashed'
    unreachable = 'unreachable'
    busy = 'busy'
    reclaimed = 'reclaimed'
    cut = 'cut'
    timed_out = 'timed_out'
    cancelled = 'cancelled'
    malformed = 'malformed'
    unsent = 'unsent'


@dataclass(frozen=True)
class AttemptFailure:
    """Describe an attempt that ended before its answer was complete."""

    ending: AttemptEnding
    detail: str
    may_have_run: bool


@dataclass(frozen=True)
class ServerChoice:
    """Name the backend server and its version for one attempt.

    ``isolated`` marks an attempt of a suspect request, which runs on a
    server without other suspect requests where possible.
    """

    server: str
    zone: str
    version: str
    isolated: bool = False


@dataclass(frozen=True)
class AttemptRecord:
    """Describe one ended attempt for the observers."""

    call: Call
    attempt: int
    choice: ServerChoice
    started: float
    first_token_at: float | None
    ended: float
    tokens: int
    prompt_tokens: int
    cached_tokens: int
    ending: AttemptEnding


@dataclass(frozen=True)
class ServiceReply:
    """Hold the complete reply of a plain service."""

    status: int
    content_type: str
    body: bytes
