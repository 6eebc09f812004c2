"""Choose whom to gossip with, and about which zones."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from xxhash import xxh64_intdigest

from monsoonwall.mesh.peers import Peer

# Up to here everybody exchanges everything, which costs little and tells all
# hosts all entries; above it, hosts exchange within their zone.
FULL_EXCHANGE_MEMBERS: Final = 40
ROUND_SECONDS: Final = 0.25
WIDE_ROUND_SECONDS: Final = 1.0
_PARTNERS: Final = 2


@dataclass(frozen=True)
class Self:
    """Name the host that chooses."""

    name: str
    zone: str
    region: str


def choose_partners(
    own: Self, peers: Sequence[Peer], now: float, seed: int
) -> tuple[Peer, ...]:
    """Return the peers to exchange with in the round of a time.

    The order is shuffled anew each time it has been gone through, so that
    every peer has its turn and no two hosts keep in step.
    """
    if not peers:
        return ()
    step = int(now / ROUND_SECONDS)
    per_pass = -(-len(peers) // _PARTNERS)
    passes, turn = divmod(step, per_pass)
    shuffled = sorted(
        peers,
        key=lambda peer: rank(f'{own.name}/{peer.name}', seed + passes),
    )
    return tuple(shuffled[turn * _PARTNERS : (turn + 1) * _PARTNERS])


def choose_push_targets(
    own: Self, peers: Sequence[Peer], now: float, seed: int
) -> tuple[Peer, ...]:
    """Return the peers to hand urgent news to."""
    return tuple(peers)


def rank(text: str, seed: int) -> int:
    """Return a number that looks random and is the same on every host."""
    return xxh64_intdigest(text.encode(), seed)
