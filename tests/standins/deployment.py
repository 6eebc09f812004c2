"""Run stand-ins and entry hosts as processes on loopback.

A deployment keeps the handle of every process that it starts, and kills them
all when it is closed.
"""

import os
import subprocess
import sys
import time
from dataclasses import dataclass, field
from hashlib import sha256
from http.client import HTTPConnection
from pathlib import Path

from msgspec import json

from tests.standins.ports import find_free_port

ROOT = Path(__file__).resolve().parent.parent.parent
API_KEY = 'depot-key'
START_TIMEOUT_SECONDS = 20


@dataclass(frozen=True)
class Reply:
    """An HTTP response."""

    status: int
    headers: dict
    body: bytes

    def read_json(self):
        return json.decode(self.body)


def send(port, method, path, body=None, headers=None, timeout=20):
    """Send one HTTP request to a loopback port and return the reply.

    ``body`` is encoded as JSON.
    """
    connection = HTTPConnection('127.0.0.1', port, timeout=timeout)
    try:
        content = None if body is None else json.encode(body)
        sent_headers = {'Authorization': f'Bearer {API_KEY}', **(headers or {})}
        connection.request(method, path, content, sent_headers)
        response = connection.getresponse()
        return Reply(
            response.status, dict(response.getheaders()), response.read()
        )
    finally:
        connection.close()


def wait_until(condition, seconds=START_TIMEOUT_SECONDS):
    """Poll a condition; return whether it became true within the timeout.

    An OSError counts as false: a process may not listen yet.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return True
        except OSError:
            pass
        time.sleep(0.02)
    return False


@dataclass
class Deployment:
    """The processes of one deployment and their ports, by name."""

    zones: tuple = ('zone-a', 'zone-b', 'zone-c')
    processes: dict = field(default_factory=dict)
    ports: dict = field(default_factory=dict)
    mesh_ports: dict = field(default_factory=dict)
    environment: dict = field(
        default_factory=lambda: {'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'}
    )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for name in list(self.processes):
            self.kill(name)

    def start_platform(self):
        self._start('platform', 'tests.standins.platform')
        return self.ports['platform']

    def start_cloud(self):
        self._start('cloud', 'tests.standins.cloud')
        return f'--cloud_address=127.0.0.1:{self.ports["cloud"]}'

    def start_engine(self, name, version='v1'):
        self._start(name, 'tests.standins.engine', version)

    def start_ledger(self, name):
        self._start(name, 'tests.standins.ledger')

    def start_entry(self, name, zone, *flags, command=None):
        """Start an entry host with those started before as its peers."""
        port = self.ports.get(name) or find_free_port()
        mesh_port = self.mesh_ports.get(name) or find_free_port()
        peers = ','.join(
            f'127.0.0.1:{peer_port}'
            for other, peer_port in self.mesh_ports.items()
            if other != name
        )
        self.ports[name] = port
        self.mesh_ports[name] = mesh_port
        self._spawn(
            name,
            *(command or (sys.executable, '-m', 'monsoonwall')),
            'entry',
            f'--host_name={name}',
            f'--zone={zone}',
            f'--listen_address=127.0.0.1:{port}',
            f'--mesh_address=127.0.0.1:{mesh_port}',
            f'--platform_address=127.0.0.1:{self.ports["platform"]}',
            f'--peers={peers}',
            *flags,
        )

    def wait_ready(self, *names):
        for name in names:
            if not wait_until(
                lambda host=name: self.send(host, 'GET', '/ready').status == 200
            ):
                raise AssertionError(f'{name} did not become ready')

    def send(self, name, method, path, body=None, headers=None):
        return send(self.ports[name], method, path, body, headers)

    def control(self, name, **faults):
        return self.send(name, 'POST', '/control', faults)

    def put_configuration(self, document):
        return send(
            self.ports['platform'],
            'PUT',
            '/objects/configuration/current',
            {'number': 1, **document},
        )

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def _start(self, name, module, *arguments):
        port = self.ports.get(name) or find_free_port()
        self.ports[name] = port
        self._spawn(name, sys.executable, '-m', module, str(port), *arguments)
        if not wait_until(lambda: self.send(name, 'GET', '/control')):
            raise AssertionError(f'{name} did not start')

    def _spawn(self, name, *arguments):
        environment = {**os.environ, **self.environment}
        log_path = os.environ.get('MONSOONWALL_TEST_LOG')
        with open(log_path or os.devnull, 'a', encoding='utf-8') as log_file:
            self.processes[name] = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=environment,
                stdout=log_file,
                stderr=log_file,
            )


def make_document(deployment, engines, ledgers):
    """Return a configuration with the named backend servers.

    The servers of each service are spread over the zones in turn.
    """
    zones = deployment.zones
    servers = {
        name: {
            'service': service,
            'version': 'v1',
            'zone': zones[index % len(zones)],
            'address': f'127.0.0.1:{deployment.ports[name]}',
        }
        for service, names in (('assistant', engines), ('ledger', ledgers))
        for index, name in enumerate(names)
    }
    document = {
        'services': {
            'assistant': {
                'kind': 'model',
                'versions': {'v1': {'model': 'refill-7b'}},
                'active_version': 'v1',
            },
            'ledger': {
                'kind': 'plain',
                'versions': {'v1': {}},
                'active_version': 'v1',
            },
        },
        'routes': {
            'hotline': {'service': 'assistant', 'priority': 0},
            'summary': {
                'service': 'assistant',
                'priority': 1,
                'timeout_seconds': 600,
            },
            'stock-lookup': {
                'service': 'ledger',
                'method': 'GET',
                'path_prefix': '/stock',
            },
            'stock-reservation': {
                'service': 'ledger',
                'path_prefix': '/reservations',
                'idempotent': False,
                'timeout_seconds': 5,
            },
        },
        'workspaces': {
            'depot': {
                'api_key_sha256': sha256(API_KEY.encode()).hexdigest(),
                'requests_per_second': 1000,
                'tokens_per_second': 1_000_000,
            }
        },
        'backend_servers': servers,
    }
    if not ledgers:
        # A configuration is refused if no backend server runs the active
        # version of a service.
        document['services'].pop('ledger')
        for route in ('stock-lookup', 'stock-reservation'):
            document['routes'].pop(route)
    return document


def start_small(deployment, engines=3, ledgers=2, entries=3, flags=()):
    """Start stand-ins and entry hosts, and return the configuration.

    Returns once every entry host is ready. ``flags`` go to the entry hosts.
    """
    deployment.start_platform()
    engine_names = [f'engine-{index}' for index in range(engines)]
    ledger_names = [f'ledger-{index}' for index in range(ledgers)]
    for name in engine_names:
        deployment.start_engine(name)
    for name in ledger_names:
        deployment.start_ledger(name)
    document = make_document(deployment, engine_names, ledger_names)
    deployment.put_configuration(document)
    names = [f'entry-{index}' for index in range(entries)]
    for index, name in enumerate(names):
        deployment.start_entry(
            name, deployment.zones[index % len(deployment.zones)], *flags
        )
    deployment.wait_ready(*names)
    return document
