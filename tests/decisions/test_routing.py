"""Test load and cache estimates, routing and the division of polling."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from monsoonwall.decisions.cache import (
    BLOCK_WORDS,
    CacheView,
    ChangeBatch,
    PrefixChange,
    is_sampled,
    make_prefix_keys,
    sample_keys,
)
from monsoonwall.decisions.load import (
    AttemptLoad,
    ServerCounts,
    ServerLoad,
    ServerLoadTracker,
    ServerReport,
)
from monsoonwall.decisions.polling import rank_poller
from monsoonwall.decisions.routing import (
    Candidate,
    CostWeights,
    RoutingRequest,
    choose_candidate,
    choose_shortlist,
    compute_cost,
)
from tests.standins.engine import make_block_keys

words = st.lists(st.sampled_from(['hand', 'warmer', 'refill']), max_size=200)
loads = st.builds(
    ServerLoad,
    in_flight=st.integers(0, 40),
    urgent=st.integers(0, 40),
    capacity=st.integers(1, 20),
    backlog_tokens=st.integers(0, 20_000),
    urgent_tokens=st.integers(0, 20_000),
    report_age=st.floats(0, 10),
)
candidates = st.builds(
    Candidate,
    server=st.uuids().map(str),
    zone=st.sampled_from(['zone-a', 'zone-b']),
    price_per_hour=st.floats(0.1, 5),
    cached_tokens=st.integers(0, 6000),
    load=loads,
)
requests = st.builds(
    RoutingRequest,
    prompt_tokens=st.integers(0, 8000),
    urgent=st.booleans(),
    target_seconds=st.floats(0.1, 5),
    zone=st.just('zone-a'),
    seed=st.integers(0, 2**64 - 1),
    content_key=st.text(max_size=4),
)


class PrefixKeysTest(unittest.TestCase):
    """Compare prefix keys with those of the engine stand-in."""

    @given(words)
    def test_same_as_engine(self, prompt):
        text = '  '.join(prompt)
        self.assertEqual(list(make_prefix_keys(text)), make_block_keys(text))


class CacheMachine(RuleBasedStateMachine):
    """Compare a view with the cache it follows while no event is lost.

    The view must find the longest sampled prefix of a prompt that is cached.
    """

    prompts = tuple(
        sample_keys(make_prefix_keys(f'{first} ' * 400 + f'{second} ' * 800))
        for first in ('depot', 'shop')
        for second in ('log', 'record', 'setting')
    )

    def __init__(self):
        super().__init__()
        self.view = CacheView()
        self.cached = set()
        self.number = 0

    def send(self, changes):
        after = self.number
        self.number += len(changes)
        sampled = tuple(
            change for change in changes if is_sampled(change.prefix_key)
        )
        self.view.apply_batch(ChangeBatch(after, self.number, 0, sampled))

    @rule(prompt=st.sampled_from(prompts))
    def store(self, prompt):
        self.cached.update(prompt.keys)
        self.send([PrefixChange(True, key) for key in prompt.keys])

    @rule(prompt=st.sampled_from(prompts), kept=st.integers(0, 75))
    def evict(self, prompt, kept):
        # Longer prefixes are evicted with the prefix they extend.
        evicted = [
            key
            for other in self.prompts
            if other.keys[:kept] == prompt.keys[:kept]
            for key in other.keys[kept:]
        ]
        self.cached.difference_update(evicted)
        self.send([PrefixChange(False, key) for key in evicted])

    @rule(prompt=st.sampled_from(prompts))
    def compare(self, prompt):
        blocks = 0
        keys = prompt.keys
        while blocks < len(keys) and keys[blocks] in self.cached:
            blocks += 1
        known_words = self.view.count_cached_words(prompt)
        assert known_words <= blocks * BLOCK_WORDS
        unknown = keys[known_words // BLOCK_WORDS : blocks]
        assert not any(is_sampled(key) for key in unknown)
        assert self.view.trust == 1


class CacheViewTest(unittest.TestCase):
    """Check the trust after lost events and after responses."""

    def test_event_gap_lowers_trust_until_responses_confirm(self):
        keys = sample_keys(make_prefix_keys('zone ' * 1600))
        view = CacheView()
        view.add_prompt(keys)
        full_estimate = view.estimate_cached(keys)
        view.apply_batch(ChangeBatch(500, 500, 0))
        lower_estimate = view.estimate_cached(keys)
        self.assertLess(lower_estimate, full_estimate)
        for _ in range(20):
            view.update_trust(keys, lower_estimate, 1600)
        self.assertGreater(view.estimate_cached(keys), 0.95 * full_estimate)

    def test_responses_without_hits_lower_the_trust(self):
        keys = sample_keys(make_prefix_keys('zone ' * 1600))
        view = CacheView()
        view.add_prompt(keys)
        for _ in range(20):
            view.update_trust(keys, view.estimate_cached(keys), 0)
        self.assertLess(view.estimate_cached(keys), 0.5 * 1600)


class LoadMachine(RuleBasedStateMachine):
    """Compare the load estimate with the actual load from two hosts.

    A peer's counts are known as of its messages. If one message arrived just
    before the report and one after the last change, no attempt is missed or
    counted twice.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.own = 0
        self.peer = 0
        self.tracker = ServerLoadTracker()
        self.reported = False
        self.work = AttemptLoad(10, True)

    @rule(seconds=st.floats(0.01, 1))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def start(self):
        self.own += 1
        self.tracker.record_start(self.work, self.now)

    @rule()
    def end(self):
        if self.own:
            self.own -= 1
            self.tracker.record_end(self.work, self.now)

    @rule(running=st.integers(0, 30))
    def change_peer(self, running):
        self.peer = running

    @rule()
    def report(self):
        self.send_counts()
        self.now += 0.01
        running = self.own + self.peer
        self.tracker.record_report(ServerReport(running, 16, self.now))
        self.reported = True
        self.now += 0.01

    @precondition(lambda machine: machine.reported)
    @rule()
    def compare(self):
        self.send_counts()
        estimate = self.tracker.estimate(self.now).in_flight
        assert estimate == self.own + self.peer, (estimate, self.own)

    def send_counts(self):
        self.now += 0.01
        counts = ServerCounts(self.peer)
        self.tracker.record_peer_counts('peer', counts, self.now)

    @rule()
    def own_work_is_never_missed(self):
        assert self.tracker.estimate(self.now).in_flight >= self.own


class ChoiceTest(unittest.TestCase):
    """Compare the choice with the cost of every server."""

    @given(st.lists(candidates, min_size=1, max_size=8), requests)
    def test_never_far_from_the_cheapest(self, offered, request):
        weights = CostWeights()
        chosen = choose_candidate(offered, request, weights)
        least_cost = min(
            compute_cost(candidate, request, weights) for candidate in offered
        )
        cost = compute_cost(chosen, request, weights)
        self.assertLessEqual(cost, least_cost + 0.08)

    @given(candidates, requests)
    def test_worse_servers_cost_no_less(self, server, request):
        weights = CostWeights()
        cost = compute_cost(server, request, weights)
        load = server.load
        worse_servers = (
            replace(server, cached_tokens=0),
            replace(server, price_per_hour=server.price_per_hour * 2),
            replace(server, zone='zone-c'),
            replace(server, load=replace(load, in_flight=load.in_flight + 50)),
            replace(
                server,
                load=replace(load, backlog_tokens=load.backlog_tokens + 50_000),
            ),
        )
        for worse in worse_servers:
            self.assertGreaterEqual(
                compute_cost(worse, request, weights), cost - 1e-9
            )

    def test_hosts_with_same_stale_view_choose_different_servers(self):
        stale = ServerLoad(report_age=2)
        offered = [
            Candidate(f'engine-{number}', 'zone-a', 1, 0, stale)
            for number in range(6)
        ]
        request = RoutingRequest(100, True, 0.44, 'zone-a', 0, '')
        counts = {candidate.server: 0 for candidate in offered}
        for number in range(600):
            seeded = replace(request, seed=hash(number) * 2_654_435_761)
            chosen = choose_candidate(offered, seeded, CostWeights())
            counts[chosen.server] += 1
        # Equal choices would send all 600 to one server; 100 each is even.
        self.assertLess(max(counts.values()), 300)

    @given(st.integers(1, 500), st.integers(0, 2**64 - 1), st.text(max_size=4))
    def test_shortlist_is_short_and_shared_by_prefix(
        self, total, seed, affinity
    ):
        servers = [f'engine-{number}' for number in range(total)]
        shortlist = choose_shortlist(servers, seed, [affinity])
        self.assertLessEqual(len(shortlist), max(24, min(total, 24)))
        self.assertTrue(set(shortlist) <= set(servers))
        other = choose_shortlist(servers, seed + 1, [affinity])
        self.assertTrue(set(shortlist) & set(other))


class PollingTest(unittest.TestCase):
    """Check which hosts poll a server."""

    @given(st.sets(st.text(max_size=5), min_size=2, max_size=9))
    def test_two_hosts_poll_each_server(self, hosts):
        ranks = [rank_poller('engine', host, hosts) for host in hosts]
        poller_ranks = sorted(rank for rank in ranks if rank is not None)
        self.assertEqual(poller_ranks, [0, 1])


CacheMachineTest = CacheMachine.TestCase
LoadMachineTest = LoadMachine.TestCase
CacheMachineTest.settings = settings(max_examples=40)
