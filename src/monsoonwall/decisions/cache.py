"""Guess which prompt prefixes a backend server has cached.

Three sources teach a view: the engine's numbered events, which come late and
with gaps; the own dispatches, since an engine caches what it computes; and
the cached-token count that each answer carries. The last one is the only
proof, so it also settles how far the other two are trusted.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

BLOCK_WORDS: Final = 16
_KEY_LENGTH: Final = 16
_GAP_TRUST: Final = 0.5
_MIN_TRUST: Final = 0.3
_TRUST_GAIN: Final = 0.1
_MAX_KEYS: Final = 40_000
_MIN_KEYS_PER_SERVER: Final = 64


@dataclass(frozen=True)
class PrefixChange:
    """Report that a prefix entered or left a server's cache."""

    number: int
    stored: bool
    prefix_key: str


def make_prefix_keys(prompt: str) -> tuple[str, ...]:
    """Return a key for each prefix of whole blocks, shortest first."""
    words = prompt.split()
    digest = sha256()
    keys = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = ' '.join(words[end - BLOCK_WORDS : end])
        separator = ' ' if keys else ''
        digest.update(f'{separator}{block}'.encode())
        keys.append(digest.hexdigest()[:_KEY_LENGTH])
    return tuple(keys)


class CacheView:
    """Hold what is believed of one server's cache."""

    def __init__(self, max_keys: int = _MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._known: OrderedDict[str, None] = OrderedDict()
        self._number = 0
        self.trust = 1.0

    @property
    def number(self) -> int:
        """Return the number of the last event taken."""
        return self._number

    def take_changes(self, changes: Iterable[PrefixChange]) -> None:
        """Apply events in order; a gap lowers the trust in all keys."""
        for change in changes:
            if change.number <= self._number:
                continue
            if self._number and change.number > self._number + 1:
                self.trust = max(_MIN_TRUST, self.trust * _GAP_TRUST)
            self._number = change.number
            if change.stored:
                self._remember((change.prefix_key,))
            else:
                self._known.pop(change.prefix_key, None)

    def note_dispatch(self, keys: Sequence[str]) -> None:
        """Expect the server to hold what it is about to compute."""
        self._remember(keys)

    def learn(
        self, keys: Sequence[str], guessed_tokens: float, cached_tokens: int
    ) -> None:
        """Correct the trust by the count that an answer carried."""
        if guessed_tokens > 0:
            hit = min(1, cached_tokens / guessed_tokens)
            self.trust += _TRUST_GAIN * (hit - self.trust)
        self._remember(keys)

    def forget(self) -> None:
        """Expect an empty cache, as after a restart."""
        self._known.clear()
        self._number = 0
        self.trust = 1.0

    def count_known(self, keys: Sequence[str]) -> int:
        """Return the words in the longest prefix believed cached."""
        blocks = 0
        for key in keys:
            if key not in self._known:
                break
            blocks += 1
        return blocks * BLOCK_WORDS

    def estimate_cached(self, keys: Sequence[str]) -> float:
        """Return the words expected to be cached, weighed by trust."""
        return self.count_known(keys) * self.trust

    def _remember(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._known[key] = None
            self._known.move_to_end(key)
        while len(self._known) > self._max_keys:
            self._known.popitem(last=False)


class CacheBook:
    """Hold a view for each server within one bound on all keys."""

    def __init__(self) -> None:
        self._views: dict[str, CacheView] = {}
        self._max_keys = _MAX_KEYS

    def adopt(self, servers: Iterable[str]) -> None:
        """Keep the views of these servers alone, and share the bound."""
        names = tuple(servers)
        self._max_keys = max(
            _MIN_KEYS_PER_SERVER, _MAX_KEYS // max(1, len(names))
        )
        self._views = {
            name: self._views.get(name) or CacheView(self._max_keys)
            for name in names
        }

    def find(self, server: str) -> CacheView:
        """Return a server's view, an empty one at first."""
        view = self._views.get(server)
        if view is None:
            view = CacheView(self._max_keys)
            self._views[server] = view
        return view
