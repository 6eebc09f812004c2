"""Test plans for the number of servers in each zone."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoonwall.decisions.fleet import (
    DemandPeak,
    FleetBounds,
    ZoneFleet,
    estimate_demand,
    plan_zones,
)

PRICES = {'a': 0.85, 'b': 1.2, 'c': 1.0}
BOUNDS = FleetBounds(1, 12, True, PRICES)
FLEETS = st.builds(ZoneFleet, st.integers(0, 12), st.integers(0, 12))
# Time to start a server, and without spot servers after the last reclaim.
BOOT_SECONDS, UNAVAILABLE_SECONDS = 4, 14
# Zones by the second in which their spot servers are reclaimed.
RECLAIMS = {10: 'a', 16: 'b'}
# Price of a spot server, as a part of an on-demand server's.
SPOT_PRICE = 0.15


def make_fleets(spot, on_demand=0):
    """Return equal fleets for all zones."""
    return dict.fromkeys(PRICES, ZoneFleet(on_demand, spot))


class PlanTest(unittest.TestCase):
    """Check single plans."""

    @given(
        st.integers(0, 4),
        st.integers(1, 12),
        st.booleans(),
        st.fixed_dictionaries(dict.fromkeys(PRICES, FLEETS)),
        st.floats(0, 100),
        st.sets(st.sampled_from(sorted(PRICES))),
    )
    def test_plan_stays_within_bounds(
        self, least, more, spot, running, busy_servers, exhausted
    ):
        bounds = FleetBounds(least, least + more, spot, PRICES)
        plan = plan_zones(bounds, running, busy_servers, exhausted)
        for fleet in plan.values():
            total = fleet.on_demand + fleet.spot
            self.assertTrue(least <= total <= bounds.max_servers)
            self.assertTrue(spot or not fleet.spot)

    def test_estimated_demand_keeps_existing_server_count(self):
        plan = plan_zones(BOUNDS, make_fleets(0, 2), estimate_demand(6))
        self.assertEqual({fleet.spot for fleet in plan.values()}, {3})

    def test_little_demand_needs_one_server_a_zone(self):
        plan = plan_zones(BOUNDS, make_fleets(1), 0.1)
        self.assertEqual(set(plan.values()), {ZoneFleet(0, 1)})

    def test_other_zones_replace_exhausted_ones(self):
        running = {**make_fleets(4), 'a': ZoneFleet(0, 0)}
        plan = plan_zones(BOUNDS, running, 2, {'a'})
        self.assertEqual(plan['b'].spot, 8)

    def test_evacuated_zone_uses_up_the_spare(self):
        """The loss of a zone is prepared for, so that none is ordered anew."""
        usual = plan_zones(BOUNDS, make_fleets(4), 2)
        left = FleetBounds(1, 12, True, {'b': 1.2, 'c': 1.0})
        running = {zone: usual[zone] for zone in left.prices}
        self.assertEqual(plan_zones(left, running, 2, evacuated=1), running)
        last = FleetBounds(1, 12, True, {'c': 1.0})
        plan = plan_zones(last, {'c': usual['c']}, 2, evacuated=2)
        self.assertEqual(plan['c'], ZoneFleet(0, 8))
        none = FleetBounds(1, 12, True, {})
        self.assertEqual(plan_zones(none, {}, 2, evacuated=3), {})

    def test_usual_load_needs_no_on_demand_servers(self):
        plan = plan_zones(BOUNDS, make_fleets(6), 2)
        self.assertEqual(set(plan.values()), {ZoneFleet(0, 4)})

    def test_two_reclaimed_zones_add_on_demand_servers(self):
        running = {**make_fleets(0), 'c': ZoneFleet(0, 6)}
        plan = plan_zones(BOUNDS, running, 2)
        self.assertEqual(sum(fleet.on_demand for fleet in plan.values()), 3)
        # Zones without spot servers and with low prices come first.
        self.assertGreaterEqual(plan['a'].on_demand, plan['c'].on_demand)

    def test_two_more_zones_may_be_lost_while_one_is_exhausted(self):
        """In one run, all zones were reclaimed within six seconds."""
        running = {**make_fleets(3), 'c': ZoneFleet(0, 0)}
        calm = plan_zones(BOUNDS, running, 1.5)
        self.assertEqual(sum(fleet.on_demand for fleet in calm.values()), 0)
        prepared = plan_zones(BOUNDS, running, 1.5, {'c'})
        self.assertEqual(sum(fleet.on_demand for fleet in prepared.values()), 2)

    def test_on_demand_servers_are_not_crowded_out_by_spot(self):
        """Orders for reclaimed spot servers once used up a zone's maximum."""
        bounds = FleetBounds(1, 6, True, PRICES)
        running = {**make_fleets(0), 'c': ZoneFleet(0, 6)}
        plan = plan_zones(bounds, running, 2.2)
        self.assertEqual(sum(fleet.on_demand for fleet in plan.values()), 3)

    def test_single_zone_keeps_on_demand_servers(self):
        bounds = FleetBounds(1, 12, True, {'a': 1})
        plan = plan_zones(bounds, {'a': ZoneFleet(0, 9)}, 2)
        self.assertEqual(plan['a'].on_demand, 3)

    def test_peak_is_kept_and_expires(self):
        peak = DemandPeak()
        peak.record(0, 0)
        self.assertFalse(peak.is_established(50))
        for now, busy_servers in ((50, 1), (60, 5), (70, 2)):
            peak.record(busy_servers, now)
        self.assertFalse(peak.is_established(57))
        self.assertTrue(peak.is_established(58))
        self.assertEqual(peak.read(), 5)
        peak.record(1, 85)
        self.assertEqual(peak.read(), 2)


class ReclaimSimulationTest(unittest.TestCase):
    """Simulate reclaims of two zones, six seconds apart.

    No spot servers are available meanwhile. The plan by demand is compared
    with one on-demand server and the maximum of spot servers in each zone.
    """

    def simulate(self, plan):
        """Return the cost and the least number of servers that ran."""
        fleets = make_fleets(5)
        starting = []
        cost, fewest = 0, 99
        for second in range(60):
            reclaimed = RECLAIMS.get(second)
            if reclaimed:
                fleets[reclaimed] = ZoneFleet(fleets[reclaimed].on_demand, 0)
            fleets = self.add_started(fleets, starting, second)
            for zone, wanted in plan(fleets).items():
                unavailable = 10 <= second < 16 + UNAVAILABLE_SECONDS
                fleets[zone] = self.order(
                    zone, fleets[zone], wanted, starting, unavailable, second
                )
            running = sum(
                fleet.on_demand + fleet.spot for fleet in fleets.values()
            )
            fewest = min(fewest, running)
            cost += sum(
                PRICES[name] * (fleet.on_demand + SPOT_PRICE * fleet.spot)
                for name, fleet in fleets.items()
            )
        return cost, fewest

    def add_started(self, fleets, starting, second):
        """Return the fleets with the servers that are up from this second."""
        for ready_second, zone, fleet in starting:
            if ready_second == second:
                fleets[zone] = ZoneFleet(
                    fleets[zone].on_demand + fleet.on_demand,
                    fleets[zone].spot + fleet.spot,
                )
        return fleets

    def order(self, zone, current, wanted, starting, unavailable, second):
        """Start missing servers; return the fleet without superfluous ones."""
        booting = [
            fleet
            for ready_second, other_zone, fleet in starting
            if other_zone == zone and ready_second > second
        ]
        on_demand = wanted.on_demand - current.on_demand
        on_demand -= sum(fleet.on_demand for fleet in booting)
        spot = 0 if unavailable else wanted.spot - current.spot
        spot -= sum(fleet.spot for fleet in booting)
        ordered = ZoneFleet(max(0, on_demand), max(0, spot))
        if ordered != ZoneFleet(0, 0):
            starting.append((second + BOOT_SECONDS, zone, ordered))
        return ZoneFleet(
            min(current.on_demand, wanted.on_demand),
            min(current.spot, wanted.spot),
        )

    def test_planning_by_demand_costs_less_and_keeps_enough(self):
        cost, fewest = self.simulate(
            lambda fleets: plan_zones(BOUNDS, fleets, 2)
        )
        highest_cost, _ = self.simulate(
            lambda _fleets: dict.fromkeys(PRICES, ZoneFleet(1, 11))
        )
        self.assertLess(cost, highest_cost / 2)
        self.assertGreaterEqual(fewest, 3)
