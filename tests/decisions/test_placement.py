"""Test the choice of servers where responses start first."""

import unittest
from collections import Counter
from heapq import heappop, heappush
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.placement import (
    Candidate,
    choose_server,
    estimate_start,
    sample_servers,
)

candidates = st.builds(
    Candidate,
    server=st.sampled_from(('s1', 's2', 's3', 's4')),
    same_zone=st.booleans(),
    slots=st.integers(1, 64),
    running=st.integers(0, 100),
    waiting_tokens=st.floats(0, 1e6),
    new_tokens=st.floats(0, 6e4),
    tokens_per_second=st.floats(4000, 4e5),
    busy_seconds=st.floats(0, 1),
    failing=st.floats(0, 1),
    ejected=st.booleans(),
)


def choose_naively(offered):
    """Return the first server of the least cost, by a plain loop."""
    best, best_cost = None, None
    any_available = any(not server.ejected for server in offered)
    for server in sorted(offered, key=lambda candidate: candidate.server):
        if server.ejected and any_available:
            continue
        cost = (
            server.waiting_tokens + server.new_tokens
        ) / server.tokens_per_second
        if server.running + 1 > server.slots:
            cost += (
                (server.running + 1 - server.slots)
                * server.busy_seconds
                / server.slots
            )
        cost += 0 if server.same_zone else 0.01
        cost += 0.012 * server.running / server.slots
        cost += server.failing
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best


class ChoiceTest(unittest.TestCase):
    """Compare the choice with a plain loop."""

    @given(
        st.lists(
            candidates,
            max_size=6,
            unique_by=lambda candidate: candidate.server,
        )
    )
    def test_choice_is_the_same_as_of_a_plain_loop(self, offered):
        chosen = choose_server(offered)
        expected = choose_naively(offered)
        if expected is None:
            self.assertIsNone(chosen)
            return
        self.assertEqual(chosen.start_seconds, estimate_start(expected))

    @given(st.lists(candidates, min_size=1, max_size=6))
    def test_ejected_servers_only_if_all_are_ejected(self, offered):
        chosen = choose_server(offered)
        ejected_by_server = {
            candidate.server: candidate.ejected for candidate in offered
        }
        if ejected_by_server[chosen.server] and len(ejected_by_server) == len(
            offered
        ):
            self.assertTrue(all(ejected_by_server.values()))


class UnevenPromptsSimulationTest(unittest.TestCase):
    """Simulate prompts of very different sizes at 90% of capacity.

    24 prompts per second arrive at four servers, each of which computes
    ``rate`` tokens per second.
    """

    servers = 4
    rate = 40_000.0

    def simulate(self, by_tokens):
        """Return the 95th percentile of the seconds until a response starts."""
        random = Random(3)
        free_at = [float(0) for _ in range(self.servers)]
        starts = []
        waiting = [[] for _ in range(self.servers)]
        waits, now = [], 0
        for _ in range(4000):
            now += random.expovariate(24)
            tokens = min(54_600, random.lognormvariate(8.0, 1.2))
            while starts and starts[0][0] <= now:
                _, server, size = heappop(starts)
                waiting[server].remove(size)
            offered = [
                Candidate(
                    server=str(index),
                    same_zone=True,
                    slots=64,
                    running=len(waiting[index]),
                    waiting_tokens=sum(waiting[index]) if by_tokens else 0,
                    new_tokens=tokens if by_tokens else 0,
                    tokens_per_second=self.rate,
                )
                for index in range(self.servers)
            ]
            server = int(choose_server(offered).server)
            start = max(now, free_at[server]) + tokens / self.rate
            free_at[server] = start
            waiting[server].append(tokens)
            heappush(starts, (start, server, tokens))
            waits.append(start - now)
        waits.sort()
        return waits[int(len(waits) * 0.95)]

    def test_counting_tokens_beats_counting_requests(self):
        self.assertLess(
            self.simulate(by_tokens=True), self.simulate(by_tokens=False)
        )


class StaleLoadSimulationTest(unittest.TestCase):
    """Simulate a fleet whose hosts learn of each other's load a second late.

    200 hosts send 80 prompts per second to 20 servers, at 70% of their
    prefill capacity, and add their own recent requests to the reported load.
    """

    hosts, servers, seconds = 200, 20, 20
    rate, tokens, prompts_per_second = 48_000.0, 8400, 80

    def simulate(self, fleet_size):
        """Return the mean seconds until a response starts."""
        random = Random(5)
        names = [f's{number}' for number in range(self.servers)]
        waiting = dict.fromkeys(names, float(0))
        reported = dict(waiting)
        own = {}
        waits = []
        for step in range(self.seconds * self.prompts_per_second):
            if step % self.prompts_per_second == 0:
                reported = dict(waiting)
                own = {}
            sent = own.setdefault(random.randrange(self.hosts), Counter())
            sampled = sample_servers(names, fleet_size, random)
            chosen = choose_server(
                [
                    Candidate(
                        name,
                        True,
                        64,
                        0,
                        reported[name] + sent[name],
                        self.tokens,
                        self.rate,
                    )
                    for name in sampled
                ]
            ).server
            sent[chosen] += self.tokens
            waiting[chosen] += self.tokens
            waits.append(waiting[chosen] / self.rate)
            for name in names:
                computed = self.rate / self.prompts_per_second
                waiting[name] = max(0, waiting[name] - computed)
        return sum(waits) / len(waits)

    def test_sampling_spreads_the_load(self):
        among_all = self.simulate(fleet_size=1)
        among_few = self.simulate(fleet_size=self.hosts)
        self.assertLess(among_few, among_all / 2)

    def test_small_fleets_consider_all_servers(self):
        names = [f's{number}' for number in range(12)]
        sampled = sample_servers(names, 9, Random(1))
        self.assertEqual(set(sampled), set(names))

    @given(st.integers(1, 100), st.integers(1, 2000), st.randoms())
    def test_sample_is_of_the_servers(self, count, hosts, random):
        names = [f's{number}' for number in range(count)]
        sampled = sample_servers(names, hosts, random)
        self.assertTrue(set(sampled) <= set(names))
        self.assertEqual(len(set(sampled)), len(sampled))
        self.assertGreaterEqual(len(sampled), min(2, count))
