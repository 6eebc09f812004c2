"""Measure the tokens computed again when a zone is reclaimed.

Virtual time. Modelled: three servers with sixteen streams each, a third of
them long drafts; nine entry hosts that plan for their own streams alone, as
the running system does, ten times a second with the function that it uses;
one link a server, which carries transfers in a queue or all at once, each
0.7 to 1.5 times its estimate; one transfer in fifty that fails; tokens
emitted while a cache is on its way, which are computed again. Not modelled:
waiting at the servers that take the streams, and prompts that those have in
their caches, which would make both resuming and restarting cheaper.
"""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import product
from random import Random

from monsoonwall.decisions.reclaims import (
    MoveCosts,
    MoveKind,
    MoveWindow,
    PlannedMove,
    StreamAtRisk,
    plan_moves,
)

COSTS = MoveCosts()
SERVERS = 3
STREAMS_PER_SERVER = 16
ENTRY_HOSTS = 9
MAX_TRIES = 2
STEP_SECONDS = 0.1
NOTICES_SECONDS = (10, 5, 3, 2, 1)
WAVES = 50

Plan = Callable[
    [Sequence[StreamAtRisk], MoveWindow, MoveCosts], tuple[PlannedMove, ...]
]


@dataclass(frozen=True)
class Case:
    """Name what one row of the table measures."""

    name: str
    plan: Plan
    notice: float
    shared_link: bool


@dataclass
class Stream:
    """Follow one stream on a leaving server."""

    risk: StreamAtRisk
    entry_host: int
    to_send: float = 0
    held_at_start: int = 0
    failures: int = 0
    done: bool = False


@dataclass
class Outcome:
    """Add up what became of the streams."""

    recomputed: int = 0
    finished: int = 0
    transferred: int = 0
    resumed: int = 0


def make_streams(random: Random) -> list[Stream]:
    """Return one server's streams: long drafts beside short questions."""
    streams = []
    for number in range(STREAMS_PER_SERVER):
        if random.randrange(3):
            prompt, length = random.randint(50, 400), 200
        else:
            prompt, length = random.randint(2000, 16_000), 4000
        emitted = random.randrange(length)
        risk = StreamAtRisk(str(number), prompt + emitted, length - emitted)
        streams.append(Stream(risk, random.randrange(ENTRY_HOSTS)))
    return streams


def resume_all(
    streams: Sequence[StreamAtRisk], window: MoveWindow, costs: MoveCosts
) -> tuple[PlannedMove, ...]:
    """Plan to resume each stream from its tokens at once."""
    return tuple(
        PlannedMove(one.request_id, MoveKind.resume) for one in streams
    )


def transfer_in_order(
    streams: Sequence[StreamAtRisk], window: MoveWindow, costs: MoveCosts
) -> tuple[PlannedMove, ...]:
    """Plan to transfer streams as they come, while there is time."""
    return tuple(
        PlannedMove(one.request_id, MoveKind.transfer) for one in streams
    )


def transfer_small_first(
    streams: Sequence[StreamAtRisk], window: MoveWindow, costs: MoveCosts
) -> tuple[PlannedMove, ...]:
    """Plan to transfer the most streams, so the small ones first."""
    ordered = sorted(streams, key=lambda one: one.held_tokens)
    return transfer_in_order(ordered, window, costs)


PLANS: tuple[tuple[str, Plan], ...] = (
    ('resume each', resume_all),
    ('in order', transfer_in_order),
    ('small first', transfer_small_first),
    ('planned', plan_moves),
)


class Server:
    """Empty one leaving server in virtual time."""

    def __init__(
        self, streams: list[Stream], case: Case, random: Random
    ) -> None:
        self._streams = streams
        self._case = case
        self._random = random
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Step to the deadline; what is left then is resumed."""
        for step in range(round(self._case.notice / STEP_SECONDS)):
            for host in range(ENTRY_HOSTS):
                self._plan_host(host, step * STEP_SECONDS)
            self._carry()
            self._grow()
        for stream in self._streams:
            if not stream.done:
                self._resume(stream)
        return self.outcome

    def _plan_host(self, host: int, now: float) -> None:
        own = [
            one
            for one in self._streams
            if one.entry_host == host and not one.done
        ]
        moving = [one for one in own if one.to_send]
        waiting = {one.risk.request_id: one for one in own if not one.to_send}
        under_way = sum(int(one.to_send) for one in moving)
        window = MoveWindow(now, self._case.notice, under_way)
        free = COSTS.parallel_transfers - len(moving)
        risks = [one.risk for one in waiting.values()]
        for move in self._case.plan(risks, window, COSTS):
            stream = waiting[move.request_id]
            if move.kind is MoveKind.resume:
                self._resume(stream)
            elif move.kind is MoveKind.transfer and free > 0:
                free -= 1
                stream.to_send = self._draw_work(stream)
                stream.held_at_start = stream.risk.held_tokens

    def _draw_work(self, stream: Stream) -> float:
        overhead = COSTS.transfer_overhead_seconds * COSTS.transfer_rate
        work = overhead + stream.risk.held_tokens
        return work * self._random.uniform(0.7, 1.5)

    def _carry(self) -> None:
        capacity = COSTS.transfer_rate * STEP_SECONDS
        moving = [one for one in self._streams if one.to_send]
        if self._case.shared_link:
            for stream in moving:
                self._send(stream, capacity / len(moving))
            return
        for stream in moving:
            capacity -= self._send(stream, capacity)

    def _send(self, stream: Stream, tokens: float) -> float:
        sent = min(tokens, stream.to_send)
        stream.to_send -= sent
        if stream.to_send <= 0:
            self._end_transfer(stream)
        return sent

    def _end_transfer(self, stream: Stream) -> None:
        if not self._random.randrange(50):
            stream.failures += 1
            if stream.failures == MAX_TRIES:
                self._resume(stream)
            return
        stream.done = True
        self.outcome.transferred += 1
        # What was emitted on the way is not in the copied cache.
        held = stream.risk.held_tokens
        self.outcome.recomputed += held - stream.held_at_start

    def _resume(self, stream: Stream) -> None:
        stream.done = True
        stream.to_send = 0
        self.outcome.resumed += 1
        self.outcome.recomputed += stream.risk.held_tokens

    def _grow(self) -> None:
        tokens = STEP_SECONDS / COSTS.token_seconds
        for stream in self._streams:
            if stream.done:
                continue
            risk = stream.risk
            # Whole tokens, right on average.
            grown = int(tokens + self._random.random())
            stream.risk = replace(
                risk,
                held_tokens=risk.held_tokens + grown,
                remaining_tokens=risk.remaining_tokens - grown,
            )
            if stream.risk.remaining_tokens <= 0:
                stream.done = True
                stream.to_send = 0
                self.outcome.finished += 1


def measure_wave(case: Case, seed: int) -> tuple[Outcome, int]:
    """Return what a wave costs, and what restarting all would."""
    random = Random(seed)
    total = Outcome()
    restarted = 0
    for _ in range(SERVERS):
        streams = make_streams(random)
        restarted += sum(one.risk.held_tokens for one in streams)
        outcome = Server(streams, case, random).run()
        total.recomputed += outcome.recomputed
        total.finished += outcome.finished
        total.transferred += outcome.transferred
        total.resumed += outcome.resumed
    return total, restarted


def print_row(case: Case) -> None:
    """Print one row of the table."""
    waves = [measure_wave(case, seed) for seed in range(WAVES)]
    restarted = sum(naive for _, naive in waves)
    shares = sorted(wave.recomputed / naive for wave, naive in waves)
    mean = sum(wave.recomputed for wave, _ in waves) / restarted
    worst = shares[int(0.95 * WAVES)]
    kinds = [
        sum(getattr(wave, kind) for wave, _ in waves) / WAVES
        for kind in ('finished', 'transferred', 'resumed')
    ]
    link = 'shared' if case.shared_link else 'queue'
    print(
        f'{case.notice:>8} {link:<6} {case.name:<18} {mean:>7.1%} '
        f'{worst:>7.1%}' + ''.join(f'{count:>12.1f}' for count in kinds)
    )


def main() -> None:
    print(
        f'{WAVES} waves of {SERVERS} servers, {STREAMS_PER_SERVER} streams '
        'each; recomputed tokens as a share of restarting every stream'
    )
    print(
        f'{"notice/s":>8} {"link":<6} {"plan":<18} {"mean":>7} {"p95":>7}'
        f'{"finished":>12}{"transferred":>12}{"resumed":>12}'
    )
    for notice, shared in product(NOTICES_SECONDS, (False, True)):
        for name, plan in PLANS:
            print_row(Case(name, plan, notice, shared))


if __name__ == '__main__':
    sys.exit(main())
