"""Generate calls that follow the traffic mixes of the two users."""

from dataclasses import dataclass
from random import Random

from benchmarks.queueing import EngineSpec, Job
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    LatencyTarget,
    Route,
    Service,
    ServiceKind,
    Version,
    Workspace,
)
from monsoonwall.decisions.cache import BLOCK_WORDS, sample_keys
from monsoonwall.decisions.hashing import hash_text
from monsoonwall.pipeline.messages import Call, Priority
from monsoonwall.pipeline.server_view import Prompt

DRAFT_TARGET_SECONDS = 3.0
DRAFT_TIMEOUT_SECONDS = 600.0
SHORT_TIMEOUT_SECONDS = 20.0
SHARED_PREFIX_WORDS = 96
TASK_WORDS = 48
TURN_WORDS = (16, 64)
SHORT_TOKENS = (20, 80)
MAX_SESSION_BLOCKS = 60
PRICES = (1.0, 0.7, 1.3)


@dataclass(frozen=True)
class TrafficMix:
    """Describe one user's traffic.

    ``record_words`` and ``draft_tokens`` are ranges, ``short_share`` is the
    share of short calls, and ``workspaces`` are the shares of workspaces.
    """

    name: str
    engines: int
    hosts: int
    calls_per_second: float
    short_share: float
    sessions: int
    records: int
    record_words: tuple[int, int]
    draft_tokens: tuple[int, int]
    workspaces: tuple[float, ...] = (0.45, 0.35, 0.1, 0.06, 0.04)


ASSOCIATION = TrafficMix(
    'association', 6, 8, 10, 0.8, 400, 60, (1500, 5000), (150, 400)
)
HIVATAL = TrafficMix('hivatal', 9, 9, 9, 0.5, 200, 80, (3000, 8000), (200, 600))
MIXES = (ASSOCIATION, HIVATAL)


def make_engine_specs(mix: TrafficMix) -> list[EngineSpec]:
    """Return the engines of a mix, in three zones with different prices."""
    return [
        EngineSpec(f'engine-{number}', f'zone-{number % 3}', PRICES[number % 3])
        for number in range(mix.engines)
    ]


def make_configuration(mix: TrafficMix) -> Configuration:
    """Return a configuration with the engines and routes of a mix."""
    return Configuration(
        1,
        {'assistant': Service(ServiceKind.model, {'v1': Version()}, 'v1')},
        {
            'short': Route('assistant', Priority.interactive),
            'draft': Route(
                'assistant',
                Priority.batch,
                timeout_seconds=DRAFT_TIMEOUT_SECONDS,
                latency_target=LatencyTarget(DRAFT_TARGET_SECONDS),
            ),
        },
        {
            f'workspace-{number}': Workspace('', 1, 1_000_000, 1_000_000_000)
            for number in range(len(mix.workspaces))
        },
        {
            spec.name: BackendServer(
                'assistant', 'v1', spec.zone, '', price_per_hour=price
            )
            for spec in make_engine_specs(mix)
            for price in (spec.price_per_hour,)
        },
    )


class WorkloadGenerator:
    """Generate short calls in growing sessions, and drafts about records.

    Prompts consist of prefix keys only, as no decision depends on the text.
    """

    def __init__(self, mix: TrafficMix, seed: int) -> None:
        self._mix = mix
        self._random = Random(seed)
        self._call_count = 0
        self._shared_prefix = self._extend((), SHARED_PREFIX_WORDS, 'preface')
        self._records = [
            self._extend(
                self._shared_prefix,
                self._random.randint(*mix.record_words),
                f'record-{number}',
            )
            for number in range(mix.records)
        ]
        self._sessions = [self._shared_prefix for _ in range(mix.sessions)]

    def make_jobs(self, phases) -> list[Job]:
        """Return the jobs of phases, given as (seconds, factor on the rate)."""
        jobs = []
        begin: float = 0
        for seconds, factor in phases:
            rate = self._mix.calls_per_second * factor
            arrived = begin + self._random.expovariate(rate)
            while arrived < begin + seconds:
                jobs.append(self._make_job(arrived))
                arrived += self._random.expovariate(rate)
            begin += seconds
        return jobs

    def _make_job(self, arrived: float) -> Job:
        short = self._random.random() < self._mix.short_share
        keys = (
            self._draw_session_prompt() if short else self._draw_draft_prompt()
        )
        self._call_count += 1
        token_range = SHORT_TOKENS if short else self._mix.draft_tokens
        timeout = SHORT_TIMEOUT_SECONDS if short else DRAFT_TIMEOUT_SECONDS
        call = Call(
            request_id=f'request-{self._call_count}',
            workspace=self._draw_workspace(),
            route='short' if short else 'draft',
            service='assistant',
            priority=Priority.interactive if short else Priority.batch,
            idempotent=True,
            idempotency_key=None,
            deadline=arrived + timeout,
            content_key=f'content-{self._call_count}',
            prompt=Prompt(len(keys) * BLOCK_WORDS, sample_keys(keys)),
            max_tokens=self._random.randint(*token_range),
        )
        host = self._random.randrange(self._mix.hosts)
        return Job(call, keys, len(keys) * BLOCK_WORDS, arrived, host)

    def _draw_session_prompt(self) -> tuple:
        index = self._random.randrange(len(self._sessions))
        extended = self._extend(
            self._sessions[index],
            self._random.randint(*TURN_WORDS),
            f'turn-{self._call_count}',
        )
        # A session that has become too long is replaced by a new one.
        too_long = len(extended) > MAX_SESSION_BLOCKS
        self._sessions[index] = self._shared_prefix if too_long else extended
        return extended

    def _draw_draft_prompt(self) -> tuple:
        # Squaring the random number makes some records far more frequent.
        index = int(self._mix.records * self._random.random() ** 2)
        return self._extend(
            self._records[index], TASK_WORDS, f'task-{self._call_count}'
        )

    def _draw_workspace(self) -> str:
        numbers = range(len(self._mix.workspaces))
        drawn = self._random.choices(numbers, self._mix.workspaces)[0]
        return f'workspace-{drawn}'

    def _extend(self, keys: tuple, words: int, name: str) -> tuple:
        return keys + tuple(
            f'{hash_text(f"{name}.{index}"):016x}'
            for index in range(words // BLOCK_WORDS)
        )
