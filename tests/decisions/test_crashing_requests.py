"""Test the judgement of requests that crash servers."""

import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonwall.decisions.crashing_requests import (
    CONVICTION_SECONDS,
    SUSPICION_SECONDS,
    ClearRecord,
    CrashHistory,
    CrashRecord,
    Suspicion,
    judge_content,
)

HOSTS = 3


@dataclass
class Host:
    """Hold the records that have reached one entry host."""

    history: CrashHistory = field(default_factory=lambda: CrashHistory({}, {}))

    def take(self, kind, record):
        table = getattr(self.history, kind)
        places = table.setdefault(record.content_key, {})
        place = getattr(record, 'server', '')
        known = places.get(place)
        if known is None or read_order(record) > read_order(known):
            places[place] = record


def read_order(record):
    return getattr(record, 'crashed_wall', record.started_wall)


@dataclass
class Run:
    """Hold one running attempt."""

    content: str
    host: int
    started: float
    isolated: bool


class Fleet:
    """Run requests on servers, where some contents crash theirs.

    Records reach the other hosts after a while; callers send their requests
    again, at any host, as often as they are told to.
    """

    def __init__(self, poison):
        self.poison = poison
        self.hosts = [Host() for _ in range(HOSTS)]
        self.undelivered = []
        self.now = 1000.0
        self.lost = dict.fromkeys(poison, 0)
        self.refused = []

    def run_batch(self, requests):
        """Run requests (content, host) together; those apart run alone."""
        shared = []
        for content, host in requests:
            judged = judge_content(self.hosts[host].history, content, self.now)
            if judged is Suspicion.convicted:
                self.refused.append(content)
            elif judged is Suspicion.suspect:
                self.run_server([Run(content, host, self.now, True)])
            else:
                shared.append(Run(content, host, self.now, False))
        self.run_server(shared)

    def run_server(self, runs):
        """Run all on one server; the first poisonous one ends it."""
        self.now += 1
        culprits = [run for run in runs if run.content in self.poison]
        server = f'server-{self.now}'
        if culprits:
            self.lost[culprits[0].content] += 1
        for run in runs:
            if culprits:
                kind = 'crashes'
                record = CrashRecord(
                    self.now, run.started, server, run.content, run.isolated
                )
            elif run.isolated:
                kind, record = 'clears', ClearRecord(run.started, run.content)
            else:
                continue
            self.hosts[run.host].take(kind, record)
            self.undelivered.append((kind, record))

    def deliver_records(self):
        for kind, record in self.undelivered:
            for host in self.hosts:
                host.take(kind, record)
        self.undelivered.clear()


contents = st.sampled_from(['a', 'b', 'c', 'd', 'poison'])
rounds = st.lists(
    st.lists(
        st.tuples(contents, st.integers(0, HOSTS - 1)), min_size=1, max_size=6
    ),
    min_size=4,
    max_size=12,
)


class SuspectsTest(unittest.TestCase):
    """Send crashing requests again and again."""

    @settings(max_examples=300)
    @given(rounds)
    def test_two_servers_lost_and_innocents_served(self, plan):
        fleet = Fleet({'poison'})
        for requests in plan:
            # One caller sends its request again only once it has failed.
            fleet.run_batch(list(dict(requests).items()))
            fleet.deliver_records()
        self.assertLessEqual(fleet.lost['poison'], 2)
        self.assertEqual(set(fleet.refused) - {'poison'}, set())

    def test_conviction_when_suspicion_arrived_late(self):
        host = Host()
        for record in (
            CrashRecord(10, 5, 's1', 'poison', False),
            CrashRecord(10, 4, 's1', 'draft', False),
            CrashRecord(12, 11, 's2', 'draft', True),
            CrashRecord(12, 11.5, 's2', 'poison', False),
        ):
            host.take('crashes', record)
        self.assertIs(
            judge_content(host.history, 'draft', 13), Suspicion.suspect
        )
        self.assertIs(
            judge_content(host.history, 'poison', 13), Suspicion.convicted
        )

    def test_order_of_records_does_not_matter(self):
        records = [
            ('crashes', CrashRecord(10, 5, 's1', 'a', False)),
            ('crashes', CrashRecord(20, 15, 's2', 'a', True)),
            ('clears', ClearRecord(12, 'a')),
        ]
        for turned in (records, list(reversed(records))):
            host = Host()
            for kind, record in turned:
                host.take(kind, record)
            judged = judge_content(host.history, 'a', 30)
            self.assertIs(judged, Suspicion.convicted)

    def test_last_started_of_two_suspects_is_convicted(self):
        host = Host()
        for content, started in (('draft', 5), ('poison', 19)):
            host.take(
                'crashes',
                CrashRecord(20, started, 's1', content, True),
            )
        self.assertIs(
            judge_content(host.history, 'draft', 21), Suspicion.suspect
        )
        self.assertIs(
            judge_content(host.history, 'poison', 21), Suspicion.convicted
        )

    def test_outage_of_many_servers_convicts_nothing(self):
        host = Host()
        for number in range(5):
            content = f'draft-{number}'
            host.take(
                'crashes',
                CrashRecord(20, 5, f's{number}', content, True),
            )
        for number in range(5):
            judged = judge_content(host.history, f'draft-{number}', 21)
            self.assertIs(judged, Suspicion.suspect)

    def test_copies_that_crash_servers_at_once_are_convicted(self):
        host = Host()
        for number in range(3):
            crashed = 20 + number / 10
            host.take(
                'crashes', CrashRecord(crashed, 19.9, f's{number}', 'a', False)
            )
            host.take(
                'crashes', CrashRecord(crashed, 5, f's{number}', 'b', False)
            )
        host.take('clears', ClearRecord(20.5, 'b'))
        judged = judge_content(host.history, 'a', 21)
        self.assertIs(judged, Suspicion.convicted)
        judged = judge_content(host.history, 'b', 21)
        self.assertIs(judged, Suspicion.none)

    def test_common_request_on_two_lost_servers_is_not_convicted(self):
        host = Host()
        for server, crashed in (('s1', 20), ('s2', 20.05)):
            host.take('crashes', CrashRecord(crashed, 19, server, 'a', False))
        judged = judge_content(host.history, 'a', 21)
        self.assertIs(judged, Suspicion.suspect)

    def test_request_that_completes_elsewhere_is_not_convicted(self):
        host = Host()
        host.take('crashes', CrashRecord(20, 19, 's1', 'a', False))
        host.take('crashes', CrashRecord(20.3, 20.1, 's2', 'a', True))
        judged = judge_content(host.history, 'a', 21)
        self.assertIs(judged, Suspicion.convicted)
        host.take('clears', ClearRecord(20.2, 'a'))
        judged = judge_content(host.history, 'a', 21)
        self.assertIs(judged, Suspicion.suspect)

    def test_suspicions_and_convictions_expire(self):
        host = Host()
        host.take('crashes', CrashRecord(20, 5, 's1', 'a', True))
        host.take('crashes', CrashRecord(20, 5, 's1', 'b', False))
        later = 20 + CONVICTION_SECONDS
        self.assertIs(judge_content(host.history, 'a', later), Suspicion.none)
        later = 20 + SUSPICION_SECONDS
        self.assertIs(judge_content(host.history, 'b', later), Suspicion.none)
