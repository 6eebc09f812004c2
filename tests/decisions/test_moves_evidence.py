"""Check that increments count each published attempt exactly once."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from monsoonwall.configuration.model import BackendServer
from monsoonwall.decisions.evidence import (
    MAX_GROUPS,
    EvidenceCounter,
    EvidencePool,
    ServerGroups,
    Side,
    sum_evidence,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Priority,
    ServerChoice,
)

HOSTS = st.sampled_from(('entry-0', 'entry-1', 'entry-2'))
SIDES = st.sampled_from(Side)
ENDINGS = st.sampled_from(AttemptEnding)
IGNORED = {
    AttemptEnding.busy,
    AttemptEnding.reclaimed,
    AttemptEnding.cut,
    AttemptEnding.cancelled,
}


def make_record(ending=AttemptEnding.completed, content='a', server='e-1'):
    """Return an ended attempt."""
    call = Call(
        'entry-0.1',
        'depot',
        'hotline',
        'assistant',
        Priority.interactive,
        True,
        None,
        100,
        content,
    )
    choice = ServerChoice(server, 'zone-a', 'v2')
    return AttemptRecord(call, 1, choice, 0, 0.2, 1, 5, 10, 0, ending)


class EvidenceMachine(RuleBasedStateMachine):
    """Count attempts on three hosts and read their counters in any order.

    The sum of all increments must equal the attempts that were published.
    """

    @initialize()
    def start(self):
        self.counters = {}
        self.epoch = 0
        self.pool = EvidencePool()
        self.unread = {}
        self.expected = Counter()
        self.found = Counter()

    @rule(host=HOSTS, side=SIDES, ending=ENDINGS)
    def count(self, host, side, ending):
        if host not in self.counters:
            self.restart(host)
        self.counters[host].count_attempt(make_record(ending), side, 0)
        ended = Counter(ended=side is Side.new)
        if ending not in IGNORED:
            ended[side] += 1
        self.unread[host].update(ended)

    @rule(host=HOSTS)
    def restart(self, host):
        """Restart a host's counters at zero; unpublished counts are lost."""
        self.epoch += 1
        self.counters[host] = EvidenceCounter(self.epoch)
        self.unread[host] = Counter()

    @rule(host=HOSTS)
    def read(self, host):
        if host not in self.counters:
            return
        increment = self.pool.read_increment(host, self.counters[host].freeze())
        self.expected.update(self.unread[host])
        self.unread[host] = Counter()
        self.found['ended'] += increment.ended_new
        for cell in increment.cells:
            self.found[cell.key.side] += cell.trials

    @invariant()
    def check_increments(self):
        if hasattr(self, 'found'):
            assert +self.found == +self.expected


class EvidenceMachineTest(EvidenceMachine.TestCase):
    """Run the state machine."""

    settings = settings(max_examples=60, stateful_step_count=30)


class EvidenceTest(unittest.TestCase):
    """Check the sums of evidence and the groups of servers."""

    def make_evidence(self, *trial_counts):
        """Return the evidence of one host for each number of trials."""
        return [self.make_host_evidence(trials) for trials in trial_counts]

    def make_host_evidence(self, trials):
        counter = EvidenceCounter(trials)
        for _ in range(trials):
            counter.count_attempt(make_record(), Side.new, 0)
        return counter.freeze()

    def test_zone_summary_counts_growth_alone(self):
        pool = EvidencePool()
        three_hosts = sum_evidence(self.make_evidence(2, 3, 4))
        self.assertEqual(three_hosts.cells[0].trials, 9)
        # The hosts may have been read one by one before.
        self.assertEqual(
            pool.read_summary_increment('zone/a', three_hosts).cells, ()
        )
        two_hosts = sum_evidence(self.make_evidence(2, 3))
        self.assertEqual(
            pool.read_summary_increment('zone/a', two_hosts).cells, ()
        )
        grown = sum_evidence(self.make_evidence(2, 5))
        increment = pool.read_summary_increment('zone/a', grown)
        self.assertEqual(increment.cells[0].trials, 2)

    def test_servers_share_groups_only_beyond_the_maximum(self):
        servers = {
            f'engine-{index}': BackendServer('assistant', 'v2', 'zone-a', '')
            for index in range(40)
        }
        few = ServerGroups(dict(list(servers.items())[:9]), 'assistant', 'v2')
        self.assertEqual(
            len({few.find(f'engine-{index}') for index in range(9)}), 9
        )
        many = ServerGroups(servers, 'assistant', 'v2')
        groups = {many.find(name) for name in servers}
        self.assertEqual(groups, set(range(MAX_GROUPS)))
