"""Test how conclusions of moves are published, stored and lifted."""

import asyncio
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.clocks import ManualClock
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    Move,
    Service,
    ServiceKind,
    Version,
)
from monsoonwall.decisions.freshness import WorkKind
from monsoonwall.decisions.moves import Conclusion, MoveCourse, MovePlan, Phase
from monsoonwall.entry.version_moves import MoveVersionChoice, VersionMoveTask
from monsoonwall.moves.records import (
    CONCLUSION_KIND,
    ConclusionBoard,
    ConclusionStore,
)
from monsoonwall.pipeline.messages import AttemptEnding
from tests.claims.stores import FaultyStore
from tests.decisions.test_moves_evidence import make_record
from tests.mesh.local_board import LocalBoard

MOVE = Move('assistant', 'v1', 'v2', 1000, 2000)
WITHDRAWN = Conclusion(Phase.withdrawn, 'wrong answers', 1100, 7)
DONE = Conclusion(Phase.done, 'no fault found', 1900, 700)
CONCLUSIONS = st.lists(
    st.builds(
        Conclusion,
        st.sampled_from((Phase.done, Phase.withdrawn)),
        st.text(max_size=5),
        st.floats(0, 9000),
        st.integers(0, 900),
    ),
    min_size=1,
    max_size=6,
)


def make_configuration(number=1, active='v1', **moves):
    """Return a configuration with two servers of each version."""
    versions = {'v1': Version(), 'v2': Version(), 'v3': Version()}
    return Configuration(
        number,
        {'assistant': Service(ServiceKind.model, versions, active)},
        backend_servers={
            f'{version}-{zone}': BackendServer('assistant', version, zone, '')
            for version in versions
            for zone in ('zone-a', 'zone-b')
        },
        moves=moves,
    )


class ConclusionTest(unittest.TestCase):
    """Test how conclusions are combined and stored."""

    @given(CONCLUSIONS, st.randoms(use_true_random=False))
    def test_conclusions_agree_in_any_order(self, conclusions, random):
        """All hosts reach the same phase, and a withdrawal always wins."""
        phases = set()
        for _ in range(3):
            random.shuffle(conclusions)
            board = LocalBoard('entry-0')
            course = MoveCourse(MovePlan('move', MOVE, 2, 2))
            for conclusion in conclusions:
                course.conclude(conclusion)
                ConclusionBoard(board).publish_conclusion('move', conclusion)
            published = ConclusionBoard(board).read()['move']
            phases.update((course.conclusion.phase, published.phase))
        given_phases = {given.phase for given in conclusions}
        expected = max(given_phases, key=[Phase.done, Phase.withdrawn].index)
        self.assertEqual(phases, {expected})

    @given(
        CONCLUSIONS,
        st.lists(
            st.sampled_from(('ok', 'unavailable', 'lost_done', 'lost_undone'))
        ),
    )
    def test_record_keeps_withdrawal_despite_faults(self, conclusions, faults):
        """Neither failed calls nor lost responses erase a withdrawal."""
        store = FaultyStore()
        store.faults.extend(faults)
        records = ConclusionStore(store)
        for conclusion in conclusions:
            remaining_tries = len(faults) + 1
            while not asyncio.run(records.record('move', conclusion)):
                remaining_tries -= 1
                self.assertGreater(remaining_tries, 0)
        store.faults.clear()
        stored = asyncio.run(records.read('move')).unwrap()
        given_phases = {given.phase for given in conclusions}
        withdrawn = Phase.withdrawn in given_phases
        self.assertIs(stored.phase is Phase.withdrawn, withdrawn)


class VersionMoveTaskTest(unittest.TestCase):
    """Test one host's task with a local board."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.board = LocalBoard('entry-0')
        self.task = self.make_task()
        self.task.adopt(Configuration(0))

    def make_task(self, board=None, may_work=None):
        return VersionMoveTask(
            board or self.board,
            FaultyStore(),
            self.clock,
            'entry-0',
            may_work or set(WorkKind).__contains__,
        )

    def adopt(self, configuration):
        self.task.adopt(configuration)
        self.versions = MoveVersionChoice(configuration, self.task)

    def publish_conclusion(self, move, conclusion):
        identity = MovePlan('move', move, 2, 2).identity
        ConclusionBoard(self.board).publish_conclusion(identity, conclusion)

    def choose(self, number=0):
        call = replace(make_record().call, request_id=f'entry-0.{number}')
        return self.versions.choose_version(call, 0)

    def find_phase(self):
        return self.task.describe_moves()[0].phase

    def test_withdrawal_is_lifted_only_by_patch_of_the_move(self):
        """Only a patch that changes the move lifts its withdrawal."""
        self.publish_conclusion(MOVE, WITHDRAWN)
        self.adopt(make_configuration(1, move=MOVE))
        self.assertIs(self.find_phase(), Phase.withdrawn)
        self.adopt(make_configuration(2, 'v1', move=MOVE, other=MOVE))
        self.assertIs(self.find_phase(), Phase.withdrawn)
        patched_move = replace(MOVE, deadline_wall=3000)
        self.adopt(make_configuration(3, move=patched_move))
        self.assertIs(self.find_phase(), Phase.under_way)

    def test_done_move_then_next_move(self):
        """A done move counts before and after its version becomes active."""
        following = Move('assistant', 'v2', 'v3', 2000, 3000)
        self.publish_conclusion(MOVE, DONE)
        self.adopt(make_configuration(1, move=MOVE, following=following))
        self.assertEqual(self.choose(), 'v2')
        self.adopt(make_configuration(2, 'v2', following=following))
        self.assertEqual(self.choose(), 'v2')

    def test_version_after_failed_attempt(self):
        """A retry stays on the new version only if the answer has begun.

        After a withdrawal it goes to the old version in any case.
        """
        self.adopt(make_configuration(1, move=MOVE))
        call = make_record().call
        self.assertEqual(
            self.versions.choose_retry_version(call, 'v2', 0, 0), 'v1'
        )
        self.assertEqual(
            self.versions.choose_retry_version(call, 'v2', 9, 0), 'v2'
        )
        self.publish_conclusion(MOVE, WITHDRAWN)
        self.adopt(make_configuration(1, move=MOVE))
        self.assertEqual(
            self.versions.choose_retry_version(call, 'v2', 9, 0), 'v1'
        )

    def test_restarted_host_without_platform_uses_old_version(self):
        """Before it has read the platform, a new host uses the old version."""
        self.task = self.make_task()
        self.adopt(make_configuration(1, move=MOVE))
        for _ in range(100):
            self.clock.advance(1)
            self.task.decide()
            chosen = {self.choose(number) for number in range(20)}
            self.assertEqual(chosen, {'v1'})

    def test_pooled_evidence(self):
        """Hosts decide on combined evidence and publish one conclusion."""
        self.adopt(make_configuration(1, move=MOVE))
        peer = self.make_task(_SharedBoard('entry-1', self.board))
        peer.adopt(Configuration(0))
        peer.adopt(make_configuration(1, move=MOVE))
        for number in range(60):
            for task in (self.task, peer):
                observe_attempts(task, number)
                task.decide()
            self.clock.advance(1)
        self.assertIs(self.find_phase(), Phase.withdrawn)
        self.assertEqual(len(self.board.read_facts(CONCLUSION_KIND)), 1)

    def test_share_does_not_grow_under_stale_configuration(self):
        """Under a configuration that may be outdated the share never grows."""
        allowed_work = {WorkKind.move_step}
        self.task = self.make_task(may_work=allowed_work.__contains__)
        self.task.adopt(Configuration(0))
        self.adopt(make_configuration(1, move=MOVE))
        shares = []
        for second in range(1000):
            if second == 100:
                allowed_work.clear()
            self.clock.advance(1)
            for number in range(second * 5, second * 5 + 5):
                self.choose(number)
            self.task.decide()
            shares.append(self.task.describe_moves()[0].share)
        self.assertGreater(max(shares[:100]), 0)
        self.assertLessEqual(max(shares[100:]), shares[99])
        self.assertIs(self.find_phase(), Phase.under_way)


class _SharedBoard(LocalBoard):
    """Act as another host's board that shares one board's records."""

    def __init__(self, origin, shared):
        super().__init__(origin)
        self._shared = shared

    def read_entries(self, kind):
        return (*super().read_entries(kind), *self._shared.read_entries(kind))

    def publish_fact(self, fact):
        self._shared.publish_fact(fact)

    def read_facts(self, kind):
        return self._shared.read_facts(kind)


def observe_attempts(task, number):
    """Record an old version's success, and sometimes a new one's failure."""
    good = make_record(server='v1-zone-a', content=f'old {number}')
    old_choice = replace(good.choice, version='v1')
    task.observe(replace(good, choice=old_choice))
    if number % 6 == 0:
        server = ('v2-zone-a', 'v2-zone-b')[number % 12 // 6]
        task.observe(make_record(AttemptEnding.failed, f'new {number}', server))
