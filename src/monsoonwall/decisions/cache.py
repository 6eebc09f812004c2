"""Estimate at an entry host which prompt prefixes a server has cached.

A view of a server's cache is updated from three sources: the engine's
numbered events, which arrive late and with gaps; this host's own dispatches,
since an engine caches what it computes; and the cached-token count in each
response. Only the last is certain, so it also sets how far the other two are
trusted.

Views track one prefix key in eight, the same ones on every host. That is
enough to distinguish long prefixes from short ones, and keeps memory and
messages small.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

BLOCK_WORDS: Final = 16
# Views track one in this many prefix keys.
_SAMPLING: Final = 8
_HEX_BASE: Final = 16
_KEY_HEX_DIGITS: Final = 16
# Trust, from 0 to 1, is the part of the estimated tokens that responses report
# as cached: its minimum, the largest part that a gap in the events takes away,
# and the gain of its moving average over responses.
_MIN_TRUST: Final = 0.3
_MAX_GAP_LOSS: Final = 0.5
_TRUST_GAIN: Final = 0.3
# Keys in the views of all servers together.
_MAX_KEYS: Final = 40_000
_MIN_KEYS_PER_SERVER: Final = 64


@dataclass(frozen=True)
class PrefixChange:
    """Report that a prefix was added to or evicted from a cache."""

    stored: bool
    prefix_key: str


@dataclass(frozen=True)
class ChangeBatch:
    """Hold the changes of sampled keys in a range of an engine's events.

    The range begins with the event that follows number ``after`` and ends with
    number ``last``. ``lost`` counts its events that were not received.
    """

    after: int
    last: int
    lost: int
    changes: tuple[PrefixChange, ...] = ()


def make_prefix_keys(prompt: str) -> tuple[str, ...]:
    """Return a key for each prefix of whole blocks, shortest first."""
    words = prompt.split()
    digest = sha256()
    keys = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = ' '.join(words[end - BLOCK_WORDS : end])
        separator = ' ' if keys else ''
        digest.update(f'{separator}{block}'.encode())
        keys.append(digest.hexdigest()[:_KEY_HEX_DIGITS])
    return tuple(keys)


@dataclass(frozen=True)
class PromptKeys:
    """Hold a prompt's prefix keys, shortest first.

    ``sampled`` holds the keys that views track, with their depth in blocks.
    """

    keys: tuple[str, ...]
    sampled: tuple[tuple[int, str], ...]


def sample_keys(keys: tuple[str, ...]) -> PromptKeys:
    """Select the keys that views track."""
    return PromptKeys(
        keys,
        tuple(
            (depth, key)
            for depth, key in enumerate(keys, start=1)
            if is_sampled(key)
        ),
    )


def is_sampled(prefix_key: str) -> bool:
    """Return whether views track a key, by its last hexadecimal digit."""
    return int(prefix_key[-1], base=_HEX_BASE) % _SAMPLING == 0


class CacheView:
    """Estimate the contents of one server's cache."""

    def __init__(self, max_keys: int = _MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._number = 0
        self.trust = 1.0

    @property
    def number(self) -> int:
        """Return the number of the last event applied."""
        return self._number

    def apply_batch(self, batch: ChangeBatch) -> None:
        """Apply a batch of events; lost events lower the trust in all keys."""
        if batch.last <= self._number:
            return
        self._record_lost_events(
            max(0, batch.after - self._number) + batch.lost
        )
        self._number = batch.last
        for change in batch.changes:
            if change.stored:
                self._remember((change.prefix_key,))
            else:
                self._keys.pop(change.prefix_key, None)

    def add_prompt(self, prompt: PromptKeys) -> None:
        """Add the prefixes that a server caches as it computes a prompt."""
        # Added longest first, so that the longest prefixes are dropped
        # first: shorter ones are shared by more prompts.
        self._remember(key for _, key in reversed(prompt.sampled))

    def update_trust(
        self, prompt: PromptKeys, expected_tokens: float, cached_tokens: int
    ) -> None:
        """Adjust the trust by the cached-token count of a response.

        ``expected_tokens`` is the estimate from before the dispatch.
        """
        if expected_tokens > 0:
            hit_ratio = min(1, cached_tokens / expected_tokens)
            self.trust += _TRUST_GAIN * (hit_ratio - self.trust)
            self.trust = max(_MIN_TRUST, self.trust)
        self.add_prompt(prompt)

    def reset(self) -> None:
        """Reset the view to an empty cache, as after a restart."""
        self._keys.clear()
        self._number = 0
        self.trust = 1.0

    def count_cached_words(self, prompt: PromptKeys) -> int:
        """Return the number of words in the longest prefix in the view.

        A word is counted as a token.
        """
        blocks = 0
        for depth, key in prompt.sampled:
            if key not in self._keys:
                break
            blocks = depth
        return blocks * BLOCK_WORDS

    def estimate_cached(self, prompt: PromptKeys) -> float:
        """Return the number of cached words to expect, weighted by trust."""
        return self.count_cached_words(prompt) * self.trust

    def _record_lost_events(self, lost: int) -> None:
        # Events before the first one received are lost too, but the view
        # is still empty then.
        if lost and self._keys:
            lost_keys = lost / _SAMPLING
            doubtful_ratio = lost_keys / (lost_keys + len(self._keys))
            self.trust *= 1 - min(_MAX_GAP_LOSS, doubtful_ratio)
            self.trust = max(_MIN_TRUST, self.trust)

    def _remember(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._max_keys:
            self._keys.popitem(last=False)


class CacheViews:
    """Hold a view for each server; the number of all keys is bounded."""

    def __init__(self) -> None:
        self._views: dict[str, CacheView] = {}
        self._max_keys = _MAX_KEYS

    def retain(self, servers: Iterable[str]) -> None:
        """Drop the views of other servers and divide the bound evenly."""
        names = tuple(servers)
        self._max_keys = max(
            _MIN_KEYS_PER_SERVER, _MAX_KEYS // max(1, len(names))
        )
        self._views = {
            name: self._views.get(name) or CacheView(self._max_keys)
            for name in names
        }

    def find(self, server: str) -> CacheView:
        """Return a server's view, creating an empty one if needed."""
        view = self._views.get(server)
        if view is None:
            view = CacheView(self._max_keys)
            self._views[server] = view
        return view
