"""Keep the record cache up to date from the platform's metadata store.

A few hosts of each zone watch the store; the others receive its changes over
the mesh (see ``record_gossip``).
"""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.clocks import Clock
from monsoonwall.decisions.budget import Backoff
from monsoonwall.decisions.hashing import hash_text
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.records import RecordKind, RecordSource
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.mesh.peers import Peers
from monsoonwall.metrics import GATEWAY_STORE_LAST_RESPONSE
from monsoonwall.platform.objects import StoreFailure

# A watch that the store has lost looks like one without news until it times
# out. With the timeout of the call, this stays below the required contact time
# (3 s). The jitter makes the hosts' watches end at different times.
_MIN_WATCH_SECONDS: Final = 1.5
_MAX_WATCH_SECONDS: Final = 2.0
# Kept short, because hosts must reach a recovered store within the required
# contact time.
_MIN_BACKOFF_SECONDS: Final = 0.2
_MAX_BACKOFF_SECONDS: Final = 0.8

# Number of hosts of each zone that watch the store. The store may stop
# responding to some hosts and go on serving the others, which must then still
# receive changes.
WATCHERS_PER_ZONE: Final = 3
# The store is considered unavailable to all if this many other hosts do not
# reach it either. A host that fails alone, such as one that was slow, may read
# a removal long after it was confirmed.
_OTHER_UNREACHABLE_HOSTS: Final = 2
# Server entries expire when three pings in a row are missed. An outage that
# lies between two responses with a shorter gap cannot have caused that.
_MIN_OUTAGE_SECONDS: Final = 2.4
# For this long after an outage, removals may be those of expired entries.
# Ends before the store counts as stable again and its removals are binding.
_RECOVERY_SECONDS: Final = 1.5
# Watches of evacuations last longer by this factor: operators allow more time
# for them than for configurations, and each watch is a call.
_EVACUATION_WATCH_FACTOR: Final = 1.75
_REACHABILITY_KIND: Final = 'store-reach'
_REACHABLE: Final = b'+'
_UNREACHABLE: Final = b'-'
# A change must take effect within two seconds, also if all watching hosts of
# the zone were lost just before it.
_STANDBY_SECONDS: Final = 0.25
# Delay between watch calls, so that one call returns several changes. Counts
# towards the time within which a change must take effect.
_BATCH_SECONDS: Final = 0.3
_MILLISECONDS_PER_SECOND: Final = 1000

_log = make_logger('store')


def is_chosen_watcher(own_name: str, zone_hosts: Iterable[str]) -> bool:
    """Return whether a host is among the watchers of its zone's live hosts."""
    ranked = sorted(zone_hosts, key=hash_text)
    return own_name in ranked[:WATCHERS_PER_ZONE]


class WatcherElection:
    """Choose which hosts of a zone watch the store.

    All hosts compute the same choice from the mesh. The store may refuse single
    hosts; these publish that they cannot reach it, and others are chosen.
    Others also replace hosts that fall silent, before these are known to be
    gone.
    """

    def __init__(
        self, board: Board, peers: Peers, own_name: str, zone: str
    ) -> None:
        self._board = board
        self._peers = peers
        self._own_name = own_name
        self._zone = zone
        self._published = _REACHABLE

    def is_elected(self) -> bool:
        """Return whether this host should watch the store."""
        excluded = self.list_unreachable_hosts() | self._peers.list_silent()
        zone_peers = [
            peer.name
            for peer in self._peers.list_peers()
            if peer.zone == self._zone and not peer.leaving
        ]
        reachable = [name for name in zone_peers if name not in excluded]
        return is_chosen_watcher(self._own_name, (*reachable, self._own_name))

    def publish_reachability(self, reachable: bool) -> None:
        """Publish whether this host reaches the store, if that has changed."""
        payload = _REACHABLE if reachable else _UNREACHABLE
        if payload != self._published:
            self._published = payload
            self._board.publish_entry(_REACHABILITY_KIND, '', payload)

    def is_store_unavailable(self) -> bool:
        """Return whether the store seems to be unavailable to all hosts.

        Call it when this host does not reach the store.
        """
        peers = {peer.name for peer in self._peers.list_peers()}
        others = self.list_unreachable_hosts() & peers
        return len(others) >= min(_OTHER_UNREACHABLE_HOSTS, len(peers))

    def list_unreachable_hosts(self) -> frozenset[str]:
        """Return the hosts that reported the store as unreachable."""
        return frozenset(
            entry.origin
            for entry in self._board.read_entries(_REACHABILITY_KIND)
            if entry.payload == _UNREACHABLE
        )


class OutageDetector:
    """Tell whether removals may be those of entries expired in an outage."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._responded_at = float('-inf')
        self._suspected = False
        self._recovery_ends_at = float('-inf')
        self._era: int | None = None

    @property
    def recovering(self) -> bool:
        """Return whether an outage has ended just before."""
        return self._clock.read_monotonic() < self._recovery_ends_at

    def suspect(self) -> None:
        """Record that the store seems to be unavailable to all hosts."""
        self._suspected = True

    def record_response(self, era: int) -> None:
        """Record a response of the store in an era."""
        now = self._clock.read_monotonic()
        gap_seconds = now - self._responded_at
        restored = self._era not in {None, era}
        if restored:
            _log.warning('Store returned from an older copy.', era=era)
        if restored or (self._suspected and gap_seconds > _MIN_OUTAGE_SECONDS):
            self._recovery_ends_at = now + _RECOVERY_SECONDS
        self._suspected = False
        self._responded_at = now
        self._era = era


class RecordWatcher:
    """List and then watch one kind of record.

    On a host that is not elected it only lists the records, once.
    """

    def __init__(
        self,
        kind: RecordKind,
        source: RecordSource,
        record_cache: RecordCache,
        clock: Clock,
        random: Random,
        election: WatcherElection,
        first_start: bool,
    ) -> None:
        self._kind = kind
        self._source = source
        self._record_cache = record_cache
        self._clock = clock
        self._random = random
        self._election = election
        self._needs_current = not first_start
        self._backoff = Backoff(_MIN_BACKOFF_SECONDS, _MAX_BACKOFF_SECONDS)
        self._revision: int | None = None
        self._era = 0
        self._outages = OutageDetector(clock)
        self._reachable = True
        self._watching = False

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            elected = self._election.is_elected()
            self._log_election(elected)
            if self._revision is None or elected:
                await self._step()
            else:
                await asyncio.sleep(_STANDBY_SECONDS)

    def _log_election(self, elected: bool) -> None:
        if elected is not self._watching:
            self._watching = elected
            _log.info(
                'Watching the store.'
                if elected
                else 'No longer watching the store.',
                kind=self._kind,
            )

    async def _step(self) -> None:
        began = self._clock.read_monotonic()
        failure = await (
            self._list() if self._revision is None else self._watch()
        )
        if failure is None:
            self._record_success()
        elif failure is StoreFailure.missing:
            _log.info(
                'Store has discarded the history; listing again.',
                kind=self._kind,
            )
            self._revision = None
        else:
            await self._back_off(failure, began)

    async def _list(self) -> StoreFailure | None:
        # A stale list is cheaper, but safe only when the whole system starts
        # for the first time: later it could restore a server that has left or
        # an API key that was revoked.
        listed = await self._source.list_records(
            self._kind, self._needs_current
        )
        if not is_successful(listed):
            return listed.failure()
        listing = listed.unwrap()
        self._outages.record_response(listing.era)
        self._record_cache.adopt_listing(
            self._kind, listing, self._outages.recovering
        )
        self._revision = listing.revision
        self._era = listing.era
        self._needs_current = True
        return None

    async def _watch(self) -> StoreFailure | None:
        wait_seconds = self._random.uniform(
            _MIN_WATCH_SECONDS, _MAX_WATCH_SECONDS
        )
        if self._kind is RecordKind.evacuation:
            wait_seconds *= _EVACUATION_WATCH_FACTOR
        deadline = self._clock.read_monotonic() + wait_seconds
        watched = await self._source.watch_records(
            self._kind, self._revision or 0, deadline
        )
        if not is_successful(watched):
            return watched.failure()
        changes = watched.unwrap()
        if changes.era != self._era:
            # Changes between the copy and the watch's revision are not in it.
            self._revision = None
            return None
        self._outages.record_response(changes.era)
        for record in changes.records:
            self._record_cache.adopt(record, self._outages.recovering)
        self._revision = max(self._revision or 0, changes.revision)
        if changes.records:
            # Servers often start and stop in groups. Waiting collects their
            # changes into one response, since each response costs a call.
            await asyncio.sleep(_BATCH_SECONDS)
        return None

    def _record_success(self) -> None:
        self._backoff.reset()
        self._election.publish_reachability(reachable=True)
        GATEWAY_STORE_LAST_RESPONSE.labels(self._kind).set(
            self._clock.read_wall()
        )
        if not self._reachable:
            self._reachable = True
            _log.info('Store answers again.', kind=self._kind)

    async def _back_off(self, failure: StoreFailure, began: float) -> None:
        self._election.publish_reachability(reachable=False)
        if self._election.is_store_unavailable():
            self._outages.suspect()
        now = self._clock.read_monotonic()
        if self._reachable:
            self._reachable = False
            _log.warning(
                'Store does not answer.',
                kind=self._kind,
                reason=failure,
                waited_ms=round(_MILLISECONDS_PER_SECOND * (now - began)),
            )
        # Counted from the start of the call: one that timed out has paused
        # long enough.
        until = self._backoff.record_failure(began, self._random.random())
        await asyncio.sleep(max(0, until - now))


def make_watchers(
    source: RecordSource,
    record_cache: RecordCache,
    clock: Clock,
    random: Random,
    election: WatcherElection,
    first_start: bool,
    kinds: Iterable[RecordKind] = RecordKind,
) -> tuple[RecordWatcher, ...]:
    """Return one watcher for each of the given kinds of records."""
    return tuple(
        RecordWatcher(
            kind,
            source,
            record_cache,
            clock,
            random,
            election,
            first_start,
        )
        for kind in kinds
    )
