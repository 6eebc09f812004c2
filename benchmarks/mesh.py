"""Measure the cost of gossip per host, by the size and shape of the fleet.

Prints bytes, messages and processor time per host and second, without the
cost of sockets. For comparison, it prints the bytes of a naive exchange that
sends all of a host's records every time.

    PYTHONPATH=src:. python -m benchmarks.mesh
"""

import struct
from dataclasses import dataclass

from benchmarks.fleet import Fleet, FleetHost, HostUsage
from monsoonwall.decisions.gossip import find_relay_role
from monsoonwall.mesh.board import Fact

SETTLING_SECONDS = 30
MEASURED_SECONDS = 20
KEYS = 20
CHANGES_PER_SECOND = 10


@dataclass(frozen=True)
class FleetShape:
    """State the number of zones and the hosts in each.

    All zones but the first have the same number of hosts.
    """

    name: str
    zones: int
    first_zone_hosts: int
    other_zone_hosts: int


SHAPES = (
    FleetShape('today', 3, 3, 3),
    FleetShape('largest full exchange', 3, 8, 8),
    FleetShape('half the largest', 3, 5, 4),
    FleetShape('wide, 20 per zone', 23, 20, 2),
    FleetShape('wide, 40 per zone', 23, 40, 2),
    FleetShape('target: 78 per zone', 23, 78, 2),
)


def merge_counts(payloads):
    """Add the counts of several hosts."""
    total = sum(struct.unpack('>Q', payload)[0] for payload in payloads)
    return struct.pack('>Q', total)


def start_fleet(shape: FleetShape) -> Fleet:
    """Start the hosts of a fleet.

    In the wide shapes, two hosts stand in for each full zone but the first.
    """
    fleet = Fleet(
        seeds=tuple(
            f'zone-{zone}-host-{index}'
            for zone in range(shape.zones)
            for index in (0, 1)
        )
    )
    for zone in range(shape.zones):
        size = shape.other_zone_hosts if zone else shape.first_zone_hosts
        for index in range(size):
            host = fleet.start(f'zone-{zone}-host-{index}', f'zone-{zone}')
            host.planner.summaries.declare_merge('count', merge_counts)
    return fleet


def publish_changes(host: FleetHost, second: int) -> None:
    """Publish new values for some of the host's entries."""
    for change in range(CHANGES_PER_SECOND):
        key = (second * CHANGES_PER_SECOND + change) % KEYS
        host.publish('count', f'service-{key}', struct.pack('>Q', second))


def run_seconds(fleet: Fleet, begin: int, seconds: int) -> None:
    """Publish changes and run gossip rounds for some seconds."""
    for second in range(begin, begin + seconds):
        for host in fleet.hosts.values():
            publish_changes(host, second)
        fleet.run(1)


def measure_naive(host: FleetHost) -> int:
    """Return the bytes of all the log entries that a host holds."""
    return sum(
        log.make_delta(0, 1_000_000_000).ByteSize() for log in host.store.logs
    )


def group_by_role(fleet: Fleet) -> dict[str, list[FleetHost]]:
    """Return the first zone's hosts by their relay role."""
    groups: dict[str, list[FleetHost]] = {}
    for host in fleet.hosts.values():
        if host.zone != 'zone-0':
            continue
        peers = host.planner.roster.list_peers()
        relay_role = find_relay_role(host.store.own, peers)
        role = relay_role.value if host.planner.wide else 'every host'
        groups.setdefault(role, []).append(host)
    return groups


def print_shape(shape: FleetShape) -> None:
    """Simulate one fleet and print a row for each relay role."""
    fleet = start_fleet(shape)
    run_seconds(fleet, 1, SETTLING_SECONDS)
    for host in fleet.hosts.values():
        host.usage = HostUsage()
    run_seconds(fleet, SETTLING_SECONDS, MEASURED_SECONDS)
    for role, hosts in sorted(group_by_role(fleet).items()):
        print_role(shape, role, hosts)
    sender = fleet.hosts['zone-0-host-1']
    fact = Fact('verdict', 'key', b'value', fleet.now + 600)
    hops = fleet.propagate_fact(sender, fact)
    print(
        f'{shape.name:24} fact pushed to {len(hops)} of '
        f'{len(fleet.hosts)} hosts in at most {max(hops.values())} hops'
    )


def print_role(shape: FleetShape, role: str, hosts: list[FleetHost]) -> None:
    """Print the mean costs of one role and the highest rate of bytes."""
    seconds = MEASURED_SECONDS
    count = len(hosts)
    mean_rate = sum(host.usage.bytes for host in hosts) / count / seconds / 1000
    max_rate = max(host.usage.bytes for host in hosts) / seconds / 1000
    messages = sum(host.usage.messages for host in hosts) / count / seconds
    processor_ms = (
        sum(host.usage.seconds for host in hosts) / count / seconds * 1000
    )
    naive_rate = measure_naive(hosts[0]) * messages / 2 / 1000
    print(
        f'{shape.name:24} {role:10} {count:4} {mean_rate:8.1f} {max_rate:8.1f} '
        f'{messages:9.1f} {processor_ms:8.2f} {naive_rate:9.1f}'
    )


def run() -> None:
    """Print the table."""
    print(
        f'{KEYS} entries per host, {CHANGES_PER_SECOND} of them changed '
        f'per second; {MEASURED_SECONDS} s of virtual time'
    )
    print(
        f'{"fleet":24} {"role":10} {"n":>4} {"kB/s":>8} {"most":>8} '
        f'{"messages":>9} {"ms/s":>8} {"naive kB/s":>9}'
    )
    for shape in SHAPES:
        print_shape(shape)


if __name__ == '__main__':
    run()
