"""Test facts that were replaced by ones that expire sooner."""

import unittest

from benchmarks.fleet import Fleet
from monsoonwall.mesh.board import Fact


class ExpiredFactsTest(unittest.TestCase):
    """Replace a fact on one of two hosts, and let the later one expire."""

    def test_replaced_fact_does_not_return_after_the_later_one_expired(self):
        fleet = Fleet()
        informed = fleet.start('host-0', 'zone')
        other = fleet.start('host-1', 'zone')
        earlier = Fact('verdict', 'key', b'a', fleet.now + 17.0)
        for host in (informed, other):
            host.merge_fact(earlier, fleet.now)
        informed.merge_fact(
            Fact('verdict', 'key', b'b', fleet.now + 1.0), fleet.now
        )
        fleet.now += 2
        for host in (informed, other):
            host.store.begin_round(fleet.now, fleet.now)
        fleet.exchange(informed, other, ())
        self.assertEqual(informed.store.facts.read('verdict', fleet.now), ())


if __name__ == '__main__':
    unittest.main()
