"""Track the state of the backend servers as this host sees it.

Routing, admission, and the tasks that poll servers and receive reports share
one view. All run in one event loop and do not await while they use it, so
there is no lock.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from cachetools import LRUCache

from monsoonwall.configuration.model import Configuration
from monsoonwall.decisions.admission import RateMeter
from monsoonwall.decisions.availability import Availability
from monsoonwall.decisions.cache import (
    CacheViews,
    PromptKeys,
    make_prefix_keys,
    sample_keys,
)
from monsoonwall.decisions.load import ServerLoadTrackers
from monsoonwall.pipeline.messages import Call

_PROMPT_CACHE_SIZE: Final = 512
_CAPACITY_CACHE_SECONDS: Final = 0.25
_MIN_TRAFFIC_SHARE: Final = 0.02


@dataclass(frozen=True)
class Prompt:
    """Describe a prompt; one word is counted as one token."""

    words: int
    prefix: PromptKeys


class ServerView:
    """Track load, cache content and availability of configured servers."""

    def __init__(self) -> None:
        self.loads = ServerLoadTrackers()
        self.caches = CacheViews()
        self.availability = Availability()
        self._configuration = Configuration(0)
        self._by_version: dict[tuple[str, str], list[str]] = {}
        self._prompts: LRUCache[str, Prompt] = LRUCache(_PROMPT_CACHE_SIZE)
        self._dispatches: dict[str, dict[str, RateMeter]] = {}
        self._capacities: dict[str, tuple[float, float]] = {}

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration."""
        return self._configuration

    def adopt(self, configuration: Configuration) -> None:
        """Apply a configuration; servers that stay keep their state."""
        self._configuration = configuration
        by_version = defaultdict(list)
        for name, server in configuration.backend_servers.items():
            by_version[server.service, server.version].append(name)
        self._by_version = dict(by_version)
        self._capacities.clear()
        self.loads.retain(configuration.backend_servers)
        self.caches.retain(configuration.backend_servers)

    def list_servers(self, service: str, version: str) -> list[str]:
        """Return the servers of a version, in the same order on every host."""
        return self._by_version.get((service, version), [])

    def find_prompt(self, call: Call) -> Prompt:
        """Return the size and the prefix keys of a call's prompt."""
        prompt = self._prompts.get(call.content_key)
        if prompt is None:
            prompt = Prompt(
                len(call.prompt.split()),
                sample_keys(make_prefix_keys(call.prompt)),
            )
            self._prompts[call.content_key] = prompt
        return prompt

    def count_dispatch(self, service: str, version: str, now: float) -> None:
        """Add a dispatch to the traffic of a version."""
        meters = self._dispatches.setdefault(service, {})
        meters.setdefault(version, RateMeter()).add(1, now)

    def measure_capacity(self, service: str, now: float) -> float:
        """Return the number of calls that a service can run concurrently.

        While traffic moves between versions, each version gets only its share
        of the calls. The version with the least capacity relative to its
        share therefore bounds the whole service.
        """
        cached = self._capacities.get(service)
        if cached is not None and now < cached[0]:
            return cached[1]
        capacity = self._compute_capacity(service, now)
        self._capacities[service] = (now + _CAPACITY_CACHE_SECONDS, capacity)
        return capacity

    def _compute_capacity(self, service: str, now: float) -> float:
        capacities = {
            version: self._sum_capacity(names, now)
            for (name, version), names in self._by_version.items()
            if name == service
        }
        shares = self._measure_shares(service, now)
        bounds = [
            capacities.get(version, 0) / share
            for version, share in shares.items()
            if share >= _MIN_TRAFFIC_SHARE
        ]
        return min((sum(capacities.values()), *bounds))

    def _measure_shares(self, service: str, now: float) -> Mapping[str, float]:
        rates = {
            version: meter.read(now)
            for version, meter in self._dispatches.get(service, {}).items()
        }
        total = sum(rates.values())
        if total <= 0:
            return {}
        return {version: rate / total for version, rate in rates.items()}

    def _sum_capacity(self, names: list[str], now: float) -> float:
        usable = self.availability.filter_usable(names, now)
        return sum(
            self.loads.find(name).estimate(now).capacity for name in usable
        )
