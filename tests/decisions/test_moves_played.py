"""Run a few seeded simulations of the move benchmark."""

import unittest

from benchmarks.move_scenarios import HIVATAL, SCENARIOS, MoveSimulation
from benchmarks.version_moves import FixedStepCourse
from monsoonwall.decisions.moves import Phase

BAD_SEEDS = range(3)
GOOD_SEEDS = range(1)


def simulate_move(kind, seed, *course):
    """Simulate one move of a kind, with another course if one is given."""
    return MoveSimulation(HIVATAL, SCENARIOS[kind](), seed, *course).run()


class PlayedMovesTest(unittest.TestCase):
    """Check that bad versions are withdrawn and good ones accepted."""

    def test_bad_versions_are_withdrawn(self):
        for kind, make_scenario in SCENARIOS.items():
            if make_scenario().good:
                continue
            for seed in BAD_SEEDS:
                with self.subTest(kind=kind, seed=seed):
                    self.assertIs(
                        simulate_move(kind, seed).phase, Phase.withdrawn
                    )

    def test_good_versions_are_done_on_time(self):
        for kind, make_scenario in SCENARIOS.items():
            if not make_scenario().good:
                continue
            for seed in GOOD_SEEDS:
                with self.subTest(kind=kind, seed=seed):
                    result = simulate_move(kind, seed)
                    self.assertIs(result.phase, Phase.done)
                    self.assertTrue(result.on_time)

    def test_fixed_steps_decide_wrongly(self):
        """Fixed steps accept a slow version and withdraw a good one.

        This shows that the scenarios are hard for a simpler roll-out.
        """
        slow = simulate_move('slow at once', 0, FixedStepCourse)
        self.assertIs(slow.phase, Phase.done)
        overload = simulate_move('good, overload', 0, FixedStepCourse)
        self.assertIs(overload.phase, Phase.withdrawn)
