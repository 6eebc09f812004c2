"""Test rate limits, fair shares and admission decisions."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.admission import (
    AdmissionVerdict,
    RateMeter,
    ServiceSlots,
    TokenBucket,
    choose_retry_after,
    decide_admission,
)
from monsoonwall.decisions.fairness import divide_fairly, share_limit

names = st.sampled_from(['depot', 'hotline', 'shop', 'audit'])
amounts = st.dictionaries(names, st.floats(0, 100), min_size=1)
weights = st.dictionaries(names, st.floats(0.1, 10))
demands = st.lists(st.floats(0, 1000), min_size=1, max_size=9)


def repeat_calls(times, *calls):
    """Return a list with the calls (workspace, urgent) repeated."""
    return [call for _ in range(times) for call in calls]


class FairnessTest(unittest.TestCase):
    """Check shares against the definition of max-min fairness."""

    @given(st.floats(0, 200), amounts, weights)
    def test_shares_are_max_min_fair(self, total, wanted, weights_by_name):
        shares = divide_fairly(total, wanted, weights_by_name)
        self.assertAlmostEqual(
            sum(shares.values()), min(total, sum(wanted.values())), places=6
        )
        for name, share in shares.items():
            self.assertLessEqual(share, wanted[name] + 1e-9)
            if share < wanted[name] - 1e-6:
                # A demand not met has at least as much per weight as any.
                level = share / weights_by_name.get(name, 1)
                for other, other_share in shares.items():
                    self.assertLessEqual(
                        other_share / weights_by_name.get(other, 1),
                        level + 1e-6,
                    )

    @given(demands)
    def test_host_shares_add_up_to_one(self, hosts):
        shares = [
            share_limit(own, tuple(hosts[:index] + hosts[index + 1 :]))
            for index, own in enumerate(hosts)
        ]
        self.assertAlmostEqual(sum(shares), 1)
        self.assertGreater(min(shares), 0)


class TokenBucketTest(unittest.TestCase):
    """Compare the bucket with the sum of what it allowed."""

    @given(
        st.floats(1, 100),
        st.lists(st.tuples(st.floats(0, 0.5), st.floats(0.1, 3)), max_size=100),
    )
    def test_granted_amounts_stay_within_rate_and_burst(self, rate, arrivals):
        bucket = TokenBucket()
        now = 10
        granted = 0
        for pause, amount in arrivals:
            now += pause
            if not bucket.measure_wait(amount, rate, now):
                bucket.grant(amount, rate, now)
                granted += amount
        # One burst, one call beyond the burst, and the rate since then.
        self.assertLessEqual(
            granted, max(1, rate) + 3 + rate * (now - 10) + 1e-6
        )

    @given(st.floats(1, 100), st.floats(0.1, 5))
    def test_call_fits_after_the_wait(self, rate, amount):
        bucket = TokenBucket()
        bucket.grant(2 * rate, rate, 1)
        wait = bucket.measure_wait(amount, rate, 1)
        self.assertGreater(wait, 0)
        later = 1 + wait + 1e-6
        self.assertEqual(bucket.measure_wait(amount, rate, later), 0)


class RateMeterTest(unittest.TestCase):
    """Measure a steady flow."""

    @given(st.floats(1, 50))
    def test_steady_flow_reads_as_its_rate(self, rate):
        meter = RateMeter()
        now = 0
        for _ in range(int(60 * rate)):
            now += 1 / rate
            meter.add(1, now)
        self.assertAlmostEqual(meter.read(now) / rate, 1, delta=0.1)


class AdmissionTest(unittest.TestCase):
    """Fill a service with calls and check which are still admitted."""

    def admit_calls(self, arrivals, capacity=40, weights_by_name=None):
        """Return the calls held after (workspace, urgent) arrivals."""
        held = {}
        wanted = {}
        batch = 0
        for workspace, _ in arrivals:
            wanted[workspace] = wanted.get(workspace, 0) + 1
        verdicts = []
        for workspace, urgent in arrivals:
            slots = ServiceSlots(
                capacity, 1, batch, 0, held, wanted, weights_by_name or {}
            )
            verdict = decide_admission(slots, workspace, urgent)
            verdicts.append(verdict)
            if verdict is AdmissionVerdict.admitted:
                held[workspace] = held.get(workspace, 0) + 1
                batch += not urgent
        return held, verdicts

    def test_batch_calls_leave_slots_for_urgent_calls(self):
        held, verdicts = self.admit_calls(repeat_calls(500, ('depot', False)))
        self.assertIs(verdicts[-1], AdmissionVerdict.full)
        slots = ServiceSlots(40, 1, sum(held.values()), 0, held, {}, {})
        self.assertIs(
            decide_admission(slots, 'depot', True), AdmissionVerdict.admitted
        )

    def test_small_workspace_is_admitted_alongside_large_one(self):
        batch_of_ten = (*repeat_calls(9, ('large', True)), ('small', True))
        arrivals = repeat_calls(50, *batch_of_ten)
        _, verdicts = self.admit_calls(arrivals)
        small = [
            verdict
            for (name, _), verdict in zip(arrivals, verdicts, strict=True)
            if name == 'small'
        ]
        # The small workspace wants 50 calls and the large one 450 of at
        # least 40 slots. With equal weights the small one should get more
        # than a third of the slots.
        self.assertGreaterEqual(small.count(AdmissionVerdict.admitted), 13)
        self.assertIn(AdmissionVerdict.over_share, verdicts)

    @given(st.lists(st.tuples(names, st.booleans()), max_size=200))
    def test_never_more_than_twice_the_capacity(self, arrivals):
        held, _ = self.admit_calls(arrivals, capacity=20)
        self.assertLessEqual(sum(held.values()), 40)

    @given(st.floats(0, 1000), st.floats(0, 1))
    def test_retry_after_is_bounded(self, wait, jitter):
        self.assertGreaterEqual(choose_retry_after(wait, jitter), 0.5)
        self.assertLessEqual(choose_retry_after(wait, jitter), 30)
