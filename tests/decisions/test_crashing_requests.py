"""Check which requests are suspected and convicted of crashing servers."""

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
    classify_content,
)

HOSTS = 3


@dataclass
class Host:
    """Hold the records that have reached one entry host."""

    history: CrashHistory = field(default_factory=lambda: CrashHistory({}, {}))

    def receive(self, kind, record):
        """Keep the latest record of each content and server."""
        table = getattr(self.history, kind)
        by_server = table.setdefault(record.content_key, {})
        server = getattr(record, 'server', '')
        known = by_server.get(server)
        if known is None or get_time(record) > get_time(known):
            by_server[server] = record


def get_time(record):
    """Return the time of a crash, or of a completed attempt's start."""
    return getattr(record, 'crashed_wall', record.started_wall)


@dataclass
class Run:
    """Hold one running attempt; an isolated one is for a suspect."""

    content: str
    host: int
    started: float
    isolated: bool


class Fleet:
    """Run requests on servers that crash under the contents in ``poison``.

    Records reach the other hosts with a delay. Callers send their requests
    again to any host.
    """

    def __init__(self, poison):
        self.poison = poison
        self.hosts = [Host() for _ in range(HOSTS)]
        self.undelivered = []
        self.now = 1000.0
        self.lost = dict.fromkeys(poison, 0)
        self.refused = []

    def run_batch(self, requests):
        """Run requests (content, host) on one server, suspects on their own."""
        shared = []
        for content, host in requests:
            suspicion = classify_content(
                self.hosts[host].history, content, self.now
            )
            if suspicion is Suspicion.convicted:
                self.refused.append(content)
            elif suspicion is Suspicion.suspect:
                self.run_server([Run(content, host, self.now, True)])
            else:
                shared.append(Run(content, host, self.now, False))
        self.run_server(shared)

    def run_server(self, runs):
        """Run all on one server; the first poisonous one crashes it."""
        self.now += 1
        poisonous = [run for run in runs if run.content in self.poison]
        server = f'server-{self.now}'
        if poisonous:
            self.lost[poisonous[0].content] += 1
        for run in runs:
            if poisonous:
                kind = 'crashes'
                record = CrashRecord(
                    self.now, run.started, server, run.content, run.isolated
                )
            elif run.isolated:
                kind, record = 'clears', ClearRecord(run.started, run.content)
            else:
                continue
            self.hosts[run.host].receive(kind, record)
            self.undelivered.append((kind, record))

    def deliver_records(self):
        for kind, record in self.undelivered:
            for host in self.hosts:
                host.receive(kind, record)
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
    """Check the state of requests after crashes and completions.

    A crash record holds the crash, the start, the server, the content and
    whether the request ran isolated; a clear record the start and the content.
    """

    @settings(max_examples=300)
    @given(rounds)
    def test_at_most_two_servers_are_lost_and_others_served(self, plan):
        fleet = Fleet({'poison'})
        for requests in plan:
            # A caller sends its request again only after it has failed.
            fleet.run_batch(list(dict(requests).items()))
            fleet.deliver_records()
        self.assertLessEqual(fleet.lost['poison'], 2)
        self.assertEqual(set(fleet.refused) - {'poison'}, set())

    def test_conviction_when_suspicion_arrived_late(self):
        """The second host ran the request before it knew of the suspicion."""
        host = Host()
        for record in (
            CrashRecord(10, 5, 's1', 'poison', False),
            CrashRecord(10, 4, 's1', 'draft', False),
            CrashRecord(12, 11, 's2', 'draft', True),
            CrashRecord(12, 11.5, 's2', 'poison', False),
        ):
            host.receive('crashes', record)
        self.assertIs(
            classify_content(host.history, 'draft', 13), Suspicion.suspect
        )
        self.assertIs(
            classify_content(host.history, 'poison', 13), Suspicion.convicted
        )

    def test_order_of_records_does_not_matter(self):
        records = [
            ('crashes', CrashRecord(10, 5, 's1', 'a', False)),
            ('crashes', CrashRecord(20, 15, 's2', 'a', True)),
            ('clears', ClearRecord(12, 'a')),
        ]
        for ordered in (records, list(reversed(records))):
            host = Host()
            for kind, record in ordered:
                host.receive(kind, record)
            suspicion = classify_content(host.history, 'a', 30)
            self.assertIs(suspicion, Suspicion.convicted)

    def test_last_started_of_two_suspects_is_convicted(self):
        host = Host()
        for content, started in (('draft', 5), ('poison', 19)):
            host.receive(
                'crashes',
                CrashRecord(20, started, 's1', content, True),
            )
        self.assertIs(
            classify_content(host.history, 'draft', 21), Suspicion.suspect
        )
        self.assertIs(
            classify_content(host.history, 'poison', 21), Suspicion.convicted
        )

    def test_outage_of_many_servers_convicts_nothing(self):
        host = Host()
        for number in range(5):
            content = f'draft-{number}'
            host.receive(
                'crashes',
                CrashRecord(20, 5, f's{number}', content, True),
            )
        for number in range(5):
            suspicion = classify_content(host.history, f'draft-{number}', 21)
            self.assertIs(suspicion, Suspicion.suspect)

    def test_copies_that_crash_servers_at_once_are_convicted(self):
        host = Host()
        for number in range(3):
            crashed = 20 + number / 10
            host.receive(
                'crashes', CrashRecord(crashed, 19.9, f's{number}', 'a', False)
            )
            host.receive(
                'crashes', CrashRecord(crashed, 5, f's{number}', 'b', False)
            )
        host.receive('clears', ClearRecord(20.5, 'b'))
        suspicion = classify_content(host.history, 'a', 21)
        self.assertIs(suspicion, Suspicion.convicted)
        suspicion = classify_content(host.history, 'b', 21)
        self.assertIs(suspicion, Suspicion.none)

    def test_common_request_on_two_lost_servers_is_not_convicted(self):
        host = Host()
        for server, crashed in (('s1', 20), ('s2', 20.05)):
            host.receive(
                'crashes', CrashRecord(crashed, 19, server, 'a', False)
            )
        suspicion = classify_content(host.history, 'a', 21)
        self.assertIs(suspicion, Suspicion.suspect)

    def test_request_that_completes_elsewhere_is_not_convicted(self):
        host = Host()
        host.receive('crashes', CrashRecord(20, 19, 's1', 'a', False))
        host.receive('crashes', CrashRecord(20.3, 20.1, 's2', 'a', True))
        suspicion = classify_content(host.history, 'a', 21)
        self.assertIs(suspicion, Suspicion.convicted)
        host.receive('clears', ClearRecord(20.2, 'a'))
        suspicion = classify_content(host.history, 'a', 21)
        self.assertIs(suspicion, Suspicion.suspect)

    def test_suspicions_and_convictions_expire(self):
        host = Host()
        host.receive('crashes', CrashRecord(20, 5, 's1', 'a', True))
        host.receive('crashes', CrashRecord(20, 5, 's1', 'b', False))
        later = 20 + CONVICTION_SECONDS
        self.assertIs(
            classify_content(host.history, 'a', later), Suspicion.none
        )
        later = 20 + SUSPICION_SECONDS
        self.assertIs(
            classify_content(host.history, 'b', later), Suspicion.none
        )
