"""Decide whether a request whose sending failed is sent once more."""

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.decisions.fleet_retries import FleetRetryBudget
from monsoonwall.gateway.journeys import Journey
from monsoonwall.gateway.sending import SendingResult
from monsoonwall.gateway.settings import Bounds
from monsoonwall.metrics import GATEWAY_REPEATS, GATEWAY_REPEATS_LEFT
from monsoonwall.pipeline.messages import AttemptEnding

# Sendings of one request, those that servers did not execute included.
_MAX_SENDINGS: Final = 4


class RepeatVerdict(StrEnum):
    """Name why a request is sent again or not; values count in metrics."""

    allowed = 'allowed'
    sendings = 'sendings'
    not_repeatable = 'not_repeatable'
    attempts = 'attempts'
    budget = 'budget'


class Repeater:
    """Keep the budget of each service."""

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

    def note_request(self, journey: Journey) -> None:
        """Count a caller's request."""
        self._find_budget(journey).note_request(self._clock.read_monotonic())

    def decide(self, journey: Journey, outcome: SendingResult) -> RepeatVerdict:
        """Return whether to send once more; may take from the budget."""
        verdict = self._find_obstacle(journey, outcome)
        # A server that was not reached has seen no arrival.
        arrived = outcome.ending is not AttemptEnding.unreachable
        if verdict is RepeatVerdict.allowed and arrived:
            budget = self._find_budget(journey)
            now = self._clock.read_monotonic()
            hosts = self._count_hosts()
            if not budget.take(hosts, now):
                verdict = RepeatVerdict.budget
            GATEWAY_REPEATS_LEFT.labels(journey.admitted.service.name).set(
                budget.count_left(hosts, now)
            )
        GATEWAY_REPEATS.labels(verdict).inc()
        return verdict

    def _find_obstacle(
        self, journey: Journey, outcome: SendingResult
    ) -> RepeatVerdict:
        route = journey.admitted.route
        if len(journey.endings) >= _MAX_SENDINGS:
            return RepeatVerdict.sendings
        if journey.runs and not route.repeatable:
            return RepeatVerdict.not_repeatable
        if outcome.may_have_run and journey.runs >= route.max_attempts:
            return RepeatVerdict.attempts
        return RepeatVerdict.allowed

    def _find_budget(self, journey: Journey) -> FleetRetryBudget:
        bounds = self._bounds
        return self._budgets.setdefault(
            journey.admitted.service.name,
            FleetRetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_seconds,
            ),
        )
