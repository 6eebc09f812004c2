"""Store the facts, and find cheaply where two hosts' facts differ.

Facts are hashed into buckets, and each bucket has a combined hash of its
facts. Two hosts compare these hashes and exchange only the buckets that
differ. Earlier builds compare fewer, coarse buckets: the buckets whose numbers
are equal modulo ``COARSE_BUCKETS`` are one of theirs.
"""

from collections.abc import Iterable, Sequence
from functools import reduce
from itertools import takewhile
from operator import xor
from typing import Final

from sortedcontainers import SortedSet
from xxhash import xxh64_intdigest

from monsoonwall.mesh.board import Fact

BUCKETS: Final = 256
COARSE_BUCKETS: Final = 16
# Only the lower bits of a bucket's hash are sent, but all of a coarse one's.
_SENT_BITS: Final = 0xFFFFFFFF
MAX_FACTS: Final = 20_000
# Hosts mostly hold the same facts once none has changed for this long.
_CHANGING_SECONDS: Final = 30.0


class FactTable:
    """Hold the winning fact of each kind and key.

    A fact is kept until it and all facts that it has replaced have expired.
    Otherwise a host that missed it would bring back the one that it replaced.

    A bucket's hash is the XOR of the hashes of its facts: hosts with equal
    hashes hold equal facts.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, dict[str, Fact]] = {}
        self._bucket_hashes = [0 for _ in range(BUCKETS)]
        self._keys_by_bucket: list[set[tuple[str, str]]] = [
            set() for _ in range(BUCKETS)
        ]
        # The position of each fact in the order of their arrival.
        self._arrivals: dict[tuple[str, str], int] = {}
        self._arrival_count = 0
        # When each fact may be dropped (Unix seconds).
        self._kept_until: dict[tuple[str, str], float] = {}
        self._expiry: SortedSet = SortedSet()
        # The latest known time and that of the last change (Unix seconds).
        self._now_wall = float('-inf')
        self._changed_wall = float('-inf')

    def __len__(self) -> int:
        """Return the number of facts."""
        return len(self._expiry)

    @property
    def changing(self) -> bool:
        """Return whether a fact has changed within the last 30 seconds."""
        return self._now_wall < self._changed_wall + _CHANGING_SECONDS

    def merge(self, fact: Fact, now_wall: float) -> bool:
        """Store the fact if it wins; return whether it did.

        A fact loses against the stored one of the same kind and key unless
        its payload, or at the same payload its expiry, is greater. Under a new
        key an expired fact is ignored, and so is any when the table is full.
        """
        current = self._kinds.get(fact.kind, {}).get(fact.key)
        if current is None:
            if fact.expires_wall <= now_wall or len(self) >= MAX_FACTS:
                return False
            self._insert(fact, fact.expires_wall)
            self._changed_wall = now_wall
            return True
        if _get_precedence(fact) <= _get_precedence(current):
            return False
        kept_until = self._kept_until[fact.kind, fact.key]
        self._remove(current)
        self._insert(fact, max(kept_until, fact.expires_wall))
        self._changed_wall = now_wall
        return True

    def holds(self, kind: str, key: str) -> bool:
        """Return whether there is a fact under a key."""
        return key in self._kinds.get(kind, {})

    def expire(self, now_wall: float) -> None:
        """Drop the facts that need not be kept any longer."""
        self._now_wall = now_wall
        expired = list(takewhile(lambda due: due[0] <= now_wall, self._expiry))
        for _, kind, key in expired:
            self._remove(self._kinds[kind][key])

    def read(self, kind: str, now_wall: float) -> tuple[Fact, ...]:
        """Return the facts of a kind that have not expired."""
        return tuple(
            fact
            for fact in self._kinds.get(kind, {}).values()
            if fact.expires_wall > now_wall
        )

    def list_bucket_hashes(self) -> tuple[int, ...]:
        """Return the lower half of each bucket's hash."""
        return tuple(content & _SENT_BITS for content in self._bucket_hashes)

    def list_coarse_hashes(self) -> tuple[int, ...]:
        """Return the hash of each coarse bucket."""
        return tuple(
            reduce(xor, self._bucket_hashes[index::COARSE_BUCKETS])
            for index in range(COARSE_BUCKETS)
        )

    def find_differing_buckets(
        self, coarse_hashes: Iterable[int], hashes: Sequence[int]
    ) -> tuple[int, ...]:
        """Return the buckets in which another host holds other facts.

        These are all buckets of a coarse one if only that tells, as from a host
        of an earlier build, which sends no other ``hashes``.
        """
        differing: list[int] = []
        own = self.list_bucket_hashes()
        pairs = zip(self.list_coarse_hashes(), coarse_hashes, strict=False)
        for coarse, (own_coarse, other_coarse) in enumerate(pairs):
            if own_coarse == other_coarse:
                continue
            buckets = expand_coarse((coarse,))
            narrowed = len(hashes) == BUCKETS and [
                index for index in buckets if own[index] != hashes[index]
            ]
            differing.extend(narrowed or buckets)
        return tuple(differing)

    def list_facts(self, buckets: Iterable[int]) -> tuple[Fact, ...]:
        """Return the facts of the given buckets, the latest arrivals first."""
        keys = [
            key
            for index in buckets
            if index < BUCKETS
            for key in self._keys_by_bucket[index]
        ]
        keys.sort(key=self._arrivals.__getitem__, reverse=True)
        return tuple(self._kinds[kind][key] for kind, key in keys)

    def _insert(self, fact: Fact, kept_until: float) -> None:
        self._kinds.setdefault(fact.kind, {})[fact.key] = fact
        self._kept_until[fact.kind, fact.key] = kept_until
        self._expiry.add((kept_until, fact.kind, fact.key))
        self._arrival_count += 1
        self._arrivals[fact.kind, fact.key] = self._arrival_count
        index = _choose_bucket(fact)
        self._keys_by_bucket[index].add((fact.kind, fact.key))
        self._bucket_hashes[index] ^= _hash_fact(fact)

    def _remove(self, fact: Fact) -> None:
        self._kinds[fact.kind].pop(fact.key)
        kept_until = self._kept_until.pop((fact.kind, fact.key))
        self._expiry.discard((kept_until, fact.kind, fact.key))
        index = _choose_bucket(fact)
        self._keys_by_bucket[index].discard((fact.kind, fact.key))
        self._arrivals.pop((fact.kind, fact.key))
        self._bucket_hashes[index] ^= _hash_fact(fact)


def expand_coarse(coarse: Iterable[int]) -> tuple[int, ...]:
    """Return the buckets of some coarse ones."""
    return tuple(
        index
        for first in coarse
        for index in range(first, BUCKETS, COARSE_BUCKETS)
    )


def find_coarse(buckets: Iterable[int]) -> tuple[int, ...]:
    """Return the coarse buckets of some buckets."""
    return tuple(sorted({index % COARSE_BUCKETS for index in buckets}))


def _get_precedence(fact: Fact) -> tuple[bytes, float]:
    return fact.payload, fact.expires_wall


def _choose_bucket(fact: Fact) -> int:
    return xxh64_intdigest(f'{fact.kind}/{fact.key}'.encode()) % BUCKETS


def _hash_fact(fact: Fact) -> int:
    head = f'{fact.kind}/{fact.key}/{fact.expires_wall!r}/'.encode()
    return xxh64_intdigest(head + fact.payload)
