"""Decide where copies of requests are kept and which text of them stands.

A request's id names the host that accepted it and the one that holds its
copy, so that any host knows whom to ask.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from xxhash import xxh3_64_intdigest

from monsoonwall.mesh.peers import Peer

# With few holders the progress of all streams of a host fits in few
# messages; with one alone, that one would take over all streams at once.
HOLDERS_PER_HOST: Final = 2
WATCHERS_PER_ZONE: Final = 2
_HOLDER_SEPARATOR: Final = '~'


@dataclass(frozen=True)
class Origin:
    """Tell who accepted a request and who was to hold its copy."""

    accepting: str
    holder: str


@dataclass
class ReplicatedText:
    """Grow with the owner's progress, whatever batches arrive or repeat.

    ``takeovers`` counts the owners that the request has had before; what a
    former owner sends late does not count.
    """

    takeovers: int = 0
    tokens: list[str] = field(default_factory=list)

    def advance(
        self, takeovers: int, offset: int, tokens: Sequence[str]
    ) -> bool:
        """Add what is new; return whether the owner may go on from there."""
        if takeovers != self.takeovers or offset > len(self.tokens):
            return False
        self.tokens.extend(tokens[len(self.tokens) - offset :])
        return True


def choose_holder(
    request_id: str, own: Peer, peers: Iterable[Peer], suspects: frozenset[str]
) -> str | None:
    """Return the host to keep a copy, in another zone if there is one."""
    eligible = [
        peer for peer in peers if not peer.leaving and peer.name not in suspects
    ]
    if not eligible:
        return None
    best_rank = min(_rank_separation(own, peer) for peer in eligible)
    best = [
        peer.name
        for peer in eligible
        if _rank_separation(own, peer) == best_rank
    ]
    best.sort(key=lambda name: _hash_parts(own.name, name))
    candidates = best[:HOLDERS_PER_HOST]
    return candidates[_hash_parts(request_id) % len(candidates)]


def is_watcher(own: Peer, peers: Iterable[Peer]) -> bool:
    """Tell whether this host is among those of its zone that watch."""
    names = [peer.name for peer in peers if peer.zone == own.zone]
    names.append(own.name)
    names.sort(key=_hash_parts)
    return own.name in names[:WATCHERS_PER_ZONE]


def add_holder(request_id: str, holder: str | None) -> str:
    """Return the request id that also names the holder of the copy."""
    if holder is None:
        return request_id
    accepting, _, secret = request_id.rpartition('.')
    return f'{accepting}{_HOLDER_SEPARATOR}{holder}.{secret}'


def parse_origin(request_id: str) -> Origin:
    """Return whom a request id names; empty names where it names none."""
    hosts, _, _ = request_id.rpartition('.')
    accepting, _, holder = hosts.partition(_HOLDER_SEPARATOR)
    return Origin(accepting, holder)


def list_unnamed_hosts(
    request_id: str, peers: Iterable[Peer]
) -> tuple[str, ...]:
    """Return the hosts that the request id does not name, nearest first."""
    origin = parse_origin(request_id)
    named = {origin.accepting, origin.holder}
    return tuple(peer.name for peer in peers if peer.name not in named)


def _rank_separation(own: Peer, peer: Peer) -> int:
    # A zone is lost as one, and a copy to another region comes late.
    if peer.region != own.region:
        return 2
    return 1 if peer.zone == own.zone else 0


def _hash_parts(*parts: str) -> int:
    return xxh3_64_intdigest('\0'.join(parts).encode())
