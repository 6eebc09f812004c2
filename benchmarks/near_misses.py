"""Count by how little requests have missed the bound of departures.

Reads the log lines of many hosts and compares each departure with the moment
at which the first host knew of it. Run as ``python -m benchmarks.near_misses
--bound 3 FILE...``; lines may have the time in seconds and the host before
their JSON object, as the bench of the users prints them.
"""

import argparse
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from msgspec import DecodeError, json

# Shares of the bound from which a departure counts as a near miss.
NEAR_SHARES = (0.5, 0.7, 0.85, 1)
SHOWN_LINES = 5


@dataclass(frozen=True)
class Departure:
    """State when one host knew that a server leaves, in seconds.

    ``age`` is the longest time that the host may not have known of it, and
    ``sent_at`` when it last sent the server a request. ``started_at`` is that
    of the host's process, if the logs tell.
    """

    host: str
    server: str
    started_at: float
    known_at: float
    age: float
    sent_at: float | None


@dataclass(frozen=True)
class Lateness:
    """State how much later than the first host something happened."""

    seconds: float
    at: float
    host: str
    server: str


@dataclass(frozen=True)
class LogLine:
    """Hold one line of a host's log, and when it was written."""

    at: float
    host: str
    fields: Mapping[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Decode the lines that hold a JSON object."""
    for line in lines:
        prefix, brace, content = line.partition('{')
        try:
            fields = json.decode(brace + content)
        except DecodeError:
            continue
        words = prefix.split()
        if len(words) > 1:
            yield LogLine(float(words[0]), words[1], fields)
        else:
            written_at = datetime.fromisoformat(fields['time'])
            yield LogLine(written_at.timestamp(), '', fields)


def list_departures(lines: Iterable[LogLine]) -> list[Departure]:
    """Return when each host knew of each departure."""
    departures = []
    started: dict[str, float] = {}
    for line in lines:
        if line.fields.get('message') == 'Gateway started.':
            started[line.host] = line.at
        if line.fields.get('message') != 'Departure known.':
            continue
        sent_ms = line.fields.get('last_sent_ms')
        departures.append(
            Departure(
                line.host,
                line.fields['server'],
                started.get(line.host, float('-inf')),
                line.at,
                line.fields['at_most_ms'] / 1000,
                None if sent_ms is None else line.at - sent_ms / 1000,
            )
        )
    return departures


def measure(
    departures: Iterable[Departure],
) -> tuple[list[Lateness], list[Lateness]]:
    """Return by how much later than the first host others knew, and sent.

    Counted from the start of a host that started later.
    """
    first_known: dict[str, float] = {}
    informed: dict[str, set[tuple[str, float]]] = {}
    known = []
    sent = []
    for departure in sorted(departures, key=lambda each: each.known_at):
        hosts = informed.setdefault(departure.server, set())
        process = (departure.host, departure.started_at)
        # A process that knew already tells of the server's next departure.
        if not hosts or process in hosts:
            first_known[departure.server] = departure.known_at
            hosts.clear()
        hosts.add(process)
        # A host that has restarted learns of earlier departures again.
        first = max(first_known[departure.server], departure.started_at)
        known.append(_make_lateness(departure, departure.known_at, first))
        if departure.sent_at is not None and departure.sent_at > first:
            sent.append(_make_lateness(departure, departure.sent_at, first))
    return known, sent


def print_counts(title: str, seconds: list[float], bound: float) -> None:
    """Print how many values come near the bound, and the greatest."""
    ordered = sorted(seconds)
    if not ordered:
        print(f'{title}: none')
        return
    counts = ', '.join(
        f'{sum(each > share * bound for each in ordered)} over '
        f'{share * bound:.2f} s'
        for share in NEAR_SHARES
    )
    middle = ordered[len(ordered) // 2]
    late = ordered[int(0.99 * len(ordered))]
    print(
        f'{title}: {len(ordered)}, median {middle:.3f} s, p99 {late:.3f} s, '
        f'at most {ordered[-1]:.3f} s; {counts}'
    )


def print_latest(latenesses: Iterable[Lateness]) -> None:
    """Print the greatest of them with their hosts."""
    ordered = sorted(latenesses, key=lambda each: -each.seconds)
    for each in ordered[:SHOWN_LINES]:
        moment = f'{each.seconds:.3f} s, at {each.at:.3f}'
        print(f'  {moment}: {each.host} {each.server}')


def report(lines: Iterable[LogLine], bound: float) -> None:
    """Print the near misses of some log lines."""
    kept = list(lines)
    departures = list_departures(kept)
    known, sent = measure(departures)
    print_counts('known at most', [each.age for each in departures], bound)
    print_counts(
        'known after the first', [each.seconds for each in known], bound
    )
    print_latest(known)
    print_counts('sent after the first', [each.seconds for each in sent], bound)
    print_latest(sent)
    for message in (
        'Request sent by old records.',
        'Store did not respond in time; old records stay in use.',
    ):
        ages = [
            line.fields['age_ms'] / 1000
            for line in kept
            if line.fields.get('message') == message
        ]
        print_counts(message, ages, bound)


def _make_lateness(departure: Departure, at: float, first: float) -> Lateness:
    return Lateness(at - first, at, departure.host, departure.server)


def run() -> None:
    """Read the files of the command line, or standard input."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.near_misses')
    parser.add_argument('--bound', type=float, required=True, help='seconds')
    parser.add_argument('files', nargs='*', type=Path)
    options = parser.parse_args()
    lines: Iterable[str] = sys.stdin
    if options.files:
        lines = (
            line
            for path in options.files
            for line in path.read_text(encoding='utf-8').splitlines()
        )
    report(read_lines(lines), options.bound)


if __name__ == '__main__':
    run()
