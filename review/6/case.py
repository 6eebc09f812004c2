"""All hosts are killed while the store returns from an older copy."""

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'harness-2'))

from standins import (
    AppServer,
    fetch,
    make_caller_headers,
    run_case,
)

WINDOW_SECONDS = 5
ROUNDS = 2
# The copy that the store returns from is this old, as in the news page.
COPY_SECONDS = 9.0
AWAY_SECONDS = 0.25
# A process that was killed is restarted after a short delay.
RESTART_SECONDS = 0.1
# A round begins with a report that comes this early after its window.
EARLY_SECONDS = 2.0
# The holder of the duties looks for due reports this often. Before a round, the
# hosts are started at a time from which on it does so soon after a report has
# become due, so that a slow start of the processes matters less.
STEP_SECONDS = 0.5
EARLY_PHASE_SECONDS = 0.05
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'look',
            'host': 'desk.example',
            'path_prefix': '/look/',
            'kind': 'idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 400,
            'priority': 2,
            'service': 'ledger',
            'max_attempts': 2,
            'auth_exempt': False,
        }
    ],
    'services': [{'name': 'ledger', 'health_path': '/health'}],
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


async def call_steadily(deployment):
    """Send requests to all hosts in turn until cancelled."""
    number = 0
    while True:
        number += 1
        gateway = deployment.gateways[number % len(deployment.gateways)]
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.5):
                await fetch(
                    gateway.ports['front'],
                    'GET',
                    f'/look/{number}',
                    make_caller_headers(f'key-{number % 2 + 1}'),
                )
        await asyncio.sleep(0.03)


async def align_steps(deployment):
    """Start the hosts anew so that reports come early after their windows."""
    await wait_report(deployment)
    _, _, holder, _, accepted = deployment.cloud.reports[-1]
    phase = accepted % STEP_SECONDS
    if phase < 2 * EARLY_PHASE_SECONDS:
        return
    started_at = next(
        host.started_at for host in deployment.gateways if host.name == holder
    )
    await asyncio.gather(*(host.kill() for host in deployment.gateways))
    start_at = started_at + EARLY_PHASE_SECONDS - phase
    await asyncio.sleep((start_at - time.time()) % STEP_SECONDS)
    for host in deployment.gateways:
        await host.start()
    await deployment.wait_ready(10)
    await wait_report(deployment)
    phase = deployment.cloud.reports[-1][-1] % STEP_SECONDS
    deployment.record(f'hosts started anew; phase of reports: {phase:.3f} s')


async def wait_report(deployment):
    """Wait for the next report."""
    async with asyncio.timeout(15):
        await deployment.cloud.accepted.wait()


async def wait_early_report(deployment):
    """Wait for a report with counts that comes early after its window."""
    async with asyncio.timeout(15):
        while True:
            await deployment.cloud.accepted.wait()
            window, counts, _, _, accepted = deployment.cloud.reports[-1]
            late = accepted - (window + 1) * WINDOW_SECONDS
            if counts and late < EARLY_SECONDS:
                return


async def restart_all(deployment):
    """Kill all hosts at once and start them again after a short delay."""
    deployment.record('all hosts are killed')
    await asyncio.gather(*(host.kill() for host in deployment.gateways))
    await asyncio.sleep(RESTART_SECONDS)
    for host in deployment.gateways:
        await host.start()


def find_contradictions(deployment):
    """Return the windows for which different counts were accepted."""
    by_window = {}
    for report in deployment.cloud.reports:
        by_window.setdefault(report[0], []).append(report)
    return {
        window: reports
        for window, reports in by_window.items()
        if any(report[1] != reports[0][1] for report in reports)
    }


async def play(deployment):
    """Return whether every window was reported with one set of counts."""
    servers = [
        AppServer('ledger', f'i-{number}', zone)
        for number, zone in enumerate(('zone-a', 'zone-b', 'zone-c'))
    ]
    await deployment.start(3, servers, CONFIGURATION)
    deployment.run_task(call_steadily(deployment))
    for _ in range(ROUNDS):
        with suppress(TimeoutError):
            await align_steps(deployment)
        await asyncio.sleep(COPY_SECONDS + 1)
        with suppress(TimeoutError):
            await wait_early_report(deployment)
        if deployment.trouble:
            deployment.record(f'accepted: {deployment.cloud.reports[-1]}')
            restored = deployment.run_task(
                deployment.store.restore(
                    AWAY_SECONDS, COPY_SECONDS, ('config', 'servers')
                )
            )
            await restart_all(deployment)
            await restored
            deployment.record(f'store is back, era {deployment.store.era}')
        await asyncio.sleep(WINDOW_SECONDS + 3)
        if find_contradictions(deployment):
            break
    await asyncio.sleep(2)
    for report in deployment.cloud.reports:
        deployment.record(f'report accepted: {report}')
    for server in servers:
        deployment.record(f'{server.name} ran {len(server.runs)} requests')
    broken = find_contradictions(deployment)
    for window, reports in broken.items():
        ended = (window + 1) * WINDOW_SECONDS
        for _, counts, holder, number, accepted in reports:
            deployment.record(
                f'BROKEN: window {window}, {accepted - ended:.3f} s after its '
                f'end, by {holder} with number {number}: {counts}'
            )
    deployment.record('rule held' if not broken else 'rule ONE was broken')
    return not broken


if __name__ == '__main__':
    run_case(Path(__file__).parent, play)
