"""Evacuate a zone, and start cold servers, before several gateways."""

import threading
import time

from tests.gateway.processes import GatewayProcessCase
from tests.gateway.test_gateway_processes import CONFIGURATION, AppServer
from tests.standins.deployment import send, wait_until
from tests.standins.raw_server import make_response

COLD_RATE = 3.0
COLD_SECONDS = 3.0
# What users allow a cold server to get within one second.
ALLOWED_IN_A_SECOND = 1.5 * COLD_RATE + 5
EVACUATION_SECONDS = 5.0
HOSTS = 3


class RecordingServer(AppServer):
    """Record when requests arrive."""

    def __init__(self):
        self.arrivals = []
        super().__init__()

    def make_response(self, attempt_id):
        self.arrivals.append(time.monotonic())
        return make_response(b'found', attempt_id=attempt_id)

    def count_largest_second(self):
        return max(
            (
                sum(begin <= arrival < begin + 1 for arrival in self.arrivals)
                for begin in self.arrivals
            ),
            default=0,
        )


class EvacuationProcessTest(GatewayProcessCase):
    """Send steadily through several hosts to the servers of two zones."""

    def setUp(self):
        super().setUp()
        self.servers = [RecordingServer() for _ in range(2)]
        for server in self.servers:
            self.addCleanup(server.close)
        service = {
            'name': 'app',
            'cold_start_s': COLD_SECONDS,
            'cold_per_s': COLD_RATE,
        }
        configuration = {**CONFIGURATION, 'services': [service]}
        self.control(objects=[['config', 'main', configuration]])
        self.announce(0, 'zone-b')
        self.ports = []
        for number in range(HOSTS):
            seeds = [ports['control'] for ports in self.ports[:1]]
            _, ports = self.start_gateway(f'edge-{number}', seeds)
            self.ports.append(ports)
        for ports in self.ports:
            self.wait_ready(ports)
            self.assertTrue(
                wait_until(
                    lambda host=ports: self.count_peers(host) == HOSTS - 1
                )
            )
        # Hosts use cold servers once they know the fleet.
        time.sleep(2)
        self.stopped = threading.Event()
        self.addCleanup(self.stopped.set)
        for ports in self.ports:
            threading.Thread(target=self.send_steadily, args=(ports,)).start()

    def announce(self, index, zone, cold_seconds=0):
        spec = {
            'service': 'app',
            'address': f'127.0.0.1:{self.servers[index].port}',
            'zone': zone,
            'state': 'ready',
            'slots': 8,
            'born': index + 1,
            'cold_remaining_ms': cold_seconds * 1000,
        }
        self.control(objects=[['servers', f'i-{index}', spec]])

    def send_steadily(self, ports):
        number = 0
        while not self.stopped.is_set():
            headers = {
                'Host': 'desk',
                'Api-Key': 'key',
                'X-Monsoonwall-Attempt-Id': f'{ports["front"]}-{number}',
                'X-Monsoonwall-Deadline-Ms': '2000',
            }
            send(ports['front'], 'GET', '/look/1', headers=headers)
            number += 1
            time.sleep(0.02)

    def test_evacuated_zone_gets_nothing_and_its_servers_return_cold(self):
        evacuated, other = self.servers
        self.assertTrue(wait_until(lambda: evacuated.arrivals))
        self.control(objects=[['evacuations', 'zone-b', {}]])
        # The only server that is left is cold.
        self.announce(1, 'zone-a', COLD_SECONDS)
        time.sleep(EVACUATION_SECONDS)
        arrived = len(evacuated.arrivals)
        self.assertTrue(wait_until(lambda: len(other.arrivals) > 20))
        self.assertEqual(len(evacuated.arrivals), arrived)
        evacuated.arrivals.clear()
        # Now only the servers of the zone that returns are left.
        self.control(deleted=[['evacuations', 'zone-b'], ['servers', 'i-1']])
        self.assertTrue(wait_until(lambda: evacuated.arrivals))
        time.sleep(COLD_SECONDS)
        self.stopped.set()
        cold_until = evacuated.arrivals[0] + COLD_SECONDS
        evacuated.arrivals = [
            arrival for arrival in evacuated.arrivals if arrival < cold_until
        ]
        self.assertLessEqual(
            evacuated.count_largest_second(), ALLOWED_IN_A_SECOND
        )
