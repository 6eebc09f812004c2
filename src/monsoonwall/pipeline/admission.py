"""Admit calls within limits that are divided among the entry hosts."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Result, Success

from monsoonwall.configuration.model import Workspace
from monsoonwall.decisions.admission import (
    AdmissionVerdict,
    RateMeter,
    ServiceSlots,
    TokenBucket,
    choose_retry_after,
    decide_admission,
)
from monsoonwall.decisions.fairness import share_limit
from monsoonwall.decisions.hashing import hash_to_fraction
from monsoonwall.metrics import ADMISSION_VERDICTS
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.server_view import ServerView
from monsoonwall.pipeline.stages import Admission, Observer

_PEER_DEMAND_TTL_SECONDS: Final = 10.0
_INITIAL_SLOT_SECONDS: Final = 2.0
_SLOT_SECONDS_GAIN: Final = 0.05
_UNKNOWN_WORKSPACE: Final = Workspace('')


@dataclass(frozen=True)
class HostDemand:
    """Hold the calls per second that one host receives.

    Rates are by workspace and by service, and include refused calls.
    """

    workspaces: Mapping[str, float] = field(default_factory=dict)
    services: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class _PeerDemand:
    demand: HostDemand
    expires_at: float


class DemandTable:
    """Track the demand at this host and the demand published by peers."""

    def __init__(self) -> None:
        self._workspaces: dict[str, RateMeter] = defaultdict(RateMeter)
        self._services: dict[str, RateMeter] = defaultdict(RateMeter)
        self._peers: dict[str, _PeerDemand] = {}

    def add(self, call: Call, now: float) -> None:
        """Count a call, whether it will be admitted or not."""
        self._workspaces[call.workspace].add(1, now)
        self._services[call.service].add(1, now)

    def collect_own(self, now: float) -> HostDemand:
        """Return this host's demand."""
        return HostDemand(
            _read_rates(self._workspaces, now),
            _read_rates(self._services, now),
        )

    def record_peer(self, origin: str, demand: HostDemand, now: float) -> None:
        """Store the demand that a peer published."""
        self._peers[origin] = _PeerDemand(
            demand, now + _PEER_DEMAND_TTL_SECONDS
        )

    def compute_workspace_share(self, workspace: str, now: float) -> float:
        """Return this host's share of a workspace's limits, from 0 to 1."""
        return share_limit(
            self._workspaces[workspace].read(now),
            tuple(
                peer.demand.workspaces.get(workspace, 0)
                for peer in self._list_peers(now)
            ),
        )

    def compute_service_share(self, service: str, now: float) -> float:
        """Return this host's share of a service's capacity, from 0 to 1."""
        return share_limit(
            self._services[service].read(now),
            tuple(
                peer.demand.services.get(service, 0)
                for peer in self._list_peers(now)
            ),
        )

    def _list_peers(self, now: float) -> list[_PeerDemand]:
        return [peer for peer in self._peers.values() if now < peer.expires_at]


class _WorkspaceLimits:
    """Limit one workspace to this host's share of its rates."""

    def __init__(self) -> None:
        self._requests = TokenBucket()
        self._tokens = TokenBucket()

    def try_grant(
        self, workspace: Workspace, share: float, tokens: int, now: float
    ) -> float:
        """Grant one request and its tokens, or return the seconds to wait.

        Returns 0 if both limits allow the request; grants nothing if not.
        """
        request_rate = workspace.requests_per_second * share
        token_rate = workspace.tokens_per_second * share
        wait = max(
            self._requests.measure_wait(1, request_rate, now),
            self._tokens.measure_wait(tokens, token_rate, now),
        )
        if wait <= 0:
            self._requests.grant(1, request_rate, now)
            self._tokens.grant(tokens, token_rate, now)
        return wait


class SharedAdmission(Admission, Observer):
    """Admit calls by this host's shares of the limits and the capacity."""

    def __init__(self, server_view: ServerView, demands: DemandTable) -> None:
        self._server_view = server_view
        self._demands = demands
        self._limits: dict[str, _WorkspaceLimits] = {}
        self._running: dict[str, Counter[str]] = defaultdict(Counter)
        self._running_batch: Counter[str] = Counter()
        self._interactive_rates: dict[str, RateMeter] = defaultdict(RateMeter)
        self._slot_demand: dict[str, dict[str, RateMeter]] = {}
        self._mean_slot_seconds: dict[tuple[str, Priority], float] = {}

    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the call, or the refusal; count an admitted call."""
        self._demands.add(call, now)
        if call.priority is Priority.interactive:
            self._interactive_rates[call.service].add(1, now)
        # By Little's law, call rate times slot time is the number of slots
        # that a workspace would use if no call were refused.
        slot_demand = self._slot_demand.setdefault(call.service, {})
        slot_demand.setdefault(call.workspace, RateMeter()).add(
            self._get_slot_seconds(call.service, call.priority), now
        )
        verdict = decide_admission(
            self._describe_slots(call, now),
            call.workspace,
            call.priority is Priority.interactive,
        )
        if verdict is not AdmissionVerdict.admitted:
            ADMISSION_VERDICTS.labels(call.service, verdict).inc()
            return Failure(self._refuse_load(call, verdict))
        wait = self._try_grant(call, now)
        if wait > 0:
            ADMISSION_VERDICTS.labels(call.service, 'limit').inc()
            return Failure(_refuse_limit(call, wait))
        ADMISSION_VERDICTS.labels(call.service, verdict).inc()
        self._running[call.service][call.workspace] += 1
        self._running_batch[call.service] += call.priority is Priority.batch
        return Success(call)

    def release(self, call: Call, now: float) -> None:
        """Free the slot of an admitted call that has ended."""
        self._running_batch[call.service] -= call.priority is Priority.batch
        running = self._running[call.service]
        running[call.workspace] -= 1
        if running[call.workspace] <= 0:
            running.pop(call.workspace)

    def observe(self, record: AttemptRecord) -> None:
        """Update the mean time that a call occupies a slot."""
        if record.ending is not AttemptEnding.completed:
            return
        kind = (record.call.service, record.call.priority)
        mean = self._get_slot_seconds(*kind)
        measured = record.ended - record.started
        self._mean_slot_seconds[kind] = mean + _SLOT_SECONDS_GAIN * (
            measured - mean
        )

    def _try_grant(self, call: Call, now: float) -> float:
        workspaces = self._server_view.configuration.workspaces
        limits = self._limits.setdefault(call.workspace, _WorkspaceLimits())
        return limits.try_grant(
            workspaces.get(call.workspace, _UNKNOWN_WORKSPACE),
            self._demands.compute_workspace_share(call.workspace, now),
            self._server_view.find_prompt(call).words + call.max_tokens,
            now,
        )

    def _describe_slots(self, call: Call, now: float) -> ServiceSlots:
        workspaces = self._server_view.configuration.workspaces
        return ServiceSlots(
            self._server_view.measure_capacity(call.service, now),
            self._demands.compute_service_share(call.service, now),
            self._running_batch[call.service],
            self._interactive_rates[call.service].read(now)
            * self._get_slot_seconds(call.service, Priority.interactive),
            self._running[call.service],
            {
                name: meter.read(now)
                for name, meter in self._slot_demand[call.service].items()
            },
            {name: workspace.weight for name, workspace in workspaces.items()},
        )

    def _refuse_load(self, call: Call, verdict: AdmissionVerdict) -> Refusal:
        detail = (
            'the service runs all the calls that it can'
            if verdict is AdmissionVerdict.full
            else 'the service is busy and this workspace has its share of it'
        )
        return Refusal(
            RefusalReason.overloaded,
            Effect.not_run,
            detail,
            choose_retry_after(
                self._get_slot_seconds(call.service, call.priority),
                hash_to_fraction(call.request_id),
            ),
        )

    def _get_slot_seconds(self, service: str, priority: Priority) -> float:
        return self._mean_slot_seconds.get(
            (service, priority), _INITIAL_SLOT_SECONDS
        )


def _read_rates(
    meters: Mapping[str, RateMeter], now: float
) -> dict[str, float]:
    return {name: meter.read(now) for name, meter in meters.items()}


def _refuse_limit(call: Call, wait: float) -> Refusal:
    return Refusal(
        RefusalReason.workspace_limit,
        Effect.not_run,
        'the workspace has used its requests or tokens a second',
        choose_retry_after(wait, hash_to_fraction(call.request_id)),
    )
