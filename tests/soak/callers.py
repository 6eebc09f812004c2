"""Send requests from several threads and record their outcomes."""

import threading
import time
from http.client import HTTPConnection, HTTPException
from random import Random

from tests.soak.checks import KeyProbe, Outcome
from tests.standins.crashing_servers import POISON

TIMEOUT_SECONDS = 5
PAUSE_SECONDS = 0.03
PROBE_SECONDS = 0.25
# Shares of the requests: non-idempotent ones, ones with the same content from
# all callers, and ones that crash servers.
RESERVE_SHARE = 0.2
COMMON_SHARE = 0.2
CRASHING_SHARE = 0.05


class Callers:
    """Run threads that send requests to the front ports of the hosts."""

    def __init__(self, plan, front_ports):
        self.outcomes = []
        self._plan = plan
        self._front_ports = front_ports
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(plan.callers)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        random = Random(f'{self._plan.seed}/caller-{number}')
        connections = {}
        sent = 0
        while not self._stopped.is_set():
            sent += 1
            port = random.choice(self._front_ports)
            connection = connections.setdefault(
                port, HTTPConnection('127.0.0.1', port, timeout=TIMEOUT_SECONDS)
            )
            self._send_request(connection, f'c{number}-{sent}', random)
            time.sleep(random.random() * PAUSE_SECONDS)
        for connection in connections.values():
            connection.close()

    def _send_request(self, connection, attempt_id, random):
        kind, content = self._choose(attempt_id, random)
        # Connections are kept open until the host closes them.
        if connection.sock is None and not _connect(connection):
            return
        headers = {
            'Host': 'desk',
            'Api-Key': 'key',
            'X-Monsoonwall-Attempt-Id': attempt_id,
            'X-Monsoonwall-Deadline-Ms': '3000',
        }
        sent_at = time.monotonic()
        try:
            connection.request('POST', f'/{kind}/1', content, headers)
            reply = connection.getresponse()
            status, body = reply.status, reply.read()
        except (OSError, HTTPException):
            connection.close()
            status, body = 0, b''
        self.outcomes.append(
            Outcome(
                attempt_id,
                kind,
                content.decode(),
                POISON in content,
                sent_at,
                time.monotonic(),
                status,
                body,
            )
        )

    def _choose(self, attempt_id, random):
        kind = 'reserve' if random.random() < RESERVE_SHARE else 'look'
        draw = random.random()
        if self._plan.crashing_requests and draw < CRASHING_SHARE:
            number = random.randrange(self._plan.crashing_requests)
            return 'look', b'%s %d' % (POISON, number)
        if draw < CRASHING_SHARE + COMMON_SHARE:
            return kind, b'common'
        return kind, attempt_id.encode()


class KeyProber:
    """Send requests with the last revoked key to all hosts in turn."""

    def __init__(self, front_ports):
        self.probes = []
        self._front_ports = front_ports
        self._revoked = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def revoke(self, key, confirmed_at):
        """Probe this key from now on."""
        self._revoked = key, confirmed_at

    def _run(self):
        while not self._stopped.wait(PROBE_SECONDS):
            if self._revoked is not None:
                for port in self._front_ports:
                    self._probe(port, *self._revoked)

    def _probe(self, port, key, revoked_at):
        connection = HTTPConnection('127.0.0.1', port, timeout=TIMEOUT_SECONDS)
        sent_at = time.monotonic()
        headers = {
            'Host': 'desk',
            'Api-Key': key,
            'X-Monsoonwall-Attempt-Id': f'probe-{port}-{len(self.probes)}',
            'X-Monsoonwall-Deadline-Ms': '1000',
        }
        try:
            connection.request('POST', '/look/1', b'probe', headers)
            status = connection.getresponse().status
        except (OSError, HTTPException):
            status = 0
        finally:
            connection.close()
        self.probes.append(KeyProbe(key, revoked_at, sent_at, status))


def _connect(connection):
    try:
        connection.connect()
    except OSError:
        time.sleep(PAUSE_SECONDS)
        return False
    return True
