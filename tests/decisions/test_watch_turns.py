"""Test the turns in which the hosts of a zone watch the store."""

import math
import unittest
from itertools import combinations
from random import Random

from monsoonwall.decisions.watch_turns import (
    TURNS_AT_ONCE,
    find_latest_watcher,
    find_turn,
)

TURN_SECONDS = 2.0
STEP_SECONDS = TURN_SECONDS / TURNS_AT_ONCE
# Time that publishing a change and the mesh may take, and the time within
# which it must be in force everywhere.
SPREADING_SECONDS = 1.3
WIDE_SPREADING_SECONDS = 1.8
CONFIGURATION_SECONDS = 2.0
WIDE_CONFIGURATION_SECONDS = 3.0
ZONES = 3
HOSTS_PER_ZONE = 24
# Hosts that the store no longer responds to, as a fraction of all.
SILENT_FRACTION = 0.4
OUTAGES = 2000


def make_hosts(count, zone='a'):
    return [f'edge-{zone}-{number}' for number in range(count)]


def find_reading(hosts, served, now):
    """Return when a served host of a zone next has an open watch."""
    turns = [find_turn(name, hosts, now, TURN_SECONDS) for name in served]
    return max(now, min((turn.begins_at for turn in turns), default=math.inf))


class WatchTurnsTest(unittest.TestCase):
    """Compute the turns of the hosts of a zone from their names."""

    def count_watching(self, hosts, now):
        turns = [find_turn(name, hosts, now, TURN_SECONDS) for name in hosts]
        return sum(turn.begins_at <= now for turn in turns)

    def test_a_zone_keeps_three_watches_open(self):
        for count in (1, 2, 3, 9, 39):
            expected = min(count, TURNS_AT_ONCE)
            hosts = make_hosts(count)
            for step in range(400):
                now = 1_796_598_255 + step * 0.1
                watching = self.count_watching(hosts, now)
                # The short rest of a turn is not used.
                self.assertIn(watching, {expected, expected - 1})

    def test_each_host_has_a_turn_within_the_history(self):
        """A host whose last revision is too old would list all again."""
        hosts = make_hosts(HOSTS_PER_ZONE)
        for name in hosts:
            turn = find_turn(name, hosts, 1000, TURN_SECONDS)
            self.assertLess(turn.begins_at, 1000 + 20)

    def test_hosts_with_other_clocks_only_shift_their_own_turns(self):
        hosts = make_hosts(9)
        late, *others = hosts
        self.assertLessEqual(
            find_reading(hosts, others, 1000) - 1000, STEP_SECONDS
        )
        shifted = find_turn(late, hosts, 1002, TURN_SECONDS)
        self.assertEqual(shifted.ends_at - shifted.begins_at, TURN_SECONDS)

    def test_another_host_reads_soon_whichever_hosts_are_ignored(self):
        """Only three hosts watched, and the store ignored these.

        The same holds for hosts that lost power and are not yet known to be
        gone: their turns pass without a watch.
        """
        hosts = make_hosts(9)
        phases = [1000 + phase * STEP_SECONDS / 4 for phase in range(36)]
        longest = max(
            find_reading(hosts, set(hosts).difference(ignored), now) - now
            for ignored in combinations(hosts, 3)
            for now in phases
        )
        self.assertLessEqual(longest, CONFIGURATION_SECONDS - SPREADING_SECONDS)

    def test_latest_watcher_is_the_host_whose_turn_ended_last(self):
        for count in (3, 7, 24, 39):
            hosts = make_hosts(count)
            for number in range(4 * count):
                ended_at = 1000 * STEP_SECONDS + number * STEP_SECONDS
                latest = find_latest_watcher(
                    hosts, ended_at + 0.1, TURN_SECONDS
                )
                begun = find_turn(latest, hosts, ended_at - 1.0, TURN_SECONDS)
                self.assertAlmostEqual(begun.ends_at, ended_at)

    def test_few_outages_hit_all_watching_hosts_at_once(self):
        zones = [make_hosts(HOSTS_PER_ZONE, zone) for zone in range(ZONES)]
        all_hosts = [host for hosts in zones for host in hosts]
        random = Random(1)
        silent_count = round(SILENT_FRACTION * len(all_hosts))
        deaf_outages = 0
        for _ in range(OUTAGES):
            served = set(all_hosts).difference(
                random.sample(all_hosts, silent_count)
            )
            now = 1000 + 20 * random.random()
            waiting_seconds = (
                min(
                    find_reading(hosts, served.intersection(hosts), now)
                    for hosts in zones
                )
                - now
            )
            deaf_outages += (
                waiting_seconds
                > WIDE_CONFIGURATION_SECONDS - WIDE_SPREADING_SECONDS
            )
        self.assertLessEqual(deaf_outages / OUTAGES, 0.001)


if __name__ == '__main__':
    unittest.main()
