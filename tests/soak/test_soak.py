"""Run the soak with some seeds for a short time."""

from tests.soak.soak import SoakCase

SECONDS = 12


class SoakTest(SoakCase):
    """Inject random faults, not only those that the platform lists."""

    def check(self, seed):
        plan, violations = self.run_plan(seed, SECONDS)
        self.assertEqual(violations, [], plan)

    def test_crashing_requests_while_all_hosts_are_killed(self):
        # Failed while hosts did not block crashing requests.
        self.check(2)

    def test_crashing_requests_during_restarts_and_resets(self):
        # The same failure, while the metadata store refuses calls.
        self.check(4)
