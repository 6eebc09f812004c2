"""Admit calls within the limits that the entry hosts share."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Result, Success

from monsoonwall.configuration.model import Workspace
from monsoonwall.decisions.admission import (
    EntryVerdict,
    RateMeter,
    ServiceSlots,
    TokenBucket,
    decide_entry,
    suggest_return,
)
from monsoonwall.decisions.fairness import share_limit
from monsoonwall.decisions.hashing import spread_text
from monsoonwall.metrics import ENTRY_VERDICTS
from monsoonwall.pipeline.knowledge import ServerView
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Effect,
    Priority,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.stages import Admission, Observer

_PEER_SECONDS: Final = 10.0
_START_HOLD_SECONDS: Final = 2.0
_HOLD_GAIN: Final = 0.05
_NO_WORKSPACE: Final = Workspace('')


@dataclass(frozen=True)
class HostDemand:
    """State what one host is asked for, a second.

    By workspace and by service, refused calls included.
    """

    workspaces: Mapping[str, float] = field(default_factory=dict)
    services: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class _Heard:
    demand: HostDemand
    until: float


class DemandTable:
    """Hold this host's demand and what its peers published."""

    def __init__(self) -> None:
        self._workspaces: dict[str, RateMeter] = defaultdict(RateMeter)
        self._services: dict[str, RateMeter] = defaultdict(RateMeter)
        self._peers: dict[str, _Heard] = {}

    def add(self, call: Call, now: float) -> None:
        """Count a call before it is decided."""
        self._workspaces[call.workspace].add(1, now)
        self._services[call.service].add(1, now)

    def collect_own(self, now: float) -> HostDemand:
        """Return this host's demand."""
        return HostDemand(
            _read_rates(self._workspaces, now),
            _read_rates(self._services, now),
        )

    def take_peer(self, origin: str, demand: HostDemand, now: float) -> None:
        """Take what a peer published."""
        self._peers[origin] = _Heard(demand, now + _PEER_SECONDS)

    def share_workspace(self, workspace: str, now: float) -> float:
        """Return this host's part of a workspace's limits."""
        return share_limit(
            self._workspaces[workspace].read(now),
            tuple(
                heard.demand.workspaces.get(workspace, 0)
                for heard in self._list_peers(now)
            ),
        )

    def share_service(self, service: str, now: float) -> float:
        """Return this host's part of a service's capacity."""
        return share_limit(
            self._services[service].read(now),
            tuple(
                heard.demand.services.get(service, 0)
                for heard in self._list_peers(now)
            ),
        )

    def _list_peers(self, now: float) -> list[_Heard]:
        return [heard for heard in self._peers.values() if now < heard.until]


class _WorkspaceLimits:
    """Keep one workspace to this host's part of its limits."""

    def __init__(self) -> None:
        self._requests = TokenBucket()
        self._tokens = TokenBucket()

    def enter(
        self, workspace: Workspace, part: float, tokens: int, now: float
    ) -> float:
        """Return 0 and take, or the seconds to wait and take nothing."""
        request_rate = workspace.requests_per_second * part
        token_rate = workspace.tokens_per_second * part
        wait = max(
            self._requests.measure_wait(1, request_rate, now),
            self._tokens.measure_wait(tokens, token_rate, now),
        )
        if wait <= 0:
            self._requests.take(1, request_rate, now)
            self._tokens.take(tokens, token_rate, now)
        return wait


class SharedAdmission(Admission, Observer):
    """Admit by this host's parts of the limits and of the capacity."""

    def __init__(self, server_view: ServerView, demands: DemandTable) -> None:
        self._server_view = server_view
        self._demands = demands
        self._limits: dict[str, _WorkspaceLimits] = {}
        self._held: dict[str, Counter[str]] = defaultdict(Counter)
        self._batch: Counter[str] = Counter()
        self._urgent: dict[str, RateMeter] = defaultdict(RateMeter)
        self._wanted: dict[str, dict[str, RateMeter]] = {}
        self._hold_seconds: dict[tuple[str, Priority], float] = {}

    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the call, or why it is refused."""
        self._demands.add(call, now)
        if call.priority is Priority.interactive:
            self._urgent[call.service].add(1, now)
        wanted = self._wanted.setdefault(call.service, {})
        wanted.setdefault(call.workspace, RateMeter()).add(
            self._read_hold(call.service, call.priority), now
        )
        verdict = decide_entry(
            self._describe_slots(call, now),
            call.workspace,
            call.priority is Priority.interactive,
        )
        if verdict is not EntryVerdict.admitted:
            ENTRY_VERDICTS.labels(call.service, verdict).inc()
            return Failure(self._refuse_load(call, verdict))
        wait = self._enter_limits(call, now)
        if wait > 0:
            ENTRY_VERDICTS.labels(call.service, 'limit').inc()
            return Failure(_refuse_limit(call, wait))
        ENTRY_VERDICTS.labels(call.service, verdict).inc()
        self._held[call.service][call.workspace] += 1
        self._batch[call.service] += call.priority is Priority.batch
        return Success(call)

    def release(self, call: Call, now: float) -> None:
        """Give back what the call held."""
        self._batch[call.service] -= call.priority is Priority.batch
        held = self._held[call.service]
        held[call.workspace] -= 1
        if held[call.workspace] <= 0:
            held.pop(call.workspace)

    def observe(self, record: AttemptRecord) -> None:
        """Learn how long a call keeps its slot."""
        if record.ending is not AttemptEnding.completed:
            return
        kind = (record.call.service, record.call.priority)
        known = self._read_hold(*kind)
        taken = record.ended - record.started
        self._hold_seconds[kind] = known + _HOLD_GAIN * (taken - known)

    def _enter_limits(self, call: Call, now: float) -> float:
        workspaces = self._server_view.configuration.workspaces
        limits = self._limits.setdefault(call.workspace, _WorkspaceLimits())
        return limits.enter(
            workspaces.get(call.workspace, _NO_WORKSPACE),
            self._demands.share_workspace(call.workspace, now),
            self._server_view.find_prompt(call).words + call.max_tokens,
            now,
        )

    def _describe_slots(self, call: Call, now: float) -> ServiceSlots:
        workspaces = self._server_view.configuration.workspaces
        return ServiceSlots(
            self._server_view.measure_capacity(call.service, now),
            self._demands.share_service(call.service, now),
            self._batch[call.service],
            self._urgent[call.service].read(now)
            * self._read_hold(call.service, Priority.interactive),
            self._held[call.service],
            {
                name: meter.read(now)
                for name, meter in self._wanted[call.service].items()
            },
            {name: one.weight for name, one in workspaces.items()},
        )

    def _refuse_load(self, call: Call, verdict: EntryVerdict) -> Refusal:
        detail = (
            'the service runs all the calls that it can'
            if verdict is EntryVerdict.full
            else 'the service is busy and this workspace has its share of it'
        )
        return Refusal(
            RefusalReason.overloaded,
            Effect.not_run,
            detail,
            suggest_return(
                self._read_hold(call.service, call.priority),
                spread_text(call.request_id),
            ),
        )

    def _read_hold(self, service: str, priority: Priority) -> float:
        return self._hold_seconds.get((service, priority), _START_HOLD_SECONDS)


def _read_rates(
    meters: Mapping[str, RateMeter], now: float
) -> dict[str, float]:
    return {name: meter.read(now) for name, meter in meters.items()}


def _refuse_limit(call: Call, wait: float) -> Refusal:
    return Refusal(
        RefusalReason.workspace_limit,
        Effect.not_run,
        'the workspace has used its requests or tokens a second',
        suggest_return(wait, spread_text(call.request_id)),
    )
