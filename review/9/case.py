"""The store turns away the hosts that watch it, before a change."""

import asyncio
import sys
import time
from contextlib import suppress
from copy import deepcopy
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'harness-2'))

from standins import (
    AppServer,
    fetch,
    make_caller_headers,
    run_case,
)

HOSTS = 9
KINDS = ('config', 'servers', 'rollouts')
# Longer than a host watches without an answer.
WATCH_SECONDS = 2.2
CONFIG_SECONDS = 2.0
TURNED_AWAY_SECONDS = 9.0
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'reserve',
            'host': 'desk.example',
            'path_prefix': '/reserve/',
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 400,
            'priority': 2,
            'service': 'ledger',
            'max_attempts': 1,
            'auth_exempt': False,
        }
    ],
    'services': [
        {'name': 'ledger', 'health_path': '/health'},
        {'name': 'archive', 'health_path': '/health'},
        {'name': 'catalogue', 'health_path': '/health'},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {'name': 'depot', 'api_keys': ['key-1']},
        {'name': 'clinic', 'api_keys': ['key-2']},
    ],
}


def make_next(version, service, keys):
    """Return a version whose route goes to a service, with some keys."""
    configuration = deepcopy(CONFIGURATION)
    configuration['version'] = version
    configuration['routes'][0]['service'] = service
    configuration['tenants'] = [
        tenant
        for tenant in configuration['tenants']
        if tenant['api_keys'][0] in keys
    ]
    return configuration


def list_watchers(store):
    """Return the hosts that watch the configuration."""
    now = time.monotonic()
    return {
        host
        for (host, kind), began in store.watches.items()
        if kind == 'config' and now - began < WATCH_SECONDS
    }


def release(deployment):
    """Order a roll-out: a version, its first server and a configuration."""
    store = deployment.store
    server = deployment.servers[-1]
    store.put('config', 'main', make_next(2, 'ledger', {'key-1', 'key-2'}))
    store.put('servers', server.name, server.describe() | {'version': 'v2'})
    order = {'service': 'catalogue', 'target': 'v2', 'duration_s': 30}
    store.put('rollouts', 'catalogue', order)


async def wait_watching(store, hosts):
    """Wait until the hosts watch again what has changed."""
    for _ in range(1000):
        if all(
            store.watches.get((host, kind), 0) > store.changes[kind]
            for host in hosts
            for kind in KINDS
        ):
            return
        await asyncio.sleep(0.005)
    raise TimeoutError('the hosts do not watch')


async def reserve(gateway, key, results):
    """Send one reservation; store when it was sent and its status."""
    headers = make_caller_headers(key)
    attempt_id = headers['X-Monsoonwall-Attempt-Id']
    sent = time.time()
    status = 0
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(2):
            answer = await fetch(
                gateway.ports['front'], 'POST', '/reserve/1', headers, b'x'
            )
            status = answer[0]
    results[attempt_id] = sent, status, key, gateway.name


async def play(deployment):
    """Return whether the change is in force everywhere in time."""
    old = AppServer('ledger', 'i-0', 'zone-a')
    new = AppServer('archive', 'i-1', 'zone-a')
    first = AppServer('catalogue', 'i-2', 'zone-a')
    second = AppServer('catalogue', 'i-3', 'zone-a')
    store = deployment.store
    await deployment.start(
        HOSTS, [old, new, first, second], CONFIGURATION, ('zone-a',)
    )
    store.delete('servers', second.name)
    await asyncio.sleep(12)
    watchers = list_watchers(store)
    deployment.record(f'watching hosts: {sorted(watchers)}')
    release(deployment)
    deployment.record('version 2 and a roll-out are ordered')

    await asyncio.sleep(0.3)
    await wait_watching(store, watchers)
    if deployment.trouble:
        store.turn_away(watchers)
        deployment.record('the store turns the watching hosts away')
    await asyncio.sleep(0.05)
    store.put('config', 'main', make_next(3, 'archive', {'key-1'}))
    acknowledged = time.time()
    deployment.record('version 3 is acknowledged')
    others = [
        gateway
        for gateway in deployment.gateways
        if gateway.name not in watchers
    ]
    results = {}
    calls = []
    for number in range(250):
        gateway = others[number % len(others)]
        key = f'key-{1 + number // len(others) % 2}'
        calls.append(asyncio.ensure_future(reserve(gateway, key, results)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*calls)
    await asyncio.sleep(
        max(0, TURNED_AWAY_SECONDS - (time.time() - acknowledged))
    )
    store.hear_all()
    ran_old = {attempt_id for attempt_id, _ in old.runs}
    late = []
    for attempt_id, (sent, status, key, name) in results.items():
        age = sent - acknowledged
        stale = attempt_id in ran_old
        if stale and age > CONFIG_SECONDS:
            late.append(age)
            deployment.record(
                f'sent {age:.3f} s after the acknowledgement to {name} with '
                f'{key}: {status}, run by the service of version 2'
            )
    last = max(
        (results[attempt_id][0] - acknowledged for attempt_id in ran_old),
        default=0,
    )
    deployment.record(f'last one run by the old service: {last:.3f} s after')
    deployment.record(f'{len(late)} of {len(results)} requests ran too late')
    deployment.record('rule CONFIG was broken' if late else 'rule held')
    return not late


if __name__ == '__main__':
    run_case(Path(__file__).parent, play)
