"""Play fleets that divide the limit of one server."""

import unittest
from dataclasses import dataclass, field, replace
from random import Random

from monsoonwall.decisions.server_limits import (
    ColdStart,
    LimitShare,
    SendBudget,
    VisibleFleet,
    compute_share,
)

WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.05
DAY_SECONDS = 80.0
START_WALL = 1_800_000_000.0


def count_allowed(limit):
    """Return how many requests the server may get in any window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_largest_window(arrivals, window_seconds=WINDOW_SECONDS):
    """Return the most arrivals in any window."""
    largest = 0
    first = 0
    for index, arrival in enumerate(arrivals):
        while arrivals[first] <= arrival - window_seconds:
            first += 1
        largest = max(largest, index - first + 1)
    return largest


@dataclass
class Host:
    """A host that always has requests for the limited server."""

    fleet: VisibleFleet
    clock_offset: float = 0
    budget: SendBudget = field(default_factory=SendBudget)
    share: LimitShare | None = None

    def send(self, limit, now):
        """Send as many requests as allowed; return their number."""
        now_wall = START_WALL + now + self.clock_offset
        sent = 0
        if self.share is None or now_wall >= self.share.ends_wall:
            self.share = compute_share('i-1', limit, self.fleet, now_wall)
        while self.budget.can_send(self.share, now):
            self.budget.spend()
            sent += 1
        return sent


def make_hosts(zones, hosts_per_zone):
    zone_names = tuple(f'zone-{zone}' for zone in range(zones))
    hosts = []
    for zone in zone_names:
        names = tuple(f'{zone}-{number}' for number in range(hosts_per_zone))
        hosts.extend(
            Host(VisibleFleet(name, zone, zone_names, names)) for name in names
        )
    return hosts


def play(hosts, limit, random, restarts=0):
    """Return when requests reach the server, in seconds."""
    arrivals = []
    steps = int(DAY_SECONDS / STEP_SECONDS)
    restart_steps = {random.randrange(steps) for _ in range(restarts)}
    for step in range(steps):
        now = step * STEP_SECONDS
        if step in restart_steps:
            random.choice(hosts).budget = SendBudget()
        random.shuffle(hosts)
        for host in hosts:
            arrivals.extend(now for _ in range(host.send(limit, now)))
    return arrivals


FLEETS = ((1, 1), (3, 2), (3, 8), (4, 18), (5, 39))
LIMITS = (0, 0.2, 0.75, 1, 1.5, 3, 7, 40, 300)


class SharedLimitTest(unittest.TestCase):
    """Count what all hosts together send to the server."""

    def test_limit_is_kept_and_used_by_fleets_of_all_sizes(self):
        for zones, hosts_per_zone in FLEETS:
            for limit in LIMITS:
                with self.subTest(
                    zones=zones, hosts_per_zone=hosts_per_zone, limit=limit
                ):
                    hosts = make_hosts(zones, hosts_per_zone)
                    arrivals = play(hosts, limit, Random(1))
                    self.assertLessEqual(
                        count_largest_window(arrivals), count_allowed(limit)
                    )
                    self.assertGreaterEqual(
                        len(arrivals), 0.6 * limit * DAY_SECONDS
                    )

    def test_limit_is_kept_while_clocks_differ_and_hosts_restart(self):
        random = Random(2)
        for limit in LIMITS:
            with self.subTest(limit=limit):
                hosts = make_hosts(3, 3)
                for host in hosts:
                    host.clock_offset = random.uniform(-0.2, 0.2)
                hosts[0].clock_offset = 2.0
                arrivals = play(hosts, limit, random, restarts=6)
                self.assertLessEqual(
                    count_largest_window(arrivals), count_allowed(limit)
                )

    def test_limit_is_kept_by_zones_that_are_cut_off_from_each_other(self):
        for limit in LIMITS:
            with self.subTest(limit=limit):
                hosts = [
                    Host(
                        VisibleFleet(
                            host.fleet.own_name,
                            host.fleet.own_zone,
                            (host.fleet.own_zone,),
                            host.fleet.zone_hosts,
                            1 / 3,
                        )
                    )
                    for host in make_hosts(3, 3)
                ]
                arrivals = play(hosts, limit, Random(3))
                self.assertLessEqual(
                    count_largest_window(arrivals), count_allowed(limit)
                )

    def test_limit_is_kept_while_views_of_the_fleet_change(self):
        random = Random(4)
        for limit in LIMITS:
            with self.subTest(limit=limit):
                hosts = make_hosts(3, 3)
                fleets = [host.fleet for host in hosts]
                arrivals = []
                for step in range(int(DAY_SECONDS / STEP_SECONDS)):
                    now = step * STEP_SECONDS
                    for host, fleet in zip(hosts, fleets, strict=True):
                        if random.random() < STEP_SECONDS:
                            # About once a second a host is missing or back.
                            visible = fleet.zone_hosts[random.randrange(2) :]
                            host.fleet = replace(
                                fleet,
                                zone_hosts=tuple({fleet.own_name, *visible}),
                            )
                            host.share = None
                        sent = host.send(limit, now)
                        arrivals.extend(now for _ in range(sent))
                self.assertLessEqual(
                    count_largest_window(arrivals), count_allowed(limit)
                )

    def test_all_hosts_get_turns(self):
        hosts = make_hosts(3, 2)
        counts = dict.fromkeys((host.fleet.own_name for host in hosts), 0)
        for step in range(int(10 * DAY_SECONDS)):
            for host in hosts:
                counts[host.fleet.own_name] += host.send(1, step)
        self.assertGreater(min(counts.values()), 0)


class ColdServerTest(unittest.TestCase):
    """Send to a server that is cold, from the hosts of a large fleet."""

    def setUp(self):
        self.hosts = make_hosts(3, 25)
        self.random = Random(5)
        self.rate = 7.7
        # What users allow within one second.
        self.bound = 1.5 * self.rate + 5

    def assert_kept(self, arrivals):
        self.assertLessEqual(count_largest_window(arrivals, 1.0), self.bound)

    def test_rate_is_kept_and_used(self):
        for host in self.hosts:
            host.clock_offset = self.random.uniform(-0.2, 0.2)
        arrivals = play(self.hosts, self.rate, self.random, restarts=40)
        self.assert_kept(arrivals)
        self.assertGreaterEqual(len(arrivals), 0.8 * self.rate * DAY_SECONDS)

    def test_rate_is_kept_by_a_fleet_cut_in_two(self):
        """One zone is cut off from two, which still hear each other."""
        names = self.hosts[0].fleet.zones
        for host in self.hosts:
            zone = host.fleet.own_zone
            zones = names[:1] if zone == names[0] else names[1:]
            host.fleet = replace(
                host.fleet, zones=zones, visible_ratio=len(zones) / len(names)
            )
        self.assert_kept(play(self.hosts, self.rate, self.random))

    def test_limit_rises_in_steps_after_the_cold_period(self):
        cold_start = ColdStart(3.0, self.rate)
        limits = [
            cold_start.compute_limit(10.0, now) for now in (9.9, 10, 11, 12)
        ]
        self.assertEqual(
            limits, [self.rate, 2 * self.rate, 4 * self.rate, None]
        )


class SendBudgetTest(unittest.TestCase):
    """Estimate when a host may send again."""

    def test_wait_ends_when_a_request_may_be_sent(self):
        fleet = VisibleFleet('a', 'zone', ('zone',), ('a',))
        budget = SendBudget()
        share = compute_share('i-1', 0.5, fleet, START_WALL)
        self.assertFalse(budget.can_send(share, 0))
        wait = budget.estimate_wait(share, 0, START_WALL)
        self.assertFalse(budget.can_send(share, wait - 0.01))
        self.assertTrue(budget.can_send(share, wait))

    def test_host_without_a_turn_waits_for_the_next_one(self):
        fleet = VisibleFleet(
            'a',
            'zone',
            ('zone',),
            ('a', *(f'b-{number}' for number in range(50))),
        )
        budget = SendBudget()
        share = compute_share('i-1', 1, fleet, START_WALL + 1)
        self.assertEqual(share.requests_per_second, 0)
        wait = budget.estimate_wait(share, 0, START_WALL + 1)
        self.assertEqual(START_WALL + 1 + wait, share.ends_wall)


if __name__ == '__main__':
    unittest.main()
