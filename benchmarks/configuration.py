"""Measure how configurations spread, and what their size costs.

``python -m benchmarks.configuration spread`` runs nine entry hosts;
``python -m benchmarks.configuration size`` runs no process.
"""

import os
import sys
import tempfile
import time
import tracemalloc
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from msgspec import json
from returns.pipeline import is_successful

from monsoonwall.configuration.announcement import encode_announcement
from monsoonwall.configuration.document import check_document
from monsoonwall.configuration.keeper import ActiveConfiguration
from monsoonwall.configuration.patching import apply_patch
from monsoonwall.configuration.stored import (
    AcceptedPatch,
    StoredConfiguration,
    copy_document,
    digest_document,
    encode_stored,
    extend_stored,
)
from monsoonwall.logs import configure_logs
from tests.standins.deployment import Deployment, send, wait_until

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'association.json'
HOSTS = 9
ZONES = 3
CHANGES = 200
IDLE_SECONDS = 10
SIZES = (10, 100, 1000, 10_000)
MILLISECONDS = 1000


@dataclass(frozen=True)
class Cost:
    """Hold what one configuration size costs; times in milliseconds."""

    plain_bytes: int
    stored_bytes: int
    announced_bytes: int
    first_check: float
    change: float
    held_bytes: int


def measure_spread():
    """Print the time from acceptance until the last host has it in force."""
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder, 'log')
        os.environ['MONSOONWALL_TEST_LOG'] = str(log)
        with Deployment() as deployment:
            accepted = run_changes(deployment)
            calls = count_idle_calls(deployment)
        spreads = read_spreads(log, accepted)
    ordered = sorted(spreads)
    print(f'hosts {HOSTS}, zones {ZONES}, changes {len(ordered)}')
    print('accepted patch to in force on all hosts, in milliseconds')
    for part in (0.5, 0.9, 0.99):
        at = min(len(ordered) - 1, int(part * len(ordered)))
        print(f'  p{part * 100:.0f} {ordered[at] * MILLISECONDS:.0f}')
    print(f'  most {ordered[-1] * MILLISECONDS:.0f}')
    print(calls)


def run_changes(deployment):
    """Return when each number was accepted, in Unix seconds."""
    deployment.start_platform()
    names = [f'entry-{index}' for index in range(HOSTS)]
    for index, name in enumerate(names):
        deployment.start_entry(name, f'zone-{index % ZONES}', '--log_json')
    for name in names:
        wait_until(partial(deployment.send, name, 'GET', '/health'))
    document = json.decode(EXAMPLE.read_bytes())
    accepted = {}
    before = read_calls(deployment)
    for base in range(CHANGES + 1):
        patch = (
            {'workspaces': {'hotline': {'weight': base}}} if base else document
        )
        body = {'base': base, 'patch_id': f'change-{base}', 'patch': patch}
        host = names[base % HOSTS]
        outcome = deployment.send(host, 'POST', '/admin/patch', body)
        found = outcome.read_json()
        if found['ending'] != 'accepted':
            sys.exit(f'change {base} failed: {found}')
        accepted[found['number']] = found['accepted_wall']
        if not base:
            deployment.wait_ready(*names)
        time.sleep(0.05)
    used = read_calls(deployment)
    for method in sorted(used):
        each = (used[method] - before.get(method, 0)) / CHANGES
        print(f'platform calls a change, {method}: {each:.2f}')
    return accepted


def read_calls(deployment):
    """Return the platform's counters."""
    return send(deployment.ports['platform'], 'GET', '/control').read_json()


def count_idle_calls(deployment):
    """Return a line with the calls a second while nothing changes."""
    before = read_calls(deployment)
    time.sleep(IDLE_SECONDS)
    after = read_calls(deployment)
    reads = (after['GET'] - before['GET']) / IDLE_SECONDS
    writes = (after['PUT'] - before['PUT']) / IDLE_SECONDS
    return (
        f'idle calls a second of all hosts: {reads:.1f} reads, {writes} writes'
    )


def read_spreads(log, accepted):
    """Return each change's time until the last host adopted it."""
    last = {}
    counts = {}
    for line in log.read_bytes().splitlines():
        if b'Configuration adopted' not in line:
            continue
        fields = json.decode(line)
        number = fields['number']
        moment = time.strptime(fields['time'][:19], '%Y-%m-%dT%H:%M:%S')
        fraction = float(f'0{fields["time"][19:26]}')
        adopted = time.mktime(moment) - time.timezone + fraction
        last[number] = max(last.get(number, 0), adopted)
        counts[number] = counts.get(number, 0) + 1
    skipped = sum(HOSTS - count for count in counts.values())
    print(f'adoptions skipped for a newer number: {skipped}')
    # The first change also waits for the hosts to begin.
    return [last[number] - accepted[number] for number in last if number > 1]


def measure_sizes():
    """Print what configurations of several sizes cost."""
    configure_logs(json_lines=True)
    with open(os.devnull, 'w', encoding='utf-8') as silent:
        sys.stderr = silent
        print_sizes()
    sys.stderr = sys.__stderr__


def print_sizes():
    """Print one line for each size."""
    print('servers  plain B  stored B  fact B  first ms  change ms  held B')
    for servers in SIZES:
        cost = measure_size(servers)
        print(
            f'{servers:7d} {cost.plain_bytes:8d} {cost.stored_bytes:9d} '
            f'{cost.announced_bytes:7d} {cost.first_check:9.1f} '
            f'{cost.change:10.1f} {cost.held_bytes:8d}'
        )


def measure_size(servers):
    """Return what one size costs a host."""
    document = make_document(servers)
    seed = AcceptedPatch(1, 'seed', 0, digest_document(document))
    first = StoredConfiguration(1, document, (seed,))
    patch = {'workspaces': {'hotline': {'weight': 7}}}
    changed = apply_patch(copy_document(first), patch).unwrap()
    second = extend_stored(
        first,
        changed,
        AcceptedPatch(2, 'change', 0, digest_document(changed), patch),
    )
    content = encode_stored(first)
    announced = encode_announcement(second)
    active = ActiveConfiguration()
    tracemalloc.start()
    started = time.perf_counter()
    active.offer_object(content)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    if not is_successful(check_document(document, 1)):
        sys.exit('the made document has findings')
    checked = time.perf_counter()
    result = active.offer_announcement(announced)
    adopted = time.perf_counter()
    if result is None or not result.adopted:
        sys.exit('the announcement was not enough')
    return Cost(
        len(json.encode(document)),
        len(content),
        len(announced),
        (checked - started) * MILLISECONDS,
        (adopted - checked) * MILLISECONDS,
        held_bytes,
    )


def make_document(servers):
    """Return the example with a number of backend servers."""
    document = json.decode(EXAMPLE.read_bytes())
    kept = dict(document['backend_servers'])
    model = kept['assistant-1']
    for index in range(servers - len(kept)):
        kept[f'assistant-more-{index}'] = {
            **model,
            'zone': f'zone-{index % 23}',
            'address': f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}:90',
            'price_per_hour': 1 + index % 7 / 10,
        }
    return {**document, 'backend_servers': kept}


if __name__ == '__main__':
    if sys.argv[1:] == ['spread']:
        measure_spread()
    elif sys.argv[1:] == ['size']:
        measure_sizes()
    else:
        sys.exit(__doc__)
