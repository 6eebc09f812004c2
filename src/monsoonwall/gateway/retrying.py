"""Decide whether a request whose attempt failed is retried."""

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.fleet_retries import FleetRetryBudget
from monsoonwall.gateway.request_state import RequestState
from monsoonwall.gateway.sending import AttemptResult
from monsoonwall.gateway.settings import Bounds
from monsoonwall.metrics import (
    GATEWAY_RETRY_BUDGET_LEFT,
    GATEWAY_RETRY_DECISIONS,
)
from monsoonwall.pipeline.messages import AttemptEnding

# Attempts of one request, including those that servers did not execute.
_MAX_TOTAL_ATTEMPTS: Final = 4
_UNREACHED_ENDINGS: Final = frozenset(
    (AttemptEnding.unreachable, AttemptEnding.unsent)
)


class RetryDecision(StrEnum):
    """Why a request is or is not retried; the values are metric labels.

    ``sendings``: the request has been sent ``_MAX_TOTAL_ATTEMPTS`` times.
    ``not_repeatable``: it may have run and must not run twice. ``attempts``:
    it may have run as often as its route allows. ``budget``: the service has
    no retry budget left.
    """

    allowed = 'allowed'
    sendings = 'sendings'
    not_repeatable = 'not_repeatable'
    attempts = 'attempts'
    budget = 'budget'


class RetryPolicy:
    """Decide on retries, within a retry budget for each service."""

    def __init__(
        self,
        bounds: Bounds,
        clock: Clock,
        count_hosts: Callable[[], int],
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._count_hosts = count_hosts
        self._budgets: dict[str, FleetRetryBudget] = {}

    def record_request(self, state: RequestState) -> None:
        """Add a caller's request to the budget of its service."""
        self._find_budget(state).record_request(self._clock.read_monotonic())

    def decide(
        self, state: RequestState, outcome: AttemptResult
    ) -> RetryDecision:
        """Return whether to retry; an allowed retry uses up budget."""
        decision = self._check_attempts(state, outcome)
        # The budget bounds arrivals at servers. An attempt that never reached
        # its server is retried without it.
        reached_server = outcome.ending not in _UNREACHED_ENDINGS
        if decision is RetryDecision.allowed and reached_server:
            budget = self._find_budget(state)
            now = self._clock.read_monotonic()
            hosts = self._count_hosts()
            if not budget.try_spend(hosts, now):
                decision = RetryDecision.budget
            GATEWAY_RETRY_BUDGET_LEFT.labels(state.admitted.service.name).set(
                budget.count_left(hosts, now)
            )
        GATEWAY_RETRY_DECISIONS.labels(decision).inc()
        return decision

    def _check_attempts(
        self, state: RequestState, outcome: AttemptResult
    ) -> RetryDecision:
        route = state.admitted.route
        if len(state.attempt_endings) >= _MAX_TOTAL_ATTEMPTS:
            return RetryDecision.sendings
        if state.possible_runs and not route.repeatable:
            return RetryDecision.not_repeatable
        if outcome.may_have_run and state.possible_runs >= route.max_attempts:
            return RetryDecision.attempts
        return RetryDecision.allowed

    def _find_budget(self, state: RequestState) -> FleetRetryBudget:
        bounds = self._bounds
        return self._budgets.setdefault(
            state.admitted.service.name,
            FleetRetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_seconds,
            ),
        )
