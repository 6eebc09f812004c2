"""Choose the hosts that hold copies of requests, and merge the copied text.

A request's id names the host that accepted the request and the host that
holds its copy (its holder), so that any host can find both.

The hosts that watch the cloud for reclaim notices are chosen here too.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from xxhash import xxh3_64_intdigest

from monsoonwall.mesh.peers import Peer

# With few holders, the progress of all streams of a host fits in few messages.
# With a single one, that host would have to take over all streams at once.
HOLDERS_PER_HOST: Final = 2
RECLAIM_WATCHERS_PER_ZONE: Final = 2
_HOLDER_SEPARATOR: Final = '~'


@dataclass(frozen=True)
class Origin:
    """Name the host that accepted a request and the holder of its copy."""

    accepting: str
    holder: str


@dataclass
class ReplicatedText:
    """Hold the copied tokens of an answer.

    The batches that bring them may be lost, repeated or reordered on the way.
    ``takeovers`` counts the former owners of the request; late batches from
    a former owner are ignored.
    """

    takeovers: int = 0
    tokens: list[str] = field(default_factory=list)

    def advance(
        self, takeovers: int, offset: int, tokens: Sequence[str]
    ) -> bool:
        """Add new tokens; return False after a gap or for a former owner."""
        if takeovers != self.takeovers or offset > len(self.tokens):
            return False
        self.tokens.extend(tokens[len(self.tokens) - offset :])
        return True


def choose_holder(
    request_id: str,
    own: Peer,
    peers: Iterable[Peer],
    unresponsive: frozenset[str],
) -> str | None:
    """Return the host to hold a copy, in another zone if possible."""
    eligible = [
        peer
        for peer in peers
        if not peer.leaving and peer.name not in unresponsive
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


def is_reclaim_watcher(own: Peer, peers: Iterable[Peer]) -> bool:
    """Return whether this host watches for reclaim notices for its zone."""
    names = [peer.name for peer in peers if peer.zone == own.zone]
    names.append(own.name)
    names.sort(key=_hash_parts)
    return own.name in names[:RECLAIM_WATCHERS_PER_ZONE]


def add_holder(request_id: str, holder: str | None) -> str:
    """Return the request id with the holder of the copy added."""
    if holder is None:
        return request_id
    accepting, _, secret = request_id.rpartition('.')
    return f'{accepting}{_HOLDER_SEPARATOR}{holder}.{secret}'


def parse_origin(request_id: str) -> Origin:
    """Return the hosts named in a request id, '' for those not named."""
    hosts, _, _ = request_id.rpartition('.')
    accepting, _, holder = hosts.partition(_HOLDER_SEPARATOR)
    return Origin(accepting, holder)


def list_unnamed_hosts(
    request_id: str, peers: Iterable[Peer]
) -> tuple[str, ...]:
    """Return the hosts not named in the request id, in the given order."""
    origin = parse_origin(request_id)
    named = {origin.accepting, origin.holder}
    return tuple(peer.name for peer in peers if peer.name not in named)


def _rank_separation(own: Peer, peer: Peer) -> int:
    # A zone fails as a whole, so another zone is best. A copy in another
    # region comes last, since it arrives late.
    if peer.region != own.region:
        return 2
    return 1 if peer.zone == own.zone else 0


def _hash_parts(*parts: str) -> int:
    return xxh3_64_intdigest('\0'.join(parts).encode())
