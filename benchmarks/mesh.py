"""Measure what gossip costs a host, by the size and shape of the fleet.

Prints bytes, messages and processor time a host and second, for the pure
parts (no sockets), beside a naive exchange of all that a host knows.
"""

import struct
from dataclasses import dataclass

from benchmarks.fleet import Fleet, FleetHost, Tally
from monsoonwall.decisions.gossip import find_relay_role
from monsoonwall.mesh.board import Fact

SETTLING_SECONDS = 30
MEASURED_SECONDS = 20
KEYS = 20
CHANGES_PER_SECOND = 10


@dataclass(frozen=True)
class Shape:
    """Give the hosts of one zone, and of each of the other zones."""

    name: str
    zones: int
    first_zone: int
    other_zones: int


SHAPES = (
    Shape('today', 3, 3, 3),
    Shape('largest full exchange', 3, 8, 8),
    Shape('half of that', 3, 5, 4),
    Shape('wide, 20 a zone', 23, 20, 2),
    Shape('wide, 40 a zone', 23, 40, 2),
    Shape('target: 78 a zone', 23, 78, 2),
)


def merge_counts(payloads):
    """Add up the counts of several hosts."""
    total = sum(struct.unpack('>Q', payload)[0] for payload in payloads)
    return struct.pack('>Q', total)


def start_fleet(shape: Shape) -> Fleet:
    """Start the hosts; those of thin zones stand for whole ones."""
    fleet = Fleet(
        seeds=tuple(
            f'zone-{zone}-host-{index}'
            for zone in range(shape.zones)
            for index in (0, 1)
        )
    )
    for zone in range(shape.zones):
        size = shape.other_zones if zone else shape.first_zone
        for index in range(size):
            host = fleet.start(f'zone-{zone}-host-{index}', f'zone-{zone}')
            host.planner.summaries.declare_merge('count', merge_counts)
    return fleet


def publish_changes(host: FleetHost, second: int) -> None:
    """Change some of the host's entries."""
    for change in range(CHANGES_PER_SECOND):
        key = (second * CHANGES_PER_SECOND + change) % KEYS
        host.publish('count', f'service-{key}', struct.pack('>Q', second))


def run_seconds(fleet: Fleet, begin: int, seconds: int) -> None:
    """Run and publish for a time."""
    for second in range(begin, begin + seconds):
        for host in fleet.hosts.values():
            publish_changes(host, second)
        fleet.run(1)


def measure_naive(host: FleetHost) -> int:
    """Return the bytes of all that a host knows, in one message."""
    return sum(
        log.make_delta(0, 1_000_000_000).ByteSize() for log in host.store.logs
    )


def group_roles(fleet: Fleet) -> dict[str, list[FleetHost]]:
    """Return the first zone's hosts by what they do for it."""
    groups: dict[str, list[FleetHost]] = {}
    for host in fleet.hosts.values():
        if host.zone != 'zone-0':
            continue
        peers = host.planner.roster.list_peers()
        duty = find_relay_role(host.store.own, peers)
        role = duty.value if host.planner.wide else 'every host'
        groups.setdefault(role, []).append(host)
    return groups


def print_shape(shape: Shape) -> None:
    """Run one fleet and print a line for each role."""
    fleet = start_fleet(shape)
    run_seconds(fleet, 1, SETTLING_SECONDS)
    for host in fleet.hosts.values():
        host.tally = Tally()
    run_seconds(fleet, SETTLING_SECONDS, MEASURED_SECONDS)
    for role, hosts in sorted(group_roles(fleet).items()):
        print_role(shape, role, hosts)
    sender = fleet.hosts['zone-0-host-1']
    fact = Fact('verdict', 'key', b'value', fleet.now + 600)
    hops = fleet.spread(sender, fact)
    print(
        f'{shape.name:24} a fact: pushed to {len(hops)} of '
        f'{len(fleet.hosts)} hosts in at most {max(hops.values())} hops'
    )


def print_role(shape: Shape, role: str, hosts: list[FleetHost]) -> None:
    """Print the means of one role, and the most that one host used."""
    seconds = MEASURED_SECONDS
    count = len(hosts)
    total = sum(host.tally.bytes for host in hosts) / count / seconds / 1000
    most = max(host.tally.bytes for host in hosts) / seconds / 1000
    messages = sum(host.tally.messages for host in hosts) / count / seconds
    work = sum(host.tally.seconds for host in hosts) / count / seconds * 1000
    naive = measure_naive(hosts[0]) * messages / 2 / 1000
    print(
        f'{shape.name:24} {role:10} {count:4} {total:8.1f} {most:8.1f} '
        f'{messages:9.1f} {work:8.2f} {naive:9.1f}'
    )


def run() -> None:
    """Print the table."""
    print(
        f'{KEYS} entries a host, {CHANGES_PER_SECOND} of them changed a '
        f'second; {MEASURED_SECONDS} s of virtual time'
    )
    print(
        f'{"fleet":24} {"role":10} {"n":>4} {"kB/s":>8} {"most":>8} '
        f'{"messages":>9} {"ms/s":>8} {"naive kB/s":>9}'
    )
    for shape in SHAPES:
        print_shape(shape)


if __name__ == '__main__':
    run()
