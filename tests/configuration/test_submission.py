"""Test patches on a store that loses, delays and refuses calls."""

import asyncio
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from monsoonwall.clocks import ManualClock
from monsoonwall.configuration import record, submission
from monsoonwall.configuration.outcomes import PatchEnding
from monsoonwall.configuration.stored import decode_stored
from monsoonwall.configuration.submission import PatchRequest, PatchSubmitter
from monsoonwall.platform.objects import (
    ObjectStore,
    StoredObject,
    StoreFailure,
)
from tests.configuration.strategies import (
    EMPTY,
    make_successor,
    make_workspace_patch,
    names,
    weights,
)

faults = st.sampled_from(
    ('none', 'none', 'unavailable', 'lost', 'lost_after', 'late', 'stale')
)
submissions = st.lists(
    st.tuples(names, weights, st.integers(-1, 1)), min_size=1, max_size=5
)


class FaultyStore(ObjectStore):
    """Store one object, with faults taken from a script."""

    def __init__(self, script=()):
        self.script = list(script)
        self.version = 0
        self.contents = [b'']
        self.delayed_writes = []

    async def read(self, key, reason):
        fault = await self.step()
        if fault in {'unavailable', 'lost', 'lost_after', 'late'}:
            return Failure(StoreFailure.lost)
        version = max(0, self.version - (fault == 'stale'))
        if not version:
            return Failure(StoreFailure.missing)
        return Success(StoredObject(key, version, self.contents[version]))

    async def create(self, key, content, reason):
        return await self.update(key, content, 0, reason)

    async def update(self, key, content, version, reason):
        fault = await self.step()
        if fault == 'unavailable':
            return Failure(StoreFailure.unavailable)
        if fault == 'late':
            self.delayed_writes.append((content, version))
        if fault in {'lost', 'late'}:
            return Failure(StoreFailure.lost)
        written = self.write(content, version)
        if fault == 'lost_after':
            return Failure(StoreFailure.lost)
        if not written:
            return Failure(StoreFailure.conflict)
        return Success(StoredObject(key, self.version, content))

    def write(self, content, version):
        if version != self.version:
            return False
        self.version += 1
        self.contents.append(content)
        return True

    async def step(self):
        # A delayed write may take effect at any later step.
        await asyncio.sleep(0)
        if self.delayed_writes and len(self.script) % 2:
            self.write(*self.delayed_writes.pop())
        return self.script.pop() if self.script else 'none'

    async def list_objects(self, prefix, reason):
        raise NotImplementedError

    async def delete(self, key, version, reason):
        raise NotImplementedError

    async def watch(self, key, after, deadline, reason):
        raise NotImplementedError

    def read_history(self):
        """Return the accepted patch ids, in the order of their numbers."""
        while self.delayed_writes:
            self.write(*self.delayed_writes.pop())
        if not self.version:
            return []
        stored = decode_stored(self.contents[-1]).unwrap()
        numbers = [accepted.number for accepted in stored.recent]
        assert numbers == list(range(1, stored.number + 1))
        return [accepted.patch_id for accepted in stored.recent]


def submit_all(store, requests, held=None):
    """Submit patches concurrently and return their outcomes."""

    async def gather():
        submitter = PatchSubmitter(store, ManualClock())
        return await asyncio.gather(
            *(submitter.submit(request, held) for request in requests)
        )

    with (
        patch.object(record, 'RETRY_PAUSE_SECONDS', 0),
        patch.object(submission, 'RETRY_PAUSE_SECONDS', 0),
    ):
        return asyncio.run(gather())


class SubmissionTest(unittest.TestCase):
    """Test that the reported outcomes are correct."""

    @settings(max_examples=250)
    @given(submitted=submissions, script=st.lists(faults, max_size=24))
    def test_outcomes_match_history(self, submitted, script):
        store = FaultyStore()
        submit_all(store, [make_request('first', 0)])
        store.script = list(script)
        requests = [
            make_request(f'patch-{index}', 1 + offset, name, weight)
            for index, (name, weight, offset) in enumerate(submitted)
        ]
        outcomes = submit_all(store, requests)
        history = store.read_history()
        for request, outcome in zip(requests, outcomes, strict=True):
            if outcome.ending is PatchEnding.accepted:
                number = history.index(request.patch_id) + 1
                self.assertEqual(outcome.number, number)
                self.assertEqual(request.base + 1, number)
            elif outcome.ending is not PatchEnding.unknown:
                self.assertNotIn(request.patch_id, history)
                self.assertTrue(outcome.findings)

    def test_one_concurrent_patch_is_accepted(self):
        store = FaultyStore()
        requests = [make_request(f'patch-{index}', 0) for index in range(4)]
        outcomes = submit_all(store, requests)
        endings = [outcome.ending for outcome in outcomes]
        self.assertEqual(endings.count(PatchEnding.accepted), 1)
        self.assertEqual(endings.count(PatchEnding.refused), 3)
        for outcome in outcomes:
            if outcome.ending is PatchEnding.refused:
                self.assertEqual(outcome.number, 1)
                self.assertIn('number 1, not 0', outcome.findings[0].reason)

    def test_lost_response_is_read_back(self):
        store = FaultyStore(['lost_after', 'none'])
        outcome = submit_all(store, [make_request('lost', 0)])[0]
        self.assertEqual(outcome.ending, PatchEnding.accepted)
        self.assertEqual(store.read_history(), ['lost'])

    def test_same_id_again_changes_nothing(self):
        store = FaultyStore()
        request = make_request('again', 0)
        for _ in range(2):
            outcome = submit_all(store, [request])[0]
            self.assertEqual(outcome.number, 1)
        self.assertEqual(store.read_history(), ['again'])

    def test_unreadable_object_is_replaced_by_held_configuration(self):
        store = FaultyStore()
        store.write(b'{broken', 0)
        held = make_successor(EMPTY, make_workspace_patch('depot', 1))
        request = make_request('repair', 1)
        refused = submit_all(store, [request])[0]
        self.assertEqual(refused.ending, PatchEnding.unavailable)
        repaired = submit_all(store, [request], held)[0]
        self.assertEqual(repaired.ending, PatchEnding.accepted)
        self.assertEqual(repaired.number, 2)

    def test_every_finding_is_reported(self):
        store = FaultyStore()
        broken = {
            'workspaces': {'depot': {'weight': 0}},
            'routes': {'hotline': {'service': 3}},
        }
        outcome = submit_all(store, [PatchRequest(0, 'broken', broken)])[0]
        self.assertEqual(
            [finding.place for finding in outcome.findings],
            [
                '/routes/hotline/service',
                '/workspaces/depot',
                '/workspaces/depot/weight',
            ],
        )
        self.assertEqual(store.version, 0)


def make_request(patch_id, base, name='hotline', weight=1):
    """Return a request whose patch applies to any document."""
    return PatchRequest(base, patch_id, make_workspace_patch(name, weight))
