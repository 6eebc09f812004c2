"""Measure how fast configurations propagate and what large ones cost.

``python -m benchmarks.configuration spread`` starts nine entry hosts;
``python -m benchmarks.configuration size`` starts no process.
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

from monsoonwall.configuration.active import ActiveConfiguration
from monsoonwall.configuration.announcement import encode_announcement
from monsoonwall.configuration.document import check_document
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
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class Cost:
    """Hold the costs of a configuration of one size.

    Adopting means applying an announced patch to the active configuration.
    """

    plain_bytes: int
    stored_bytes: int
    announced_bytes: int
    check_ms: float
    adopt_ms: float
    held_bytes: int


def measure_propagation():
    """Print the delays from a patch's acceptance to its adoption everywhere."""
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder, 'log')
        os.environ['MONSOONWALL_TEST_LOG'] = str(log)
        with Deployment() as deployment:
            accepted = apply_changes(deployment)
            calls = count_idle_calls(deployment)
        delays = read_propagation_delays(log, accepted)
    ordered = sorted(delays)
    print(f'hosts {HOSTS}, zones {ZONES}, changes {len(ordered)}')
    print('from acceptance to adoption on all hosts, in milliseconds')
    for quantile in (0.5, 0.9, 0.99):
        index = min(len(ordered) - 1, int(quantile * len(ordered)))
        print(
            f'  p{quantile * 100:.0f} '
            f'{ordered[index] * MILLISECONDS_PER_SECOND:.0f}'
        )
    print(f'  max {ordered[-1] * MILLISECONDS_PER_SECOND:.0f}')
    print(calls)


def apply_changes(deployment):
    """Submit patches; map each number to its acceptance in Unix seconds."""
    deployment.start_platform()
    names = [f'entry-{index}' for index in range(HOSTS)]
    for index, name in enumerate(names):
        deployment.start_entry(name, f'zone-{index % ZONES}', '--log_json')
    for name in names:
        wait_until(partial(deployment.send, name, 'GET', '/health'))
    document = json.decode(EXAMPLE.read_bytes())
    accepted = {}
    before = read_call_counts(deployment)
    for base in range(CHANGES + 1):
        patch = (
            {'workspaces': {'hotline': {'weight': base}}} if base else document
        )
        body = {'base': base, 'patch_id': f'change-{base}', 'patch': patch}
        host = names[base % HOSTS]
        response = deployment.send(host, 'POST', '/admin/patch', body)
        outcome = response.read_json()
        if outcome['ending'] != 'accepted':
            sys.exit(f'change {base} failed: {outcome}')
        accepted[outcome['number']] = outcome['accepted_wall']
        if not base:
            deployment.wait_ready(*names)
        time.sleep(0.05)
    counts = read_call_counts(deployment)
    for method in sorted(counts):
        calls_per_change = (counts[method] - before.get(method, 0)) / CHANGES
        print(f'platform calls per change, {method}: {calls_per_change:.2f}')
    return accepted


def read_call_counts(deployment):
    """Return the platform's calls so far, by HTTP method."""
    return send(deployment.ports['platform'], 'GET', '/control').read_json()


def count_idle_calls(deployment):
    """Describe the platform calls per second while nothing changes."""
    before = read_call_counts(deployment)
    time.sleep(IDLE_SECONDS)
    after = read_call_counts(deployment)
    reads = (after['GET'] - before['GET']) / IDLE_SECONDS
    writes = (after['PUT'] - before['PUT']) / IDLE_SECONDS
    return (
        f'calls per second, all hosts idle: {reads:.1f} reads, {writes} writes'
    )


def read_propagation_delays(log, accepted):
    """Return each change's delay until the last host adopted it."""
    last_adopted = {}
    adoption_counts = {}
    for line in log.read_bytes().splitlines():
        if b'Configuration adopted' not in line:
            continue
        fields = json.decode(line)
        number = fields['number']
        parsed_time = time.strptime(fields['time'][:19], '%Y-%m-%dT%H:%M:%S')
        fraction = float(f'0{fields["time"][19:26]}')
        adopted = time.mktime(parsed_time) - time.timezone + fraction
        last_adopted[number] = max(last_adopted.get(number, 0), adopted)
        adoption_counts[number] = adoption_counts.get(number, 0) + 1
    skipped = sum(HOSTS - count for count in adoption_counts.values())
    print(f'adoptions skipped because a newer number was active: {skipped}')
    # The first change also waits for the hosts to start.
    return [
        last_adopted[number] - accepted[number]
        for number in last_adopted
        if number > 1
    ]


def measure_sizes():
    """Print the costs of configurations of several sizes, without logs."""
    configure_logs(json_lines=True)
    with open(os.devnull, 'w', encoding='utf-8') as null_output:
        sys.stderr = null_output
        print_sizes()
    sys.stderr = sys.__stderr__


def print_sizes():
    """Print one line for each size."""
    print('servers  plain B  stored B  fact B  check ms   adopt ms   held B')
    for servers in SIZES:
        cost = measure_size(servers)
        print(
            f'{servers:7d} {cost.plain_bytes:8d} {cost.stored_bytes:9d} '
            f'{cost.announced_bytes:7d} {cost.check_ms:9.1f} '
            f'{cost.adopt_ms:10.1f} {cost.held_bytes:8d}'
        )


def measure_size(servers):
    """Return the costs of a configuration with ``servers`` servers."""
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
        sys.exit('the generated document has findings')
    checked = time.perf_counter()
    result = active.offer_announcement(announced)
    adopted = time.perf_counter()
    if result is None or not result.adopted:
        sys.exit('the announced configuration was not adopted')
    return Cost(
        len(json.encode(document)),
        len(content),
        len(announced),
        (checked - started) * MILLISECONDS_PER_SECOND,
        (adopted - checked) * MILLISECONDS_PER_SECOND,
        held_bytes,
    )


def make_document(servers):
    """Return the example document extended to ``servers`` servers."""
    document = json.decode(EXAMPLE.read_bytes())
    backend_servers = dict(document['backend_servers'])
    template = backend_servers['assistant-1']
    for index in range(servers - len(backend_servers)):
        backend_servers[f'assistant-more-{index}'] = {
            **template,
            'zone': f'zone-{index % 23}',
            'address': f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}:90',
            'price_per_hour': 1 + index % 7 / 10,
        }
    return {**document, 'backend_servers': backend_servers}


if __name__ == '__main__':
    if sys.argv[1:] == ['spread']:
        measure_propagation()
    elif sys.argv[1:] == ['size']:
        measure_sizes()
    else:
        sys.exit(__doc__)
