"""Play some seeds of the soak for a short time."""

from tests.soak.soak import SoakCase

SECONDS = 12


class SoakTest(SoakCase):
    """Draw troubles that no list of the platform holds."""

    def check(self, seed):
        plan, violations = self.run_plan(seed, SECONDS)
        self.assertEqual(violations, [], plan)

    def test_crashing_requests_while_all_hosts_are_killed(self):
        # Broken by hosts that did not screen crashing requests.
        self.check(2)

    def test_crashing_requests_during_restarts_and_resets(self):
        # The same, with a store that refuses.
        self.check(4)
