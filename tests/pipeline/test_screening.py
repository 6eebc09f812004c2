"""Screen requests by what hosts tell each other of crashes."""

import unittest

from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    SUSPICION_SECONDS,
    Suspicion,
)
from monsoonwall.pipeline.messages import AttemptEnding, ServerChoice
from monsoonwall.pipeline.screening import SuspectScreening
from tests.gateway.fakes import FakeBoard
from tests.pipeline.stages import make_call, make_record


class ScreeningTest(unittest.TestCase):
    """End attempts of one request on a host."""

    def setUp(self):
        self.clock = ManualClock(10_000)
        self.board = FakeBoard('entry-0')
        self.screening = SuspectScreening(self.board, self.clock)
        self.call = make_call(1, 'poison')

    def end_attempt(self, ending, server='s1', isolated=False):
        """Let an attempt of one second end."""
        self.clock.advance(2)
        choice = ServerChoice(server, 'zone-a', 'v1', isolated)
        self.screening.observe(
            make_record(self.call, choice, self.clock.read_monotonic(), ending)
        )

    def crash(self, server, isolated=False):
        self.end_attempt(AttemptEnding.crashed, server, isolated)
        self.screening.finish_check(
            self.screening.crash_checks.get_nowait(), crashed=True
        )

    def classify(self):
        return self.screening.classify(self.call.content_key)

    def test_recently_completed_request_is_not_suspect(self):
        self.end_attempt(AttemptEnding.completed)
        self.end_attempt(AttemptEnding.crashed)
        self.assertTrue(self.screening.crash_checks.empty())
        self.assertIs(self.classify(), Suspicion.none)
        self.clock.advance(SUSPICION_SECONDS)
        self.crash('s1')
        self.assertIs(self.classify(), Suspicion.suspect)

    def test_completion_clears_suspicion_isolated_or_not(self):
        for isolated in (True, False):
            self.clock.advance(SUSPICION_SECONDS)
            self.crash('s1')
            self.assertIs(self.classify(), Suspicion.suspect)
            self.end_attempt(AttemptEnding.completed, 's2', isolated)
            self.assertIs(self.classify(), Suspicion.none)

    def test_only_crash_records_of_convicted_requests_last_long(self):
        self.crash('s1')
        now_wall = self.clock.read_wall()
        self.assertEqual(self.list_expiries(), {now_wall + SUSPICION_SECONDS})
        self.crash('s2', isolated=True)
        self.assertIs(self.classify(), Suspicion.convicted)
        self.assertEqual(
            self.list_expiries(),
            {
                crashed_wall + CONVICTION_SECONDS
                for crashed_wall in (now_wall, self.clock.read_wall())
            },
        )

    def list_expiries(self):
        return {fact.expires_wall for fact in self.board.facts.values()}
