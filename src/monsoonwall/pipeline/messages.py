"""Define what the filters of the request path hand to each other.

Times are monotonic seconds of the host that made the message, but for
fields that end in ``_wall``, which are Unix seconds.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Priority(IntEnum):
    """Order requests; the lower number is served first."""

    interactive = 0
    batch = 1


class Effect(StrEnum):
    """Tell a caller whether its request took effect."""

    not_run = 'not_run'
    run = 'run'
    unknown = 'unknown'


class RefusalReason(StrEnum):
    """Name why a request was refused; the value is a stable error code."""

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
    """End a request without its answer.

    ``retry_after`` is in seconds from now, as the HTTP header wants it, and
    None when sending the same request again cannot help.
    """

    reason: RefusalReason
    effect: Effect
    detail: str
    retry_after: float | None = None


@dataclass(frozen=True)
class Call:
    """Hold one accepted request.

    ``method``, ``path`` and ``body`` matter to plain services; ``prompt``,
    ``max_tokens`` and ``seed`` to model engines. ``content_key`` is a hash
    of what the backend server would run, equal when a caller sends it again.
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


@dataclass(frozen=True)
class Chunk:
    """Carry tokens of one stream.

    ``offset`` counts the tokens of the whole answer that come before this
    chunk, also across attempts. ``cached_tokens`` is what the engine said of
    the prompt's prefix; None when it said nothing.
    """

    request_id: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    finished: bool = False
    prompt_tokens: int | None = None
    cached_tokens: int | None = None


class AttemptEnding(StrEnum):
    """Name how one attempt at a backend server ended."""

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


@dataclass(frozen=True)
class AttemptFailure:
    """End an attempt's stream before its answer is whole."""

    ending: AttemptEnding
    detail: str
    may_have_run: bool


@dataclass(frozen=True)
class ServerChoice:
    """Name the backend server, and its version, for one attempt.

    ``isolated`` marks an attempt for a suspect request, run apart.
    """

    server: str
    zone: str
    version: str
    isolated: bool = False


@dataclass(frozen=True)
class AttemptRecord:
    """Report one ended attempt to whoever learns from it."""

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
    """Carry a plain service's whole answer."""

    status: int
    content_type: str
    body: bytes
