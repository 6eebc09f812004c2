"""Test the mesh with processes that are killed, stopped and partitioned."""

import signal
import time
import unittest
from itertools import combinations

from tests.standins.deployment import Deployment, wait_until
from tests.standins.ports import find_free_port
from tests.standins.relay import Relays

NAMES = ('entry-0', 'entry-1', 'entry-2', 'entry-3')
# Records should reach all hosts within about a second, and a host that stops
# silently should be removed once it times out. The limits here allow for more
# than twice these times.
PROPAGATION_SECONDS = 5
GONE_SECONDS = 15


class MeshProcessesTest(unittest.TestCase):
    """Run four hosts in three zones, each behind a network relay."""

    @classmethod
    def setUpClass(cls):
        cls.relays = cls.enterClassContext(Relays())
        cls.deployment = cls.enterClassContext(Deployment())
        cls.advertised = {name: find_free_port() for name in NAMES}
        cls.mesh_ports = {name: find_free_port() for name in NAMES}
        for name in NAMES:
            cls.relays.add(name, cls.advertised[name], cls.mesh_ports[name])
            cls.start(name)

    def setUp(self):
        for name in NAMES:
            self.wait(name, lambda state: len(state['peers']) == 3)

    @classmethod
    def start(cls, name):
        cls.deployment._start(
            name,
            'tests.standins.mesh_host',
            name,
            f'zone-{int(name[-1]) % 3}',
            str(cls.mesh_ports[name]),
            str(cls.advertised[name]),
            *(str(cls.advertised[seed]) for seed in NAMES[:2]),
        )
        cls.relays.set_process(name, cls.deployment.processes[name].pid)

    def read(self, name):
        return self.deployment.send(name, 'GET', '/control').read_json()

    def wait(self, name, condition, seconds=GONE_SECONDS):
        reached = wait_until(lambda: condition(self.read(name)), seconds)
        self.assertTrue(reached, f'{name}: {self.read(name)}')

    def publish(self, name, text):
        # Of two facts the one with the greater payload wins, so the payload
        # begins with the time.
        text = f'{time.time():.6f} {text}'
        expires = time.time() + 600
        self.deployment.control(
            name, entry=['load', text], fact=['verdict', text, expires]
        )
        return text

    def test_killed_host_is_removed_and_publishes_again(self):
        first = self.publish('entry-3', 'first')
        self.wait_entry('entry-0', 'entry-3', first)
        self.deployment.kill('entry-3')
        self.wait('entry-0', lambda state: 'entry-3' not in state['peers'])
        state = self.read('entry-0')
        self.assertNotIn('entry-3/load', state['entries'])
        self.assertEqual(state['facts'], {'verdict': first})
        self.start('entry-3')
        second = self.publish('entry-3', 'second')
        for name in NAMES:
            self.wait_entry(name, 'entry-3', second)
            self.wait_fact(name, second)

    def test_frozen_host_is_removed_and_catches_up(self):
        first = self.publish('entry-3', 'first')
        self.wait_entry('entry-0', 'entry-3', first)
        self.deployment.signal('entry-3', signal.SIGSTOP)
        self.wait('entry-0', lambda state: 'entry-3' not in state['peers'])
        second = self.publish('entry-0', 'meanwhile')
        self.deployment.signal('entry-3', signal.SIGCONT)
        self.wait_fact('entry-3', second)
        self.wait_entry('entry-0', 'entry-3', first)

    def test_leaving_host_is_removed_without_timing_out(self):
        self.deployment.signal('entry-3', signal.SIGTERM)
        for name in NAMES[:3]:
            self.wait(
                name,
                lambda state: 'entry-3' not in state['peers'],
                PROPAGATION_SECONDS,
            )
        self.deployment.kill('entry-3')
        self.start('entry-3')

    def test_partitioned_zone_catches_up(self):
        others = ('entry-0', 'entry-1', 'entry-3')
        self.relays.partition(*(('entry-2', other) for other in others))
        self.wait('entry-2', lambda state: not state['peers'])
        self.wait('entry-0', lambda state: len(state['peers']) == 2)
        outside = self.publish('entry-0', 'outside')
        self.wait_fact('entry-3', outside, PROPAGATION_SECONDS)
        inside = self.publish('entry-2', 'inside')
        self.assertEqual(self.read('entry-0')['facts'], {'verdict': outside})
        self.relays.heal()
        for name in NAMES:
            self.wait_fact(name, inside)
            self.wait_entry(name, 'entry-0', outside)
            self.wait_entry(name, 'entry-2', inside)

    def test_channels_that_fall_silent_are_replaced(self):
        """Hosts lost each other for almost a minute, until gRPC noticed."""
        self.relays.partition(*combinations(NAMES, 2))
        # Every channel carries something meanwhile, and stays blocked.
        time.sleep(2)
        self.relays.heal()
        text = self.publish('entry-0', 'after silence')
        for name in NAMES:
            self.wait_fact(name, text, PROPAGATION_SECONDS)

    def wait_fact(self, name, text, seconds=GONE_SECONDS):
        self.wait(
            name, lambda state: state['facts'] == {'verdict': text}, seconds
        )

    def wait_entry(self, name, origin, text):
        place = f'{origin}/load'
        self.wait(name, lambda state: (place, text) in state['entries'].items())
