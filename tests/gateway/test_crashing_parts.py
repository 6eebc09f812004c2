"""Send requests that crash servers by one part of their prompts."""

import time

from msgspec import json

from tests.gateway import test_crashing_requests
from tests.standins.crashing_servers import POISON

# Hosts must refuse requests with the part this long after the fifth crash.
KNOWN_CRASHES = 5
CONTACT_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
SENDING_SECONDS = 9.0
PAUSE_SECONDS = 0.25


class CrashingPartTest(test_crashing_requests.CrashingServersCase):
    """Send requests of which no two are alike to hosts in turn."""

    def send_prompt(self, ports, parts, body, path):
        """Send a request whose prompt has the given shared parts."""
        names = (*parts, f'{self.sent:x}')
        headers = {
            'X-Monsoonwall-Model': 'm',
            'X-Monsoonwall-Token-Usage': '100,10',
            'X-Monsoonwall-Prompt-Prefix': ','.join(
                f'{name}:50' for name in names
            ),
        }
        body = b'%d %s' % (self.sent, body)
        return self.send_request(ports, body, path, more_headers=headers)

    def count_late_arrivals(self):
        crashes = self.servers.crashes
        if len(crashes) < KNOWN_CRASHES:
            return 0
        known_at = crashes[KNOWN_CRASHES - 1].moment + CONTACT_SECONDS
        return sum(
            arrival.moment > known_at for arrival in self.servers.arrivals
        )

    def check_part_is_blocked(self, path):
        hosts = self.start_hosts(3)
        deadline = time.monotonic() + SENDING_SECONDS
        served = []
        while time.monotonic() < deadline:
            ports = hosts[self.sent % len(hosts)]
            sound = self.send_prompt(ports, ('aa', 'cc'), b'common', path)
            served.append(sound[0] == 200)
            last = self.send_prompt(ports, ('aa', 'bad'), POISON, path)
            time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(self.count_late_arrivals(), MAX_LATE_ARRIVALS)
        self.assertEqual(last[0], 503)
        refusal = json.decode(last[1])
        self.assertEqual(refusal['error'], 'crashing_request')
        self.assertEqual(refusal['effect'], 'not_run')
        # The last half of the time begins after the part is known.
        later = served[len(served) // 2 :]
        self.assertNotIn(False, later)

    def test_part_on_an_idempotent_route_is_blocked(self):
        self.check_part_is_blocked('/look/1')

    def test_part_on_a_route_without_repeats_is_blocked(self):
        self.check_part_is_blocked('/reserve/1')

    def test_part_of_resumable_streams_is_blocked(self):
        self.check_part_is_blocked('/talk/1')
