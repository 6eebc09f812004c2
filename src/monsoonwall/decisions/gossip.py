"""Choose gossip partners, and the zones to exchange state about.

In a fleet of up to a few dozen hosts, every host exchanges all state with
every other (full exchange). A larger fleet is called wide: hosts exchange
state within their own zone only, and a few relays per zone exchange zone
summaries with the relays of other zones. So a host's traffic grows with the
size of its zone and the number of zones, not with the size of the fleet.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from xxhash import xxh64_intdigest

from monsoonwall.mesh.peers import Peer

FULL_EXCHANGE_MEMBERS: Final = 24
# A wide fleet returns to full exchange at this size. The gap keeps a fleet
# near the limit from switching back and forth.
_RETURN_TO_FULL_MEMBERS: Final = 18
FULL_ROUND_SECONDS: Final = 0.25
WIDE_ROUND_SECONDS: Final = 0.5
RELAYS_PER_ZONE: Final = 2
# Partners of one round in full exchange, and the further hosts that a host of
# a wide fleet pushes an urgent update to, within the zone and beyond it.
_FULL_PARTNERS: Final = 2
# One of so many rounds within a zone is with the preferred host.
_PREFERRED_ROUNDS: Final = 2
_PUSH_FANOUT: Final = 2
# Bytes of entries and, below, of zone summaries that a host may receive and
# send in a wide fleet, in addition to digests and facts.
_ENTRY_BYTES_PER_SECOND: Final = 20_000
# In full exchange, rounds are more frequent and their digests grow with the
# fleet; entries may use what the digests leave of this.
_FULL_BYTES_PER_SECOND: Final = 22_000
# Bytes of digests per second in full exchange, for each host of the fleet.
_DIGEST_BYTES_PER_HOST: Final = 700
_SUMMARY_BYTES_PER_SECOND: Final = 10_000


@dataclass(frozen=True)
class Identity:
    """Identify the host that chooses partners."""

    name: str
    zone: str
    region: str


class RelayRole(StrEnum):
    """State whether a host is a relay of its zone, and in which role."""

    none = 'none'
    stand_by = 'stand_by'
    lead = 'lead'


@dataclass(frozen=True)
class Round:
    """Hold the partners of a gossip round and the zones to compare.

    Without zones, all zones are compared.
    """

    partners: tuple[Peer, ...]
    zones: tuple[str, ...]


def is_wide_fleet(wide: bool, members: int) -> bool:
    """Return whether a fleet of this size is too large for full exchange."""
    limit = _RETURN_TO_FULL_MEMBERS if wide else FULL_EXCHANGE_MEMBERS
    return members > limit


def choose_relays(candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the relays among the names of a zone's hosts.

    Each host's rank depends on its own name only, so a host that joins or
    leaves changes at most one relay.
    """
    ranked = sorted(candidates, key=lambda name: hash_with_seed(name, 0))
    return tuple(ranked[:RELAYS_PER_ZONE])


def choose_round(
    own: Identity, peers: Sequence[Peer], now: float, seed: int
) -> Round:
    """Return the full-exchange round at a time."""
    step = int(now / FULL_ROUND_SECONDS)
    return Round(choose_partners(own, peers, step, seed, _FULL_PARTNERS), ())


def choose_wide_rounds(
    own: Identity,
    peers: Sequence[Peer],
    now: float,
    seed: int,
    preferred: str = '',
) -> tuple[Round, ...]:
    """Return the round within the zone and, on a relay, across zones.

    Every other round within the zone is with the ``preferred`` host, if it is
    in the zone.
    """
    step = int(now / WIDE_ROUND_SECONDS)
    near = tuple(peer for peer in peers if peer.zone == own.zone)
    partners = tuple(peer for peer in near if peer.name == preferred)
    if not partners:
        partners = choose_partners(own, near, step, seed, 1)
    elif step % _PREFERRED_ROUNDS:
        turn = step // _PREFERRED_ROUNDS
        partners = choose_partners(own, near, turn, seed, 1)
    within = Round(partners, (own.zone, ''))
    if find_relay_role(own, peers) is RelayRole.none:
        return (within,)
    far = tuple(peer for peer in peers if peer.zone != own.zone)
    return (within, Round(choose_partners(own, far, step, seed, 1), ('',)))


def choose_partners(
    own: Identity, peers: Sequence[Peer], step: int, seed: int, partners: int
) -> tuple[Peer, ...]:
    """Return the partners at a step, cycling through all peers.

    The order is shuffled again after each pass, so that every peer is chosen
    once per pass and no two hosts stay synchronized.
    """
    if not peers:
        return ()
    turns = -(-len(peers) // partners)
    passes, turn = divmod(step, turns)
    shuffled = sorted(
        peers,
        key=lambda peer: hash_with_seed(
            f'{own.name}/{peer.name}', seed + passes
        ),
    )
    return tuple(shuffled[turn * partners : (turn + 1) * partners])


def choose_push_targets(
    own: Identity,
    peers: Sequence[Peer],
    wide: bool,
    seed: int,
    forwarded: bool = False,
) -> tuple[Peer, ...]:
    """Return the peers to push urgent updates to.

    In a wide fleet these are the zone's relays, a few other hosts of the
    zone and, from a relay, a few relays of other zones. Each receiver pushes
    the update on in the same way, but only relays push one that they have
    ``forwarded`` to the other relay: each would receive it from all hosts of
    its zone. The few hosts that miss it receive it in the regular rounds.
    """
    if not wide:
        return tuple(peers)
    near = tuple(peer for peer in peers if peer.zone == own.zone)
    relays = choose_relays((own.name, *(peer.name for peer in near)))
    is_relay = own.name in relays
    if forwarded and not is_relay:
        return choose_partners(own, near, 0, seed, _PUSH_FANOUT)
    chosen = [peer for peer in near if peer.name in relays]
    others = tuple(peer for peer in near if peer.name not in relays)
    chosen.extend(choose_partners(own, others, 0, seed, _PUSH_FANOUT))
    if is_relay:
        far = tuple(peer for peer in peers if peer.zone != own.zone)
        chosen.extend(choose_partners(own, far, 0, seed, _PUSH_FANOUT))
    return tuple(chosen)


def probes_unknown_addresses(
    own: Identity, peers: Sequence[Peer], wide: bool
) -> bool:
    """Return whether a host probes addresses where it knows no host.

    In a wide fleet only two kinds of hosts do: relays, to find zones that
    were cut off, and hosts that know no other host in their zone.
    """
    if not wide or find_relay_role(own, peers) is not RelayRole.none:
        return True
    return all(peer.zone != own.zone for peer in peers)


def find_relay_role(own: Identity, peers: Sequence[Peer]) -> RelayRole:
    """Return a host's relay role among the hosts of its zone it knows."""
    staying = (
        peer.name
        for peer in peers
        if peer.zone == own.zone and not peer.leaving
    )
    relays = choose_relays((own.name, *staying))
    if own.name not in relays:
        return RelayRole.none
    return RelayRole.lead if own.name == relays[0] else RelayRole.stand_by


def limit_entry_rate(near_hosts: int, wide: bool) -> float:
    """Return the bytes of entries per second that one host may publish.

    ``near_hosts`` counts the hosts that exchange entries with each other: all
    of the fleet, or those of the zone in a wide fleet. Each of them receives
    every byte and forwards it about once, so the rates of all hosts add up to
    half of one host's byte budget.
    """
    available = _FULL_BYTES_PER_SECOND - _DIGEST_BYTES_PER_HOST * near_hosts
    minimum = _ENTRY_BYTES_PER_SECOND
    budget = minimum if wide else max(minimum, available)
    return budget / 2 / near_hosts


def limit_summary_rate(zones: int) -> float:
    """Return the bytes per second that one zone's summary may take."""
    return _SUMMARY_BYTES_PER_SECOND / 2 / zones


def hash_with_seed(text: str, seed: int) -> int:
    """Return a 64-bit hash of a text and a seed, the same on every host."""
    return xxh64_intdigest(text.encode(), seed)
