"""Measure the tokens that are recomputed when a zone is reclaimed.

The simulation runs in virtual time. Three servers run sixteen streams each, a
third of them long drafts. Nine entry hosts plan ten times a second, as in the
running system and with the same function, each for its own streams only. Each
server has one link, which carries transfers one by one or all at once. The
size of a transfer is 0.7 to 1.5 times the estimate, and one transfer in fifty
fails. Tokens emitted while a cache is transferred are recomputed.

Two effects are not modelled: queues at the servers that take the streams, and
prompts that these servers have cached. The latter would make both resuming
and restarting cheaper.

    PYTHONPATH=src:. python -m benchmarks.reclaims
"""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import product
from random import Random

from monsoonwall.decisions.reclaims import (
    PlannedStreamMove,
    StreamAtRisk,
    StreamMoveCosts,
    StreamMoveKind,
    StreamMoveWindow,
    plan_stream_moves,
)

COSTS = StreamMoveCosts()
SERVERS = 3
STREAMS_PER_SERVER = 16
ENTRY_HOSTS = 9
MAX_TRIES = 2
STEP_SECONDS = 0.1
NOTICES_SECONDS = (10, 5, 3, 2, 1)
WAVES = 50

PlanFunction = Callable[
    [Sequence[StreamAtRisk], StreamMoveWindow, StreamMoveCosts],
    tuple[PlannedStreamMove, ...],
]


@dataclass(frozen=True)
class Case:
    """Describe the conditions of one row of the table."""

    name: str
    plan: PlanFunction
    notice: float
    shared_link: bool


@dataclass
class Stream:
    """Track one stream on a server that is reclaimed.

    ``unsent_tokens`` is the rest of its transfer, and ``copied_tokens`` the
    number of tokens in the cache when the transfer began.
    """

    state: StreamAtRisk
    entry_host: int
    unsent_tokens: float = 0
    copied_tokens: int = 0
    failures: int = 0
    done: bool = False


@dataclass
class Outcome:
    """Count the recomputed tokens, and the streams by how they ended."""

    recomputed: int = 0
    finished: int = 0
    transferred: int = 0
    resumed: int = 0


def make_streams(random: Random) -> list[Stream]:
    """Return one server's streams: long drafts and short questions."""
    streams = []
    for number in range(STREAMS_PER_SERVER):
        if random.randrange(3):
            prompt, length = random.randint(50, 400), 200
        else:
            prompt, length = random.randint(2000, 16_000), 4000
        emitted = random.randrange(length)
        state = StreamAtRisk(str(number), prompt + emitted, length - emitted)
        streams.append(Stream(state, random.randrange(ENTRY_HOSTS)))
    return streams


def resume_all(
    streams: Sequence[StreamAtRisk],
    window: StreamMoveWindow,
    costs: StreamMoveCosts,
) -> tuple[PlannedStreamMove, ...]:
    """Plan to resume every stream from its tokens immediately."""
    return tuple(
        PlannedStreamMove(stream.request_id, StreamMoveKind.resume)
        for stream in streams
    )


def transfer_in_order(
    streams: Sequence[StreamAtRisk],
    window: StreamMoveWindow,
    costs: StreamMoveCosts,
) -> tuple[PlannedStreamMove, ...]:
    """Plan to transfer the streams in the given order."""
    return tuple(
        PlannedStreamMove(stream.request_id, StreamMoveKind.transfer)
        for stream in streams
    )


def transfer_small_first(
    streams: Sequence[StreamAtRisk],
    window: StreamMoveWindow,
    costs: StreamMoveCosts,
) -> tuple[PlannedStreamMove, ...]:
    """Plan to transfer as many streams as possible: small ones first."""
    ordered = sorted(streams, key=lambda stream: stream.held_tokens)
    return transfer_in_order(ordered, window, costs)


PLANS: tuple[tuple[str, PlanFunction], ...] = (
    ('resume each', resume_all),
    ('in order', transfer_in_order),
    ('small first', transfer_small_first),
    ('planned', plan_stream_moves),
)


class LeavingServer:
    """Move the streams off one reclaimed server, in virtual time."""

    def __init__(
        self, streams: list[Stream], case: Case, random: Random
    ) -> None:
        self._streams = streams
        self._case = case
        self._random = random
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run until the deadline, then resume the remaining streams."""
        for step in range(round(self._case.notice / STEP_SECONDS)):
            for host in range(ENTRY_HOSTS):
                self._plan_host(host, step * STEP_SECONDS)
            self._run_transfers()
            self._emit_tokens()
        for stream in self._streams:
            if not stream.done:
                self._resume(stream)
        return self.outcome

    def _plan_host(self, host: int, now: float) -> None:
        own_streams = [
            stream
            for stream in self._streams
            if stream.entry_host == host and not stream.done
        ]
        moving = [stream for stream in own_streams if stream.unsent_tokens]
        waiting = {
            stream.state.request_id: stream
            for stream in own_streams
            if not stream.unsent_tokens
        }
        tokens_in_transfer = sum(int(stream.unsent_tokens) for stream in moving)
        window = StreamMoveWindow(now, self._case.notice, tokens_in_transfer)
        free_transfers = COSTS.parallel_transfers - len(moving)
        states = [stream.state for stream in waiting.values()]
        for move in self._case.plan(states, window, COSTS):
            stream = waiting[move.request_id]
            if move.kind is StreamMoveKind.resume:
                self._resume(stream)
            elif move.kind is StreamMoveKind.transfer and free_transfers > 0:
                free_transfers -= 1
                stream.unsent_tokens = self._draw_transfer_size(stream)
                stream.copied_tokens = stream.state.held_tokens

    def _draw_transfer_size(self, stream: Stream) -> float:
        overhead = COSTS.transfer_overhead_seconds * COSTS.transfer_rate
        tokens = overhead + stream.state.held_tokens
        return tokens * self._random.uniform(0.7, 1.5)

    def _run_transfers(self) -> None:
        capacity = COSTS.transfer_rate * STEP_SECONDS
        moving = [stream for stream in self._streams if stream.unsent_tokens]
        if self._case.shared_link:
            for stream in moving:
                self._send(stream, capacity / len(moving))
            return
        for stream in moving:
            capacity -= self._send(stream, capacity)

    def _send(self, stream: Stream, tokens: float) -> float:
        sent = min(tokens, stream.unsent_tokens)
        stream.unsent_tokens -= sent
        if stream.unsent_tokens <= 0:
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
        # The copied cache lacks the tokens emitted during the transfer.
        held = stream.state.held_tokens
        self.outcome.recomputed += held - stream.copied_tokens

    def _resume(self, stream: Stream) -> None:
        stream.done = True
        stream.unsent_tokens = 0
        self.outcome.resumed += 1
        self.outcome.recomputed += stream.state.held_tokens

    def _emit_tokens(self) -> None:
        tokens = STEP_SECONDS / COSTS.token_seconds
        for stream in self._streams:
            if stream.done:
                continue
            state = stream.state
            # Random rounding keeps the mean rate exact.
            emitted = int(tokens + self._random.random())
            stream.state = replace(
                state,
                held_tokens=state.held_tokens + emitted,
                remaining_tokens=state.remaining_tokens - emitted,
            )
            if stream.state.remaining_tokens <= 0:
                stream.done = True
                stream.unsent_tokens = 0
                self.outcome.finished += 1


def measure_wave(case: Case, seed: int) -> tuple[Outcome, int]:
    """Return a wave's outcome, and the tokens that restarts would cost."""
    random = Random(seed)
    total = Outcome()
    restart_tokens = 0
    for _ in range(SERVERS):
        streams = make_streams(random)
        restart_tokens += sum(stream.state.held_tokens for stream in streams)
        outcome = LeavingServer(streams, case, random).run()
        total.recomputed += outcome.recomputed
        total.finished += outcome.finished
        total.transferred += outcome.transferred
        total.resumed += outcome.resumed
    return total, restart_tokens


def print_row(case: Case) -> None:
    """Print one row of the table."""
    waves = [measure_wave(case, seed) for seed in range(WAVES)]
    restart_tokens = sum(restart for _, restart in waves)
    shares = sorted(wave.recomputed / restart for wave, restart in waves)
    mean = sum(wave.recomputed for wave, _ in waves) / restart_tokens
    p95 = shares[int(0.95 * WAVES)]
    mean_counts = [
        sum(getattr(wave, kind) for wave, _ in waves) / WAVES
        for kind in ('finished', 'transferred', 'resumed')
    ]
    link = 'shared' if case.shared_link else 'queue'
    print(
        f'{case.notice:>8} {link:<6} {case.name:<18} {mean:>7.1%} '
        f'{p95:>7.1%}' + ''.join(f'{count:>12.1f}' for count in mean_counts)
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
