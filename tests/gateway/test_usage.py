"""Test that each window's counts are reported once, by any lease holder."""

import unittest
from dataclasses import replace

from monsoonwall.clocks import ManualClock
from monsoonwall.gateway.duties import DutyEnding, LeaseHolder
from monsoonwall.gateway.settings import Bounds
from monsoonwall.gateway.usage import (
    USAGE_KIND,
    UsageCounter,
    UsageReporter,
    merge_usage,
)
from monsoonwall.mesh.board import Entry
from monsoonwall.platform.objects import StoreFailure
from tests.gateway.fakes import FakeBoard, MemoryStore, RecordingDuties

BOUNDS = Bounds(usage_window_seconds=5, usage_late_seconds=10)
START_WALL = 1000
# The number of the window that contains this time.
WINDOW = START_WALL // 5


class UsageTest(unittest.IsolatedAsyncioTestCase):
    """Count requests on two hosts, which hold the lease one after the other."""

    def setUp(self):
        self.clock = ManualClock(START_WALL)
        self.store = MemoryStore()
        self.duties = RecordingDuties()
        self.shared = {}
        self.shared_facts = {}
        self.boards = {}
        self.counters = {name: self.make_counter(name) for name in 'ab'}

    def make_counter(self, name):
        board = FakeBoard(name, self.shared)
        board.facts = self.shared_facts
        self.boards[name] = board
        return UsageCounter(board, self.clock, name, BOUNDS)

    def make_reporter(self, name):
        return UsageReporter(
            self.counters[name],
            self.store,
            self.duties,
            BOUNDS,
        )

    def count(self, name, workspace, times=1):
        for _ in range(times):
            self.counters[name].count(workspace)

    def end_window(self):
        self.exchange()
        self.clock.advance(7)
        self.exchange()

    async def lose_all_hosts(self):
        """Report a window, then lose all memory and what the store has kept."""
        self.count('a', 'depot', 3)
        self.end_window()
        await self.make_reporter('a').step(LeaseHolder('a', 1))
        self.store.objects.clear()
        self.shared.clear()
        self.shared_facts.clear()
        self.counters = {name: self.make_counter(name) for name in 'ab'}

    def exchange(self):
        for counter in (*self.counters.values(), *self.counters.values()):
            counter.exchange()

    def list_reports(self):
        return [
            (report.number, dict(report.counts))
            for _, report in self.duties.reports
            if report.counts
        ]

    def test_zone_summaries_are_added_up(self):
        """Each zone of a large fleet reported only its own requests."""
        self.count('a', 'depot', 3)
        self.count('b', 'depot', 2)
        self.exchange()
        payloads = [entry.payload for entry in self.shared.values()]
        key = str(WINDOW % 4)
        zone = Entry('zone/far', USAGE_KIND, key, merge_usage(payloads))
        self.shared[USAGE_KIND, 'zone/far', key] = zone
        self.exchange()
        self.assertEqual(self.counters['a'].sum_window(WINDOW), {'depot': 10})
        # When a host leaves that zone, its counts are kept.
        reduced = merge_usage(payloads[:1])
        self.shared[USAGE_KIND, 'zone/far', key] = replace(
            zone, payload=reduced
        )
        self.exchange()
        self.assertEqual(self.counters['a'].sum_window(WINDOW), {'depot': 10})

    async def test_counts_of_all_hosts_are_reported_once(self):
        self.count('a', 'depot', 3)
        self.count('b', 'depot', 2)
        self.count('b', 'desk', 1)
        self.end_window()
        reporter = self.make_reporter('a')
        await reporter.step(LeaseHolder('a', 1))
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(
            self.list_reports(), [(WINDOW, {'depot': 5, 'desk': 1})]
        )

    async def test_next_holder_repeats_the_frozen_counts(self):
        self.count('a', 'depot', 3)
        late_counter = self.make_counter('c')
        late_counter.count('depot')
        self.end_window()
        self.duties.endings = [DutyEnding.lost for _ in range(9)]
        await self.make_reporter('a').step(LeaseHolder('a', 1))
        # Counts that arrive later do not change a frozen window.
        self.counters['c'] = late_counter
        self.exchange()
        await self.make_reporter('b').step(LeaseHolder('b', 2))
        windows = dict(self.list_reports())
        self.assertEqual(windows, {WINDOW: {'depot': 3}})
        self.assertEqual(len(set(map(str, self.list_reports()))), 1)

    async def freeze_and_lose(self, reporter):
        """Let a reporter freeze a window that the store then loses."""
        self.count('a', 'depot', 3)
        late_counter = self.make_counter('c')
        late_counter.count('depot')
        self.end_window()
        content = dict(self.store.objects)
        await reporter.step(LeaseHolder('a', 1))
        self.store.objects = content
        self.counters['c'] = late_counter
        self.exchange()

    async def test_next_holder_repeats_counts_that_the_store_has_lost(self):
        """Two holders reported a window with different counts."""
        await self.freeze_and_lose(self.make_reporter('a'))
        await self.make_reporter('b').step(LeaseHolder('b', 2))
        self.assertEqual(self.list_reports(), 2 * [(WINDOW, {'depot': 3})])

    async def test_holder_keeps_counts_that_the_store_has_lost(self):
        reporter = self.make_reporter('a')
        self.duties.endings = [DutyEnding.lost for _ in range(9)]
        await self.freeze_and_lose(reporter)
        self.shared_facts.clear()
        reporter.reset()
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(
            {str(report) for report in self.list_reports()},
            {str((WINDOW, {'depot': 3}))},
        )

    async def test_window_that_no_host_observed_is_not_reported(self):
        """New hosts reported an empty window that had been reported before.

        All hosts were killed while the store returned from an older copy.
        """
        await self.lose_all_hosts()
        self.exchange()
        self.clock.advance(2.5)
        self.exchange()
        reporter = self.make_reporter('b')
        await reporter.step(LeaseHolder('b', 2))
        reports = [report for _, report in self.duties.reports]
        self.assertEqual(
            [(report.number, dict(report.counts)) for report in reports],
            [(WINDOW, {'depot': 3})],
        )
        # The window in which the new hosts have started is reported.
        self.clock.advance(5)
        self.exchange()
        await reporter.step(LeaseHolder('b', 2))
        self.assertEqual(
            [report.number for _, report in self.duties.reports],
            [WINDOW, WINDOW + 1],
        )

    async def test_clock_error_does_not_make_a_late_host_an_observer(self):
        self.clock.advance(4)
        self.counters = {'c': self.make_counter('c')}
        self.shared.clear()
        self.count('c', 'depot')
        self.exchange()
        self.assertFalse(self.counters['c'].is_observed(WINDOW))
        # Its requests count nevertheless if another host was there.
        self.assertEqual(self.counters['c'].sum_window(WINDOW), {'depot': 1})

    async def test_window_without_requests_is_reported_as_empty(self):
        """Somebody was there and counted none, in a zone far away as well."""
        self.end_window()
        payloads = [entry.payload for entry in self.shared.values()]
        await self.make_reporter('a').step(LeaseHolder('a', 1))
        self.assertEqual(
            [
                (report.number, dict(report.counts))
                for _, report in self.duties.reports
            ],
            [(WINDOW, {})],
        )
        zone = Entry('zone/far', USAGE_KIND, '0', merge_usage(payloads))
        self.shared.clear()
        self.shared[USAGE_KIND, 'zone/far', '0'] = zone
        self.counters = {'c': self.make_counter('c')}
        self.exchange()
        self.assertTrue(self.counters['c'].is_observed(WINDOW + 1))

    async def test_report_waits_until_another_host_has_its_counts(self):
        """A holder was killed before any host had the counts it reported."""
        self.count('a', 'depot', 3)
        self.end_window()
        reporter = self.make_reporter('a')
        self.boards['a'].acknowledges = False
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(self.list_reports(), [])
        self.boards['a'].acknowledges = True
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(self.list_reports(), [(WINDOW, {'depot': 3})])

    async def test_window_is_reported_after_a_lost_write(self):
        self.count('a', 'depot', 3)
        self.end_window()
        reporter = self.make_reporter('a')
        self.store.failures = [StoreFailure.missing, StoreFailure.lost]
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(self.list_reports(), [])
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(self.list_reports(), [(WINDOW, {'depot': 3})])

    async def test_counts_of_a_host_that_is_gone_remain(self):
        self.count('a', 'depot', 3)
        self.exchange()
        for entry_key in tuple(self.shared):
            if entry_key[1] == 'a':
                self.shared.pop(entry_key)
        self.counters.pop('a')
        self.end_window()
        await self.make_reporter('b').step(LeaseHolder('b', 1))
        self.assertEqual(self.list_reports(), [(WINDOW, {'depot': 3})])

    async def test_restarted_host_waits_for_the_others(self):
        self.count('b', 'depot', 3)
        self.end_window()
        # A host that had just started froze the window as one without requests.
        self.counters['a'] = self.make_counter('a')
        reporter = self.make_reporter('a')
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(self.duties.reports, [])
        self.clock.advance(2.5)
        self.exchange()
        await reporter.step(LeaseHolder('a', 1))
        self.assertEqual(self.list_reports(), [(WINDOW, {'depot': 3})])

    def test_past_windows_are_published_once(self):
        """Each host published four windows a second.

        That exceeded its share of the mesh's bandwidth.
        """
        self.count('a', 'depot', 3)
        self.exchange()
        self.clock.advance(5)
        before = dict(self.shared)
        self.count('a', 'depot')
        self.exchange()
        changed = [
            key for key in self.shared if self.shared[key] != before.get(key)
        ]
        # Host b had no request in this window, which it publishes as well.
        self.assertEqual(
            sorted(changed),
            [(USAGE_KIND, name, str((WINDOW + 1) % 4)) for name in 'ab'],
        )

    def test_windows_settle_sooner_without_relays(self):
        """Windows must be reported early where no relays delay the counts.

        All hosts were killed four seconds after the end of a window that was
        not reported yet.
        """
        self.clock.advance(7)
        self.assertEqual(self.counters['a'].find_settled_window(), WINDOW)
        zone = Entry('zone/far', USAGE_KIND, '0', merge_usage([]))
        self.shared[USAGE_KIND, 'zone/far', '0'] = zone
        self.exchange()
        self.assertEqual(self.counters['a'].find_settled_window(), WINDOW - 1)

    def test_windows_ignore_clock_steps(self):
        """After steps of the clocks, a day's windows were off by a third."""
        clock = SteppingClock(START_WALL)
        counter = UsageCounter(FakeBoard('c', self.shared), clock, 'c', BOUNDS)
        clock.step = 60
        counter.count('depot')
        counter.exchange()
        self.assertEqual(counter.sum_window(WINDOW), {'depot': 1})
        self.assertEqual(counter.find_settled_window(), WINDOW - 2)


class SteppingClock(ManualClock):
    """Clock whose wall time can be stepped."""

    step = 0

    def read_wall(self):
        return super().read_wall() + self.step
