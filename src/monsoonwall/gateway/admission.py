"""Admit requests by route, API key and workspace limit."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import cached_property
from typing import Final

from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from monsoonwall.clocks import Clock
from monsoonwall.decisions.hashing import hash_to_fraction
from monsoonwall.gateway.limiting import Limiter
from monsoonwall.gateway.model import (
    CallerRequest,
    Catalogue,
    Prompt,
    Route,
    Service,
    Workspace,
)
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.settings import GatewaySettings
from monsoonwall.mesh.board import Board
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
)

# Short, since a retry may reach another host that has a configuration.
_NOT_READY_RETRY_SECONDS: Final = 0.3


@dataclass(frozen=True)
class AdmittedRequest:
    """Hold a request with its route, service, workspace and priority.

    The deadline is monotonic. ``revision`` is that of the configuration by
    which the request was admitted. ``granted`` is the number of requests or
    tokens granted from the workspace's limit.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    priority: int
    deadline: float
    revision: int
    granted: float = 0

    @cached_property
    def call(self) -> Call:
        """Return the request in the form that the shared pipeline uses."""
        request = self.request
        workspace = self.workspace.name if self.workspace else ''
        key_parts = (
            workspace,
            request.method,
            request.host,
            request.target,
            # Separates the target from the body, which follows.
            '',
        )
        return Call(
            request_id=request.attempt_id,
            workspace=workspace,
            route=self.route.name,
            service=self.service.name,
            priority=Priority.interactive,
            idempotent=self.route.repeatable,
            idempotency_key=None,
            deadline=self.deadline,
            content_key=xxh3_128_hexdigest(
                '\0'.join(key_parts).encode() + request.body
            ),
            part_keys=_make_part_keys(self.service.name, request.prompt),
        )


class AdmissionCheck:
    """Check the route, API key and workspace limit of each request."""

    def __init__(self, record_cache: RecordCache, limiter: Limiter) -> None:
        self._record_cache = record_cache
        self.limiter = limiter

    @property
    def revision(self) -> int:
        """Return the revision of the active configuration, or 0."""
        catalogue = self._record_cache.catalogue
        return catalogue.revision if catalogue else 0

    def admit(self, request: CallerRequest) -> Result[AdmittedRequest, Refusal]:
        """Return the admitted request, or why it is refused."""
        catalogue = self._record_cache.catalogue
        if catalogue is None:
            return _refuse(
                RefusalReason.not_ready,
                'this host knows no configuration yet',
                _NOT_READY_RETRY_SECONDS,
            )
        route = catalogue.find_route(request.host, request.path)
        if route is None:
            return _refuse(RefusalReason.unknown_route, 'no route matches')
        workspace = catalogue.find_workspace(request.key)
        if workspace is None and _needs_key(catalogue, route):
            return _refuse(RefusalReason.unauthorized, 'the key is not known')
        if route.key_exempt:
            workspace = None
        service = _choose_service(catalogue, route, request.attempt_id)
        if service is None:
            return _refuse(
                RefusalReason.no_server, 'the service is not configured'
            )
        return self._apply_limit(
            AdmittedRequest(
                request,
                route,
                service,
                workspace,
                _choose_priority(route, workspace),
                min(
                    request.deadline,
                    request.received_at + route.timeout_seconds,
                ),
                catalogue.revision,
            )
        )

    def cancel_grant(self, admitted: AdmittedRequest) -> None:
        """Cancel what a request was granted, since it has not run."""
        if admitted.granted and admitted.workspace is not None:
            self.limiter.cancel_grant(admitted.workspace, admitted.granted)

    def _apply_limit(
        self, admitted: AdmittedRequest
    ) -> Result[AdmittedRequest, Refusal]:
        workspace = admitted.workspace
        if workspace is None or workspace.rate <= 0:
            return Success(admitted)
        units = _count_units(admitted.request, workspace)
        wait = self.limiter.try_grant(
            workspace, units, hash_to_fraction(admitted.request.attempt_id)
        )
        if wait > 0:
            return _refuse(
                RefusalReason.workspace_limit,
                f'workspace {workspace.name} is over its limit',
                wait,
            )
        return Success(replace(admitted, granted=units))


def make_admission_check(
    record_cache: RecordCache,
    board: Board,
    clock: Clock,
    settings: GatewaySettings,
    count_hosts: Callable[[], int],
) -> AdmissionCheck:
    """Return the admission check of one gateway."""
    limiter = Limiter(board, clock, settings, count_hosts)
    return AdmissionCheck(record_cache, limiter)


def _refuse(
    reason: RefusalReason, detail: str, retry_after: float | None = None
) -> Result[AdmittedRequest, Refusal]:
    return Failure(Refusal(reason, Effect.not_run, detail, retry_after))


def _needs_key(catalogue: Catalogue, route: Route) -> bool:
    return bool(catalogue.workspaces) and not route.key_exempt


def _choose_priority(route: Route, workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _choose_service(
    catalogue: Catalogue, route: Route, attempt_id: str
) -> Service | None:
    total = sum(target.weight for target in route.targets)
    remaining = hash_to_fraction(attempt_id) * total
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0:
            return catalogue.services.get(target.service)
    return None


def _count_units(request: CallerRequest, workspace: Workspace) -> float:
    if not workspace.counts_tokens:
        return 1
    if request.prompt is None:
        return workspace.plain_tokens
    return request.tokens


def _make_part_keys(service: str, prompt: Prompt | None) -> tuple[str, ...]:
    if prompt is None:
        return ()
    return tuple(
        f'{service}/{prompt.model}/{part.part_id}'
        for part in prompt.shared_parts
    )
