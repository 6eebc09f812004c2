"""Run the soak with some seeds for a short time."""

from tests.soak.soak import SoakCase

SECONDS = 12


class SoakTest(SoakCase):
    """Inject random faults, not only those that the platform lists."""

    def check(self, seed):
        plan, violations = self.run_plan(seed, SECONDS)
        self.assertEqual(violations, [], plan)

    def test_crashing_requests_while_all_hosts_are_killed(self):
        # This seed failed before hosts blocked crashing requests.
        self.check(2)

    def test_crashing_requests_during_restarts_and_resets(self):
        # This seed failed likewise while the metadata store refused calls.
        self.check(4)
