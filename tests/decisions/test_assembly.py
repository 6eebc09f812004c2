"""Test that disturbed streams of chunks never corrupt an answer."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from monsoonwall.decisions.assembly import Assembly, ChunkVerdict
from monsoonwall.pipeline.messages import Chunk

LENGTH = 12
TRUTH = tuple(f't{position}' for position in range(LENGTH))

seeds = st.integers(0, 2**64 - 1)


def cut_stream(random, attempt, start):
    """Return the chunks of an attempt that resumes at an offset."""
    chunks = []
    while start < LENGTH:
        end = min(LENGTH, start + random.randint(1, 4))
        chunks.append(
            Chunk('own', attempt, start, TRUTH[start:end], end == LENGTH)
        )
        start = end
    return chunks


def disturb_stream(random, chunks):
    """Return chunks with some lost, repeated, reordered or foreign."""
    sent = []
    for chunk in chunks:
        fault = random.choice(('none', 'none', 'lost', 'twice', 'foreign'))
        if fault == 'foreign':
            sent.append(Chunk('other', chunk.attempt, chunk.offset, ('f',)))
        if fault != 'lost':
            sent.append(chunk)
        if fault == 'twice':
            sent.append(chunk)
    if random.randrange(3) == 0:
        random.shuffle(sent)
    return sent


def assemble_naively(chunks):
    """Append all tokens, as a relay without checks would."""
    return [token for chunk in chunks for token in chunk.tokens]


def assemble_in_hindsight(chunks, attempt, tokens):
    """Return the longest answer that one attempt's chunks can form.

    It continues the ``tokens`` from before the attempt.
    """
    by_position = dict(enumerate(tokens))
    for chunk in chunks:
        if (chunk.request_id, chunk.attempt) == ('own', attempt):
            by_position.update(enumerate(chunk.tokens, chunk.offset))
    answer = []
    while len(answer) in by_position:
        answer.append(by_position[len(answer)])
    return answer


class InterleavingTest(unittest.TestCase):
    """Interleave the disturbed streams of several attempts at random."""

    @settings(max_examples=10_000)
    @given(seeds)
    def test_nothing_missing_repeated_or_foreign(self, seed):
        random = Random(seed)
        assembly = Assembly('own', LENGTH)
        late = []
        for attempt in range(1, 5):
            assembly.begin_attempt(attempt)
            before = tuple(assembly.tokens)
            own = disturb_stream(
                random, cut_stream(random, attempt, len(before))
            )
            arriving = own + late
            random.shuffle(arriving) if late else None
            for chunk in arriving:
                assembly.add_chunk(chunk)
            hindsight = assemble_in_hindsight(own, attempt, before)
            self.assertEqual(hindsight[: len(assembly.tokens)], assembly.tokens)
            late = random.sample(own, len(own) // 2)
        self.assertEqual(tuple(assembly.tokens), TRUTH[: len(assembly.tokens)])
        self.assertEqual(assembly.finished, len(assembly.tokens) == LENGTH)

    def test_naive_relay_corrupts_what_the_assembly_keeps(self):
        corrupted = 0
        for seed in range(1000):
            random = Random(seed)
            sent = disturb_stream(random, cut_stream(random, 1, 0))
            naive = tuple(assemble_naively(sent))
            corrupted += naive != TRUTH[: len(naive)]
        self.assertGreater(corrupted, 500)

    def test_undisturbed_stream_is_whole(self):
        assembly = Assembly('own', LENGTH)
        assembly.begin_attempt(1)
        for chunk in cut_stream(Random(0), 1, 0):
            self.assertIs(assembly.add_chunk(chunk), ChunkVerdict.taken)
        self.assertTrue(assembly.finished)


class VerdictTest(unittest.TestCase):
    """Check the verdicts on single chunks, none of which joins the answer."""

    def setUp(self):
        self.assembly = Assembly('own', LENGTH, TRUTH[:4])
        self.assembly.begin_attempt(2)

    def check_dropped(
        self, verdict, attempt, offset, *tokens, request_id='own'
    ):
        chunk = Chunk(request_id, attempt, offset, tokens)
        self.assertIs(self.assembly.add_chunk(chunk), verdict)
        self.assertEqual(tuple(self.assembly.tokens), TRUTH[:4])

    def test_chunk_of_superseded_attempt_is_late(self):
        self.check_dropped(ChunkVerdict.late, 1, 4, TRUTH[4])

    def test_chunk_sent_twice_is_repeated(self):
        self.check_dropped(ChunkVerdict.repeated, 2, 2, *TRUTH[2:4])

    def test_repetition_with_other_tokens_is_crossed(self):
        self.check_dropped(ChunkVerdict.crossed, 2, 2, 'x', 'y')

    def test_chunk_after_a_gap_is_missing(self):
        self.check_dropped(ChunkVerdict.missing, 2, 5, TRUTH[5])

    def test_chunk_of_another_request_is_foreign(self):
        self.check_dropped(ChunkVerdict.foreign, 2, 4, 'x', request_id='other')

    def test_chunk_of_an_unknown_attempt_is_foreign(self):
        self.check_dropped(ChunkVerdict.foreign, 3, 4, TRUTH[4])

    def test_chunk_past_the_limit_is_crossed(self):
        self.check_dropped(ChunkVerdict.crossed, 2, 4, *('x' * (LENGTH - 3)))

    def test_attempt_numbers_only_grow(self):
        with self.assertRaises(ValueError):
            self.assembly.begin_attempt(2)


class AssemblyMachine(RuleBasedStateMachine):
    """Send any chunk at any moment and compare the answer with the model's."""

    def __init__(self):
        super().__init__()
        self.assembly = Assembly('own', LENGTH)
        self.attempt = 1
        self.length = 0
        self.assembly.begin_attempt(1)

    @rule()
    def supersede(self):
        self.attempt += 1
        self.assembly.begin_attempt(self.attempt)

    @rule(
        attempt=st.integers(-1, 1),
        offset=st.integers(-2, 2),
        size=st.integers(0, 3),
        own=st.booleans(),
    )
    def send(self, attempt, offset, size, own):
        start = max(0, self.length + offset)
        tokens = TRUTH[start : start + size]
        finished = bool(tokens) and start + size >= LENGTH
        fits = own and not attempt and start == self.length
        fits = fits and self.length < LENGTH
        verdict = self.assembly.add_chunk(
            Chunk(
                'own' if own else 'other',
                self.attempt + attempt,
                start,
                tokens,
                finished,
            )
        )
        assert (verdict is ChunkVerdict.taken) == fits
        self.length += len(tokens) if fits else 0

    @invariant()
    def check_answer(self):
        assert tuple(self.assembly.tokens) == TRUTH[: self.length]


AssemblyMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30
)
StatefulAssemblyTest = AssemblyMachine.TestCase
