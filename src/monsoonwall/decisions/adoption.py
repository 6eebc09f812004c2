"""Decide which configurations a host adopts and when it may serve."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from xxhash import xxh3_64_intdigest

# How long a starting host waits for other hosts to report their numbers.
PEER_WAIT_SECONDS: Final = 1.0
# Hosts in each zone that watch the platform for newer configurations.
WATCHERS_PER_ZONE: Final = 2


class OfferVerdict(StrEnum):
    """State whether to adopt an offered configuration, or why not."""

    adopt = 'adopt'
    older = 'older'
    held = 'held'
    contradiction = 'contradiction'
    refused_before = 'refused_before'


@dataclass(frozen=True)
class ConfigurationId:
    """Identify a configuration by its number and its document's digest."""

    number: int
    digest: str


@dataclass(frozen=True)
class StartView:
    """Hold what a starting host knows; times are monotonic seconds.

    ``peer_numbers`` are the configuration numbers that other live hosts
    report.
    """

    held_number: int
    platform_answered: bool
    has_peers: bool
    peer_numbers: tuple[int, ...]
    started: float


@dataclass(frozen=True)
class ZoneHost:
    """Identify a live host and its availability zone."""

    name: str
    zone: str


class Adoption:
    """Hold the configuration in force; its number never decreases."""

    def __init__(self) -> None:
        self.held = ConfigurationId(0, '')
        self._refused: set[ConfigurationId] = set()

    def evaluate_offer(self, offer: ConfigurationId) -> OfferVerdict:
        """Return whether to adopt an offer.

        With the verdict ``adopt``, the offer still has to pass its checks.
        """
        if offer.number < self.held.number:
            return OfferVerdict.older
        if offer == self.held:
            return OfferVerdict.held
        if offer.number == self.held.number:
            return OfferVerdict.contradiction
        if offer in self._refused:
            return OfferVerdict.refused_before
        return OfferVerdict.adopt

    def refuse(self, offer: ConfigurationId) -> None:
        """Record an offer that did not pass its checks."""
        # Offers up to the held number are turned down anyway, so only
        # later ones are remembered.
        self._refused = {
            refused
            for refused in self._refused
            if refused.number > self.held.number
        } | {offer}

    def adopt(self, offer: ConfigurationId) -> bool:
        """Put a checked offer in force; return whether it was new."""
        if self.evaluate_offer(offer) is not OfferVerdict.adopt:
            return False
        self.held = offer
        return True


def may_serve(view: StartView, now: float) -> bool:
    """Return whether a starting host may serve with what it holds.

    It needs a configuration at least as new as any that a peer reports. If
    the platform has answered, a report from a peer is needed only as long
    as there are peers and the wait for them has not passed. During an outage
    of the platform, at least one peer has to report a configuration.
    """
    if not view.held_number:
        return False
    if view.held_number < max(view.peer_numbers, default=0):
        return False
    peers_reported = any(view.peer_numbers)
    waited = now >= view.started + PEER_WAIT_SECONDS
    if view.platform_answered:
        return peers_reported or not view.has_peers or waited
    return peers_reported


def choose_watchers(hosts: Iterable[ZoneHost], zone: str) -> tuple[str, ...]:
    """Return the hosts that watch the platform on behalf of their zone.

    Hosts with the same view choose the same watchers; a host that knows no
    other in its zone chooses itself.
    """
    ranked = sorted(
        {host.name for host in hosts if host.zone == zone},
        key=lambda name: (xxh3_64_intdigest(name.encode()), name),
    )
    return tuple(ranked[:WATCHERS_PER_ZONE])
