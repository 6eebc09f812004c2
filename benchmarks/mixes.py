"""Make calls like those of the two users."""

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
PREFACE_WORDS = 96
TASK_WORDS = 48
TURN_WORDS = (16, 64)
SHORT_TOKENS = (20, 80)
MAX_SESSION_BLOCKS = 60
PRICES = (1.0, 0.7, 1.3)


@dataclass(frozen=True)
class Mix:
    """State the sizes of one user's work, in words and calls a second."""

    name: str
    engines: int
    hosts: int
    calls_per_second: float
    short_part: float
    sessions: int
    records: int
    record_words: tuple[int, int]
    draft_tokens: tuple[int, int]
    workspaces: tuple[float, ...] = (0.45, 0.35, 0.1, 0.06, 0.04)


ASSOCIATION = Mix(
    'association', 6, 8, 10, 0.8, 400, 60, (1500, 5000), (150, 400)
)
HIVATAL = Mix('hivatal', 9, 9, 9, 0.5, 200, 80, (3000, 8000), (200, 600))
MIXES = (ASSOCIATION, HIVATAL)


def make_specs(mix: Mix) -> list[EngineSpec]:
    """Return the engines of a mix, over three zones of unequal price."""
    return [
        EngineSpec(f'engine-{number}', f'zone-{number % 3}', PRICES[number % 3])
        for number in range(mix.engines)
    ]


def make_configuration(mix: Mix) -> Configuration:
    """Return the configuration of a mix."""
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
            for spec in make_specs(mix)
            for price in (spec.price_per_hour,)
        },
    )


class CallMaker:
    """Draw calls: questions of sessions that grow, drafts over records.

    Prompts are made as prefix keys alone, since their text decides nothing.
    """

    def __init__(self, mix: Mix, seed: int) -> None:
        self._mix = mix
        self._random = Random(seed)
        self._turns = 0
        self._preface = self._extend((), PREFACE_WORDS, 'preface')
        self._records = [
            self._extend(
                self._preface,
                self._random.randint(*mix.record_words),
                f'record-{number}',
            )
            for number in range(mix.records)
        ]
        self._sessions = [self._preface for _ in range(mix.sessions)]

    def make_jobs(self, phases) -> list[Job]:
        """Return the jobs of phases (seconds, factor of the mix's rate)."""
        jobs = []
        begin: float = 0
        for seconds, factor in phases:
            rate = self._mix.calls_per_second * factor
            at = begin + self._random.expovariate(rate)
            while at < begin + seconds:
                jobs.append(self._make_job(at))
                at += self._random.expovariate(rate)
            begin += seconds
        return jobs

    def _make_job(self, at: float) -> Job:
        short = self._random.random() < self._mix.short_part
        keys = self._ask() if short else self._draft()
        self._turns += 1
        bounds = SHORT_TOKENS if short else self._mix.draft_tokens
        timeout = SHORT_TIMEOUT_SECONDS if short else DRAFT_TIMEOUT_SECONDS
        call = Call(
            request_id=f'request-{self._turns}',
            workspace=self._draw_workspace(),
            route='short' if short else 'draft',
            service='assistant',
            priority=Priority.interactive if short else Priority.batch,
            idempotent=True,
            idempotency_key=None,
            deadline=at + timeout,
            content_key=f'content-{self._turns}',
            prompt=Prompt(len(keys) * BLOCK_WORDS, sample_keys(keys)),
            max_tokens=self._random.randint(*bounds),
        )
        host = self._random.randrange(self._mix.hosts)
        return Job(call, keys, len(keys) * BLOCK_WORDS, at, host)

    def _ask(self) -> tuple:
        place = self._random.randrange(len(self._sessions))
        asked = self._extend(
            self._sessions[place],
            self._random.randint(*TURN_WORDS),
            f'turn-{self._turns}',
        )
        # A session starts anew when it has grown long.
        too_long = len(asked) > MAX_SESSION_BLOCKS
        self._sessions[place] = self._preface if too_long else asked
        return asked

    def _draft(self) -> tuple:
        # A few records are worked on much more than the others.
        place = int(self._mix.records * self._random.random() ** 2)
        return self._extend(
            self._records[place], TASK_WORDS, f'task-{self._turns}'
        )

    def _draw_workspace(self) -> str:
        numbers = range(len(self._mix.workspaces))
        drawn = self._random.choices(numbers, self._mix.workspaces)[0]
        return f'workspace-{drawn}'

    def _extend(self, keys: tuple, words: int, name: str) -> tuple:
        return keys + tuple(
            f'{hash_text(f"{name}.{place}"):016x}'
            for place in range(words // BLOCK_WORDS)
        )
