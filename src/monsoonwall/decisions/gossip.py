"""Choose whom to gossip with, and about which zones.

Up to a few dozen hosts everybody exchanges everything with everybody. Above
that a host exchanges with its own zone only, and a few relays a zone carry
the zone's summary to the relays of the others, so that what a host sends
grows with its zone and the number of zones rather than with the fleet.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from xxhash import xxh64_intdigest

from monsoonwall.mesh.peers import Peer

FULL_EXCHANGE_MEMBERS: Final = 24
# Below this a wide fleet goes back to full exchange; the space between keeps
# one that stays at the limit from going back and forth.
_RETURN_TO_FULL_MEMBERS: Final = 18
FULL_ROUND_SECONDS: Final = 0.25
WIDE_ROUND_SECONDS: Final = 0.5
RELAYS_PER_ZONE: Final = 2
_FULL_PARTNERS: Final = 2
_PUSH_FANOUT: Final = 2
# What a host may receive and send of entries and of zone summaries in a wide
# fleet, beside digests and facts.
_ENTRY_BYTES_PER_SECOND: Final = 20_000
# In full exchange the rounds come more often, and their digests grow with
# the fleet; what they leave is for entries.
_FULL_BYTES_PER_SECOND: Final = 22_000
_DIGEST_BYTES_PER_HOST: Final = 700
_SUMMARY_BYTES_PER_SECOND: Final = 10_000


@dataclass(frozen=True)
class Identity:
    """Name the host that chooses."""

    name: str
    zone: str
    region: str


class RelayRole(StrEnum):
    """Name what a host does for its zone in a wide fleet."""

    none = 'none'
    stand_by = 'stand_by'
    lead = 'lead'


@dataclass(frozen=True)
class Round:
    """Hold whom one round of gossip goes to; the zones they compare.

    No zones at all means every zone.
    """

    partners: tuple[Peer, ...]
    zones: tuple[str, ...]


def is_wide_fleet(wide: bool, members: int) -> bool:
    """Return whether so many hosts are too many for full exchange."""
    limit = _RETURN_TO_FULL_MEMBERS if wide else FULL_EXCHANGE_MEMBERS
    return members > limit


def choose_relays(candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the relays among the names of a zone's hosts.

    The order depends on each name alone, so a host that comes or goes moves
    the task from or to itself only.
    """
    ranked = sorted(candidates, key=lambda name: seeded_hash(name, 0))
    return tuple(ranked[:RELAYS_PER_ZONE])


def choose_round(
    own: Identity, peers: Sequence[Peer], now: float, seed: int
) -> Round:
    """Return the partners of a full exchange in the round of a time."""
    step = int(now / FULL_ROUND_SECONDS)
    return Round(choose_partners(own, peers, step, seed, _FULL_PARTNERS), ())


def choose_wide_rounds(
    own: Identity, peers: Sequence[Peer], now: float, seed: int
) -> tuple[Round, ...]:
    """Return the round within the zone and, on a relay, the one across."""
    step = int(now / WIDE_ROUND_SECONDS)
    near = tuple(peer for peer in peers if peer.zone == own.zone)
    within = Round(choose_partners(own, near, step, seed, 1), (own.zone, ''))
    if find_relay_role(own, peers) is RelayRole.none:
        return (within,)
    far = tuple(peer for peer in peers if peer.zone != own.zone)
    return (within, Round(choose_partners(own, far, step, seed, 1), ('',)))


def choose_partners(
    own: Identity, peers: Sequence[Peer], step: int, seed: int, partners: int
) -> tuple[Peer, ...]:
    """Return the peers whose turn it is.

    The order is shuffled anew each time it has been gone through, so that
    every peer has its turn and no two hosts keep in step.
    """
    if not peers:
        return ()
    turns = -(-len(peers) // partners)
    passes, turn = divmod(step, turns)
    shuffled = sorted(
        peers,
        key=lambda peer: seeded_hash(f'{own.name}/{peer.name}', seed + passes),
    )
    return tuple(shuffled[turn * partners : (turn + 1) * partners])


def choose_push_targets(
    own: Identity, peers: Sequence[Peer], wide: bool, seed: int
) -> tuple[Peer, ...]:
    """Return the peers to hand urgent news to.

    In a wide fleet these are the zone's relays, a few others of the zone
    and, from a relay, a few relays of other zones; each of them hands news
    on in the same way, and the rounds bring it to the rare host left out.
    """
    if not wide:
        return tuple(peers)
    near = tuple(peer for peer in peers if peer.zone == own.zone)
    relays = choose_relays((own.name, *(peer.name for peer in near)))
    chosen = [peer for peer in near if peer.name in relays]
    others = tuple(peer for peer in near if peer.name not in relays)
    chosen.extend(choose_partners(own, others, 0, seed, _PUSH_FANOUT))
    if own.name in relays:
        far = tuple(peer for peer in peers if peer.zone != own.zone)
        chosen.extend(choose_partners(own, far, 0, seed, _PUSH_FANOUT))
    return tuple(chosen)


def probes_unknown_addresses(
    own: Identity, peers: Sequence[Peer], wide: bool
) -> bool:
    """Tell whether a host tries addresses at which it knows no host.

    In a wide fleet relays do so, to find zones that were cut off, and hosts
    that know nobody in their zone.
    """
    if not wide or find_relay_role(own, peers) is not RelayRole.none:
        return True
    return all(peer.zone != own.zone for peer in peers)


def find_relay_role(own: Identity, peers: Sequence[Peer]) -> RelayRole:
    """Return what a host does for its zone, as far as it knows the others."""
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
    """Return the bytes of entries a second that one host may publish.

    Each host that exchanges fully receives every byte and sends it on about
    once, so the hosts' rates add up to half of what each may spend.
    """
    available = _FULL_BYTES_PER_SECOND - _DIGEST_BYTES_PER_HOST * near_hosts
    minimum = _ENTRY_BYTES_PER_SECOND
    budget = minimum if wide else max(minimum, available)
    return budget / 2 / near_hosts


def limit_summary_rate(zones: int) -> float:
    """Return the bytes a second that one zone's summary may take."""
    return _SUMMARY_BYTES_PER_SECOND / 2 / zones


def seeded_hash(text: str, seed: int) -> int:
    """Return a number that looks random and is the same on every host."""
    return xxh64_intdigest(text.encode(), seed)
