"""Measure the cost per host of sharing evidence on a version move.

Prints, for several numbers of hosts, the bytes of one host's entry and the
processor time of one tick: encoding the host's entry, decoding the entries of
all hosts and advancing the move.

    PYTHONPATH=src:. python -m benchmarks.move_evidence
"""

import time
from dataclasses import replace
from random import Random

from msgspec import msgpack

from monsoonwall.configuration.model import Move
from monsoonwall.decisions.evidence import (
    EvidenceCounter,
    EvidencePool,
    HostEvidence,
    Side,
    merge_increments,
)
from monsoonwall.decisions.moves import MoveCourse, MovePlan
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Priority,
    ServerChoice,
)

HOSTS = (1, 8, 32, 128)
ROUTES = ('hotline', 'summary')
SERVERS = 9
TICKS = 60
ATTEMPTS_PER_TICK = 9
FILL_ATTEMPTS = 3000


def make_attempt(random):
    """Return a completed attempt with a random route and latency."""
    call = Call(
        '',
        'depot',
        random.choice(ROUTES),
        'assistant',
        Priority.interactive,
        True,
        None,
        100,
        str(random.random()),
    )
    first = random.lognormvariate(-1.5, 0.4)
    pace = random.lognormvariate(-3.4, 0.2)
    return AttemptRecord(
        call,
        1,
        ServerChoice('', 'zone-a', ''),
        0,
        first,
        first + 40 * pace,
        41,
        10,
        0,
        AttemptEnding.completed,
    )


def count_attempts(counter, random, number):
    """Count attempts on random servers of both versions."""
    for _ in range(number):
        server = random.randrange(SERVERS)
        side = Side.new if server % 3 == 0 else Side.old
        attempt = make_attempt(random)
        zone = ServerChoice('', f'zone-{server % 3}', '')
        counter.count_attempt(replace(attempt, choice=zone), side, server)


def measure(hosts):
    """Measure with a number of hosts and print the row."""
    random = Random(1)
    counters = [EvidenceCounter(number) for number in range(hosts)]
    for counter in counters:
        count_attempts(counter, random, FILL_ATTEMPTS // hosts + 1)
    course = MoveCourse(MovePlan('m', Move('s', 'a', 'b', 0, 3600), 6, 3))
    pool = EvidencePool()
    decoder = msgpack.Decoder(HostEvidence)
    spent = 0
    payloads = []
    for now in range(TICKS):
        for counter in counters:
            count_attempts(counter, random, max(1, ATTEMPTS_PER_TICK // hosts))
        payloads = [msgpack.encode(peer.freeze()) for peer in counters[1:]]
        started = time.process_time()
        payloads.append(msgpack.encode(counters[0].freeze()))
        increment = merge_increments(
            pool.read_increment(str(origin), decoder.decode(payload))
            for origin, payload in enumerate(payloads)
        )
        course.advance(increment, now)
        # The first tick, which also reads all earlier evidence, is left out.
        spent += time.process_time() - started if now else 0
    size = len(payloads[-1])
    per_tick = spent / (TICKS - 1)
    print(f'{hosts:6} {size:11} {per_tick * 1000:10.2f}', flush=True)


def run():
    """Print the table of all measurements."""
    print(' hosts entry bytes    ms/tick')
    for hosts in HOSTS:
        measure(hosts)


if __name__ == '__main__':
    run()
