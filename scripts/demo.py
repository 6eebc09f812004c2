"""Run the example deployments on simulated servers and send them calls.

With --keep the deployments run until Ctrl-C, so that calls and operators'
commands can be tried by hand.
"""

import signal
import sys
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from msgspec import json

from tests.standins.deployment import (
    API_KEY,
    ROOT,
    Deployment,
    Reply,
    wait_until,
)
from tests.standins.ports import find_free_port

KEEP_FLAG = '--keep'


@dataclass(frozen=True)
class Example:
    """Name an example configuration and the targets of its demo calls."""

    name: str
    model_route: str
    service: str
    claimed_path: str


EXAMPLES = (
    Example('association', 'hotline', 'ledger', '/reservations'),
    Example('hivatal', 'foreman-query', 'registry', '/certificates'),
)


def run_demo(keep: bool) -> None:
    """Start each example, send calls, and print commands to try by hand."""
    deployments = []
    try:
        for example in EXAMPLES:
            deployment = Deployment()
            deployments.append(deployment)
            _start_example(deployment, example)
            _call_example(deployment, example)
        if keep:
            _print('The deployments keep running. Press Ctrl-C to stop them.')
            signal.pause()
    except KeyboardInterrupt:
        _print('Stopping.')
    finally:
        for deployment in deployments:
            deployment.__exit__()


def _start_example(deployment: Deployment, example: Example) -> None:
    path = ROOT / 'examples' / f'{example.name}.json'
    document = json.decode(path.read_bytes())
    # The examples hold only digests of API keys. Give the first workspace a
    # key that this script knows.
    workspace = next(iter(document['workspaces'].values()))
    workspace['api_key_sha256'] = sha256(API_KEY.encode()).hexdigest()
    _start_servers(deployment, document)
    deployment.start_platform()
    deployment.put_configuration(document)
    servers = document['backend_servers'].values()
    zones = sorted({server['zone'] for server in servers})
    _start_entry_hosts(deployment, zones)
    _print(
        f'\n== {example.name}: {len(servers)} backend servers and '
        f'{len(zones)} entry hosts in {len(zones)} zones'
    )


def _start_servers(deployment: Deployment, document: dict[str, Any]) -> None:
    services = document['services']
    for name, server in document['backend_servers'].items():
        if services[server['service']]['kind'] == 'model':
            deployment.start_engine(name, server['version'])
        else:
            deployment.start_ledger(name)
        server['address'] = f'127.0.0.1:{deployment.ports[name]}'


def _start_entry_hosts(deployment: Deployment, zones: list[str]) -> None:
    hosts = [f'entry-{zone}' for zone in zones]
    # Choose all mesh ports first, as each host is started with the addresses
    # of all others.
    for host in hosts:
        deployment.mesh_ports[host] = find_free_port()
    for host, zone in zip(hosts, zones, strict=True):
        deployment.start_entry(host, zone)
    deployment.wait_ready(*hosts)


def _call_example(deployment: Deployment, example: Example) -> None:
    hosts = [name for name in deployment.ports if name.startswith('entry-')]
    _wait_for_servers(deployment, hosts[0], example)
    streamed = deployment.send(
        hosts[0],
        'POST',
        '/v1/chat/completions',
        {
            'model': example.model_route,
            'messages': [{'role': 'user', 'content': 'Is the desk open?'}],
            'max_tokens': 8,
            'stream': True,
        },
    )
    events = streamed.body.decode().strip().split('\n\n')
    _print(f'a streamed response from {hosts[0]}, {len(events)} events:')
    _print(f'   {events[0]}\n   ...\n   {events[-1]}')
    for host in hosts[:2]:
        reply = _send_claim(deployment, host, example)
        _print(
            f'response of {host} to the call with key demo-1: {reply.body!r}'
        )
    executions = _count_executions(deployment, 'demo-1')
    _print(f'the backend servers executed that call {executions} time(s)')
    _print_hints(deployment, hosts[0], example)


def _wait_for_servers(
    deployment: Deployment, host: str, example: Example
) -> None:
    wait_until(
        lambda: (
            deployment.send(
                host,
                'POST',
                '/v1/completions',
                {
                    'model': example.model_route,
                    'prompt': 'hello',
                    'max_tokens': 1,
                },
            ).status
            == 200
        )
    )


def _send_claim(deployment: Deployment, host: str, example: Example) -> Reply:
    return deployment.send(
        host,
        'POST',
        f'/services/{example.service}{example.claimed_path}',
        {'packets': 4},
        {'Idempotency-Key': 'demo-1'},
    )


def _count_executions(deployment: Deployment, key: str) -> int:
    total = 0
    for name in deployment.ports:
        if name.startswith(('ledger', 'registry')):
            control_state: Any = deployment.send(
                name, 'GET', '/control'
            ).read_json()
            total += sum(
                call['key'] == key for call in control_state['executed']
            )
    return total


def _print_hints(deployment: Deployment, host: str, example: Example) -> None:
    port = deployment.ports[host]
    _print(f'with {KEEP_FLAG}, from another shell:')
    _print(
        f'   curl -N http://127.0.0.1:{port}/v1/completions '
        f'-H "Authorization: Bearer {API_KEY}" -d '
        f'\'{{"model": "{example.model_route}", "prompt": "hello", '
        '"max_tokens": 20, "stream": true}\''
    )
    _print(f'   .venv/bin/monsoonwall status --entry_address=127.0.0.1:{port}')
    _print(f'   curl http://127.0.0.1:{port}/metrics')


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    run_demo(KEEP_FLAG in sys.argv)
