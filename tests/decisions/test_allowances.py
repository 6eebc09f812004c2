"""Keep workspaces within their limits over all hosts."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.allowances import Allowance, Limit, choose_share

RATE, BURST = 80_000, 80_000
demands = st.lists(st.floats(0, 1e6), min_size=1, max_size=12)


class ShareTest(unittest.TestCase):
    """Divide a rate among hosts."""

    @given(demands)
    def test_parts_of_hosts_that_agree_add_up_to_one(self, told):
        parts = [
            choose_share(one, (*told[:at], *told[at + 1 :]), len(told))
            for at, one in enumerate(told)
        ]
        self.assertAlmostEqual(sum(parts), 1)

    @given(st.floats(0, 1e6), demands)
    def test_host_that_misses_others_takes_an_even_part(self, own, peers):
        hosts = len(peers) + 2
        self.assertEqual(choose_share(own, tuple(peers), hosts), 1 / hosts)


class AllowanceTest(unittest.TestCase):
    """Grant requests from one host's part."""

    @given(
        st.lists(
            st.tuples(st.floats(0, 0.5), st.integers(1, 60_000)), max_size=60
        ),
        st.booleans(),
    )
    def test_granted_stays_within_rate_and_burst(self, requests, full):
        limit = Limit(rate=10_000, burst=20_000)
        allowance = Allowance(full=full)
        now, granted, largest = 0, 0, 0
        for pause, units in requests:
            now += pause
            if allowance.take(units, limit, now) == 0:
                granted += units
                largest = max(largest, units)
        # One request may go into debt.
        self.assertLessEqual(granted, limit.burst + limit.rate * now + largest)

    def test_refused_request_may_come_back_when_told(self):
        limit = Limit(rate=1000, burst=2000)
        allowance = Allowance(full=True)
        self.assertEqual(allowance.take(2000, limit, 0), 0)
        wait = allowance.take(500, limit, 0)
        self.assertGreater(wait, 0)
        self.assertEqual(allowance.take(500, limit, wait + 0.01), 0)

    def test_request_that_did_not_run_costs_nothing(self):
        limit = Limit(rate=1, burst=1000)
        allowance = Allowance(full=True)
        self.assertEqual(allowance.take(1000, limit, 0), 0)
        allowance.give_back(1000)
        self.assertEqual(allowance.take(1000, limit, 0), 0)

    def test_request_above_the_burst_passes_at_some_time(self):
        limit = Limit(rate=1000, burst=2000)
        allowance = Allowance(full=False)
        self.assertEqual(allowance.take(50_000, limit, 10), 0)


class BurstReplayTest(unittest.TestCase):
    """Replay a workspace whose demand grows sixfold at all hosts at once.

    Hosts hear each other's demand once a second and a moment late.
    """

    def play(self, choose):
        random = Random(11)
        hosts = 9
        allowances = [Allowance(full=True) for _ in range(hosts)]
        told = [float(0) for _ in allowances]
        granted = 0
        for step in range(800):
            now = step / 100
            if step % 100 == 0:
                heard = list(told)
                told = [one.measure_demand(now) for one in allowances]
            for index, allowance in enumerate(allowances):
                if random.random() > (0.1 if step < 200 else 0.6):
                    continue
                others = (*heard[:index], *heard[index + 1 :])
                own = choose(allowance.measure_demand(now), heard[index])
                share = choose_share(own, others, hosts)
                limit = Limit(RATE * share, BURST * share)
                units = random.choice((600, 2400, 12_000))
                if allowance.take(units, limit, now) == 0:
                    granted += units
        return granted

    def test_told_demand_keeps_the_limit_where_own_demand_does_not(self):
        allowed = RATE * 8 + BURST
        slack = 0.1 * allowed + 140_000
        by_told = self.play(lambda _own, known: known)
        by_own = self.play(lambda own, _known: own)
        self.assertLessEqual(by_told, allowed + slack)
        self.assertGreater(by_own, by_told)

    def test_restarted_hosts_do_not_grant_their_bursts_again(self):
        limit = Limit(RATE / 9, BURST / 9)
        granted = {True: 0, False: 0}
        for full in granted:
            for _ in range(9):
                allowance = Allowance(full=full)
                while allowance.take(1000, limit, 0) == 0:
                    granted[full] += 1000
        self.assertLess(granted[False], granted[True] / 2)
