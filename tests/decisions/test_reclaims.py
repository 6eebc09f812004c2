"""Test the plans for streams on servers that are reclaimed."""

import unittest
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.reclaims import (
    StreamAtRisk,
    StreamMoveCosts,
    StreamMoveKind,
    StreamMoveWindow,
    estimate_transfer_seconds,
    plan_stream_moves,
)

COSTS = StreamMoveCosts()

stream_sizes = st.lists(
    st.tuples(st.integers(0, 30_000), st.integers(1, 4000)), max_size=12
)
notice_seconds = st.floats(0, 10)


def make_streams(sizes):
    """Return a stream for each pair of held and remaining tokens."""
    return [
        StreamAtRisk(f'request-{index}', held, remaining)
        for index, (held, remaining) in enumerate(sizes)
    ]


def count_recomputed(streams, kinds):
    """Return the tokens computed again, all held ones of resumed streams."""
    return sum(
        stream.held_tokens
        for stream in streams
        if kinds[stream.request_id] is StreamMoveKind.resume
    )


def find_best(streams, seconds):
    """Return the fewest tokens computed again by any set of transfers.

    It is None if not even an empty set ends in time.
    """
    best = None
    for choices in product((False, True), repeat=len(streams)):
        transferred_tokens = sum(
            stream.held_tokens
            for stream, transferred in zip(streams, choices, strict=True)
            if transferred
        )
        needed = estimate_transfer_seconds(transferred_tokens, COSTS)
        if needed <= seconds - COSTS.margin_seconds:
            recomputed = sum(
                stream.held_tokens
                for stream, transferred in zip(streams, choices, strict=True)
                if not transferred
            )
            best = recomputed if best is None else min(best, recomputed)
    return best


class PlanTest(unittest.TestCase):
    """Check constraints of plans and compare them with the best plan."""

    @given(stream_sizes, notice_seconds, st.integers(0, 50_000))
    def test_plan_keeps_its_constraints(self, sizes, seconds, under_way):
        streams = make_streams(sizes)
        window = StreamMoveWindow(100, 100 + seconds, under_way)
        plan = plan_stream_moves(streams, window, COSTS)
        by_id = {stream.request_id: stream for stream in streams}
        self.assertEqual(
            sorted(by_id), sorted(move.request_id for move in plan)
        )
        held_tokens = [by_id[move.request_id].held_tokens for move in plan]
        self.assertEqual(held_tokens, sorted(held_tokens, reverse=True))
        kinds = {move.request_id: move.kind for move in plan}
        transferred_tokens = 0
        for request_id, kind in kinds.items():
            stream = by_id[request_id]
            if kind is StreamMoveKind.finish:
                self.assertLessEqual(
                    stream.remaining_tokens * COSTS.token_seconds,
                    seconds - COSTS.margin_seconds + 1e-9,
                )
            if kind is StreamMoveKind.transfer:
                transferred_tokens += stream.held_tokens
        # Transfers fit the rate of the link until the deadline.
        if transferred_tokens:
            capacity = seconds * COSTS.transfer_rate
            self.assertLessEqual(transferred_tokens + under_way, capacity)

    @given(stream_sizes, notice_seconds)
    def test_never_worse_than_resuming_all(self, sizes, seconds):
        streams = make_streams(sizes)
        plan = plan_stream_moves(streams, StreamMoveWindow(0, seconds), COSTS)
        kinds = {move.request_id: move.kind for move in plan}
        held_tokens = sum(stream.held_tokens for stream in streams)
        self.assertLessEqual(count_recomputed(streams, kinds), held_tokens)

    @given(
        st.lists(st.integers(2000, 30_000), min_size=1, max_size=8),
        notice_seconds,
    )
    def test_saves_half_of_what_the_best_choice_saves(self, held, seconds):
        streams = make_streams([(tokens, 4000) for tokens in held])
        plan = plan_stream_moves(streams, StreamMoveWindow(0, seconds), COSTS)
        kinds = {move.request_id: move.kind for move in plan}
        best = find_best(streams, seconds)
        total = sum(held)
        saved = total - count_recomputed(streams, kinds)
        if best is not None:
            self.assertGreaterEqual(2 * saved, total - best)

    def test_passed_deadline_leaves_nothing_to_transfer(self):
        streams = make_streams([(5000, 100), (10, 1)])
        plan = plan_stream_moves(streams, StreamMoveWindow(10, 9), COSTS)
        self.assertEqual({move.kind for move in plan}, {StreamMoveKind.resume})

    def test_small_stream_resumes_since_that_costs_less(self):
        plan = plan_stream_moves(
            make_streams([(20, 4000)]), StreamMoveWindow(0, 9), COSTS
        )
        self.assertEqual([move.kind for move in plan], [StreamMoveKind.resume])

    def test_almost_ended_stream_stays(self):
        plan = plan_stream_moves(
            make_streams([(9000, 3)]), StreamMoveWindow(0, 2), COSTS
        )
        self.assertEqual([move.kind for move in plan], [StreamMoveKind.finish])
