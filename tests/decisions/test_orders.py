"""Test which orders bring engines to their declared version."""

import unittest

from hypothesis import given, settings, strategies

from monsoonwall.backends.engine import LoadReport
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    Service,
    ServiceKind,
    Version,
)
from monsoonwall.decisions.orders import list_shards, plan_orders

reports = strategies.builds(
    LoadReport,
    running=strategies.just(0),
    waiting=strategies.just(0),
    capacity=strategies.just(1),
    cached_tokens=strategies.just(0),
    versions=strategies.lists(
        strategies.sampled_from(('v1', 'v2')), unique=True
    ).map(tuple),
    leaving=strategies.booleans(),
    measured_wall=strategies.just(0),
)


def make_configuration(count):
    """Return a configuration with a number of engines in one zone."""
    service = Service(ServiceKind.model, {'v2': Version()}, 'v2')
    servers = {
        f'engine-{number}': BackendServer('assistant', 'v2', 'zone-a', '')
        for number in range(count)
    }
    return Configuration(1, {'assistant': service}, {}, {}, servers)


class OrderPlanTest(unittest.TestCase):
    """Plan orders for one zone."""

    @given(strategies.integers(0, 300))
    @settings(max_examples=30)
    def test_shards_hold_each_engine_once(self, count):
        configuration = make_configuration(count)
        shards = list_shards(configuration, 'zone-a')
        held = [name for shard in shards for name in shard.servers]
        self.assertCountEqual(held, configuration.backend_servers)
        self.assertEqual(list_shards(configuration, 'zone-b'), ())

    @given(
        strategies.lists(strategies.none() | reports, min_size=1, max_size=12)
    )
    @settings(max_examples=80)
    def test_orders_go_to_servers_without_declared_version(self, given_reports):
        configuration = make_configuration(len(given_reports))
        known = {
            f'engine-{number}': report
            for number, report in enumerate(given_reports)
            if report is not None
        }
        lacking = {
            name
            for name, report in known.items()
            if not report.leaving and 'v2' not in report.versions
        }
        for shard in list_shards(configuration, 'zone-a'):
            plan = plan_orders(configuration, shard, known, 7)
            ordered = {planned.server for planned in plan}
            self.assertLessEqual(ordered, lacking)
            self.assertEqual(bool(ordered), bool(lacking))
            self.assertEqual(
                {planned.order.fencing_number for planned in plan},
                {7} if ordered else set(),
            )
