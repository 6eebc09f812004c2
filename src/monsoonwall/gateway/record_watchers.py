"""Keep the record cache up to date from the platform's metadata store.

The hosts of a zone watch the store in turns; the others receive its changes
over the mesh meanwhile (see ``record_gossip``).
"""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from monsoonwall.clocks import Clock, SteadyWallClock
from monsoonwall.decisions.budget import Backoff
from monsoonwall.decisions.record_age import find_reading_time
from monsoonwall.decisions.watch_turns import (
    Turn,
    find_latest_watcher,
    find_turn,
)
from monsoonwall.gateway.record_cache import RecordCache
from monsoonwall.gateway.record_confirmations import (
    ANNOUNCED_KINDS,
    Confirmation,
    RecordConfirmations,
)
from monsoonwall.gateway.records import (
    Record,
    RecordKind,
    RecordReader,
    RecordSource,
)
from monsoonwall.gateway.settings import Bounds
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.mesh.peers import Peers
from monsoonwall.metrics import GATEWAY_RECORD_AGE, GATEWAY_STORE_LAST_RESPONSE
from monsoonwall.platform.objects import StoreFailure

# Length of a turn, and of a watch without changes. A watch that the store has
# lost looks like one without news until it times out; with the timeout of the
# call, this stays below the required contact time (3 s).
_TURN_SECONDS: Final = 2.0
# Kept short, because hosts must reach a recovered store within the required
# contact time.
_MIN_BACKOFF_SECONDS: Final = 0.2
_MAX_BACKOFF_SECONDS: Final = 0.8

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
# Turns for evacuations last longer by this factor: operators allow more time
# for them than for configurations, and each watch is a call.
_EVACUATION_TURN_FACTOR: Final = 1.75
_REACHABILITY_KIND: Final = 'store-reach'
_REACHABLE: Final = b'+'
_UNREACHABLE: Final = b'-'
# A store that answers a watch without a wait does so within milliseconds.
_RESPONSE_SECONDS: Final = 0.06
# How often a host that does not watch looks whether it should.
_STANDBY_SECONDS: Final = 0.25
_MIN_PAUSE_SECONDS: Final = 0.01
# Hosts without a fault hear of a confirmation sooner.
_LOGGED_AGE_SECONDS: Final = 3.0
# Delay between watch calls, so that one call returns several changes. Counts
# towards the time within which a change must take effect.
_BATCH_SECONDS: Final = 0.3
_MILLISECONDS_PER_SECOND: Final = 1000
_MAX_AGE_DIGITS: Final = 6

_DEFAULT_BOUNDS: Final = Bounds()

_log = make_logger('store')


class WatchSchedule:
    """Tell when this host watches the store, and who cannot reach it.

    The hosts of a zone watch in turns. A host to which the store does not
    respond goes on trying out of turn, and so do all hosts while the store
    seems to be unavailable to all.
    """

    def __init__(
        self,
        board: Board,
        peers: Peers,
        clock: Clock,
        own_name: str,
        zone: str,
        bounds: Bounds = _DEFAULT_BOUNDS,
    ) -> None:
        self._board = board
        self._peers = peers
        self._clock = clock
        self._steady_clock = SteadyWallClock(clock)
        self._own_name = own_name
        self._zone = zone
        self.confirmations = RecordConfirmations(board)
        # Kinds that callers may depend on for a bounded time after a change.
        self._bound_seconds = {
            RecordKind.catalogue: bounds.configuration_seconds,
            RecordKind.server: bounds.drain_seconds,
        }
        # When the store was last known to answer, whatever kind was read.
        self.answered_at = float('-inf')
        self._published = _REACHABLE
        # Since when each unreachable host has failed (monotonic seconds).
        self._failing_since: dict[str, float] = {}
        board.prefer_partner(self._find_latest_watcher)

    def find_turn(self, turn_seconds: float) -> Turn:
        """Return this host's current or next turn, in monotonic seconds."""
        wall = self._steady_clock.read()
        turn = find_turn(self._own_name, self._list_hosts(), wall, turn_seconds)
        offset = self._clock.read_monotonic() - wall
        return Turn(turn.begins_at + offset, turn.ends_at + offset)

    def find_reading_time(self, kind: RecordKind) -> float:
        """Return when this host reads a kind of record whosever turn it is.

        In monotonic seconds.
        """
        confirmation = self.confirmations.find(kind)
        bound_seconds = self._bound_seconds.get(kind)
        if confirmation is None or bound_seconds is None:
            return float('inf')
        return find_reading_time(confirmation.confirmed_at, bound_seconds)

    def publish_reachable(self) -> None:
        """Publish that this host reaches the store, if that has changed."""
        self._publish(_REACHABLE)

    def publish_unreachable(self, failing_since: float) -> None:
        """Publish that this host fails to reach the store, if it has changed.

        ``failing_since`` is in monotonic seconds.
        """
        if not self._published.startswith(_UNREACHABLE):
            age = self._clock.read_monotonic() - failing_since
            age_ms = int(_MILLISECONDS_PER_SECOND * age)
            self._publish(b'%b%d' % (_UNREACHABLE, age_ms))

    def is_store_unavailable(self) -> bool:
        """Return whether the store seems to be unavailable to all hosts.

        Call it when this host does not reach the store.
        """
        peers = len(self._peers.list_peers())
        return self._count_unreachable_peers() >= min(
            _OTHER_UNREACHABLE_HOSTS, peers
        )

    def is_outage_reported(self) -> bool:
        """Return whether the store may be unavailable to this host as well."""
        return self._count_unreachable_peers() >= _OTHER_UNREACHABLE_HOSTS

    def find_outage_start(self, failing_since: float) -> float:
        """Return since when this host, or another one, has failed.

        The store was available to all at the latest when it answered this one.
        """
        self.list_unreachable_hosts()
        return max(
            self.answered_at,
            min((failing_since, *self._failing_since.values())),
        )

    def list_unreachable_hosts(self) -> frozenset[str]:
        """Return the hosts that reported the store as unreachable."""
        now = self._clock.read_monotonic()
        self._failing_since = {
            entry.origin: self._failing_since.get(
                entry.origin, now - _read_age(entry.payload)
            )
            for entry in self._board.read_entries(_REACHABILITY_KIND)
            if entry.payload.startswith(_UNREACHABLE)
        }
        return frozenset(self._failing_since)

    def _list_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the zone that take turns."""
        return (
            self._own_name,
            *(
                peer.name
                for peer in self._peers.list_peers()
                if peer.zone == self._zone and not peer.leaving
            ),
        )

    def _find_latest_watcher(self) -> str:
        return find_latest_watcher(
            self._list_hosts(), self._steady_clock.read(), _TURN_SECONDS
        )

    def _count_unreachable_peers(self) -> int:
        peers = {peer.name for peer in self._peers.list_peers()}
        return len(self.list_unreachable_hosts() & peers)

    def _publish(self, payload: bytes) -> None:
        if payload != self._published:
            self._published = payload
            self._board.publish_entry(_REACHABILITY_KIND, '', payload)


def _read_age(payload: bytes) -> float:
    """Return for how many seconds a host had failed when it published that."""
    digits = payload.removeprefix(_UNREACHABLE)[:_MAX_AGE_DIGITS]
    return int(digits) / _MILLISECONDS_PER_SECOND if digits.isdigit() else 0


class OutageDetector:
    """Tell whether removals may be those of entries expired in an outage."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Since when the store seems to be unavailable to all hosts.
        self._began_at: float | None = None
        self._recovery_ends_at = float('-inf')
        self._era: int | None = None

    @property
    def recovering(self) -> bool:
        """Return whether an outage has ended just before."""
        return self._clock.read_monotonic() < self._recovery_ends_at

    def suspect(self, began_at: float) -> None:
        """Record that the store seems to be unavailable to all hosts."""
        if self._began_at is None:
            self._began_at = began_at
        self._began_at = min(self._began_at, began_at)

    def record_response(self, era: int) -> None:
        """Record a response of the store in an era."""
        now = self._clock.read_monotonic()
        restored = self._era not in {None, era}
        if restored:
            _log.warning('Store returned from an older copy.', era=era)
        elapsed = 0 if self._began_at is None else now - self._began_at
        if restored or elapsed > _MIN_OUTAGE_SECONDS:
            self._recovery_ends_at = now + _RECOVERY_SECONDS
        self._began_at = None
        self._era = era


class RecordWatcher(RecordReader):
    """List one kind of record, then watch it in turns with other hosts."""

    def __init__(
        self,
        kind: RecordKind,
        source: RecordSource,
        record_cache: RecordCache,
        clock: Clock,
        random: Random,
        schedule: WatchSchedule,
        first_start: bool,
    ) -> None:
        self.kind = kind
        self._source = source
        self._record_cache = record_cache
        self._clock = clock
        self._random = random
        self._schedule = schedule
        self._needs_current = not first_start
        self._backoff = Backoff(_MIN_BACKOFF_SECONDS, _MAX_BACKOFF_SECONDS)
        self._revision: int | None = None
        self._era = 0
        self._outages = OutageDetector(clock)
        # Since when the store has not responded to this host.
        self._failing_since: float | None = None
        self._out_of_turn = False
        self._turn_seconds = _TURN_SECONDS
        if kind is RecordKind.evacuation:
            self._turn_seconds *= _EVACUATION_TURN_FACTOR

    async def refresh(self) -> None:
        """Adopt all changes until now, beside a watch that waits for more."""
        began = self._clock.read_monotonic()
        failure = await self._read()
        if failure is None:
            self._record_success()
        else:
            self._record_failure(failure, began)

    async def run(self) -> None:
        """List and watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_in_turns())
            if self.kind in ANNOUNCED_KINDS:
                group.create_task(self._read_when_due())

    async def _read_when_due(self) -> None:
        """Read the store before the bound, even while a watch is pending."""
        while True:
            due_at = self._schedule.find_reading_time(self.kind)
            pause = due_at - self._clock.read_monotonic()
            # While the store does not respond, the watches are retried.
            if pause <= 0 and self._failing_since is None:
                await self.refresh()
            pause = max(_MIN_PAUSE_SECONDS, pause)
            await asyncio.sleep(min(_STANDBY_SECONDS, pause))

    async def _watch_in_turns(self) -> None:
        while True:
            now = self._clock.read_monotonic()
            turn = self._schedule.find_turn(self._turn_seconds)
            deadline = self._find_deadline(turn, now)
            if deadline is not None:
                await self._step(deadline)
                continue
            pause = max(_MIN_PAUSE_SECONDS, turn.begins_at - now)
            await asyncio.sleep(min(_STANDBY_SECONDS, pause))

    def _find_deadline(self, turn: Turn, now: float) -> float | None:
        """Return until when to watch now, or None if not now."""
        self._update_out_of_turn()
        if turn.begins_at <= now:
            return turn.ends_at
        if self._out_of_turn or self._revision is None:
            return now + self._turn_seconds
        return None

    def _update_out_of_turn(self) -> None:
        out_of_turn = (
            self._failing_since is not None
            or self._schedule.is_outage_reported()
        )
        if out_of_turn is not self._out_of_turn:
            self._out_of_turn = out_of_turn
            _log.info(
                'Watching the store out of turn.'
                if out_of_turn
                else 'Watching the store in turn again.',
                kind=self.kind,
            )

    async def _step(self, deadline: float) -> None:
        began = self._clock.read_monotonic()
        # A watch that begins while the store drops its history may wait to its
        # end before it tells so.
        failure = await (
            self._watch(deadline)
            if self._failing_since is None and self._revision is not None
            else self._read()
        )
        if failure is None:
            self._record_success()
        elif failure is StoreFailure.missing:
            _log.info(
                'Store has discarded the history; listing again.',
                kind=self.kind,
            )
            self._revision = None
        else:
            await self._back_off(failure, began)

    async def _read(self) -> StoreFailure | None:
        """Adopt all changes until now.

        Lists if a watch is not answered at once: the store may leave watches
        unanswered while it drops its history.
        """
        if self._revision is None:
            return await self._list()
        reading = asyncio.create_task(
            self._read_changes(self._clock.read_monotonic())
        )
        try:
            await asyncio.wait({reading}, timeout=_RESPONSE_SECONDS)
            if reading.done():
                failure = reading.result().swap().value_or(None)
                if failure is not StoreFailure.missing:
                    return failure
            failure = await self._list()
        finally:
            reading.cancel()
        return failure

    async def _list(self) -> StoreFailure | None:
        # A stale list is cheaper, but safe only when the whole system starts
        # for the first time: later it could restore a server that has left or
        # an API key that was revoked.
        listed = await self._source.list_records(self.kind, self._needs_current)
        if not is_successful(listed):
            return listed.failure()
        listing = listed.unwrap()
        self._outages.record_response(listing.era)
        self._record_cache.adopt_listing(
            self.kind, listing, self._outages.recovering
        )
        self._revision = listing.revision
        self._era = listing.era
        self._confirm(listing.current_at)
        self._needs_current = True
        return None

    async def _watch(self, deadline: float) -> StoreFailure | None:
        changes = await self._read_changes(deadline)
        if changes.value_or(()):
            # Servers often start and stop in groups. Waiting collects their
            # changes into one response, since each response costs a call.
            await asyncio.sleep(_BATCH_SECONDS)
        return changes.swap().value_or(None)

    async def _read_changes(
        self, deadline: float
    ) -> Result[tuple[Record, ...], StoreFailure]:
        # A watch from an earlier revision than the confirmed one would return
        # at once, which is a call more in each turn.
        confirmation = self._schedule.confirmations.find(self.kind)
        if confirmation is not None and confirmation.era == self._era:
            self._revision = max(self._revision or 0, confirmation.revision)
        watched = await self._source.watch_records(
            self.kind, self._revision or 0, deadline
        )
        if not is_successful(watched):
            return Failure(watched.failure())
        changes = watched.unwrap()
        if changes.era != self._era:
            # Changes between the copy and the watch's revision are not in it.
            self._revision = None
            return Success(())
        self._outages.record_response(changes.era)
        for record in changes.records:
            self._record_cache.adopt(record, self._outages.recovering)
        self._revision = max(self._revision or 0, changes.revision)
        self._confirm(changes.current_at)
        return Success(changes.records)

    def _confirm(self, confirmed_at: float) -> None:
        if confirmed_at == float('-inf'):
            return
        self._schedule.answered_at = max(
            self._schedule.answered_at, confirmed_at
        )
        previous = self._schedule.confirmations.find(self.kind)
        if previous is not None and self.kind in ANNOUNCED_KINDS:
            age = confirmed_at - previous.confirmed_at
            GATEWAY_RECORD_AGE.labels(self.kind).observe(age)
            if age > _LOGGED_AGE_SECONDS:
                _log.info(
                    'Records had not been confirmed for long.',
                    kind=self.kind,
                    age_ms=round(_MILLISECONDS_PER_SECOND * age),
                )
        self._schedule.confirmations.confirm(
            Confirmation(
                self.kind, self._era, self._revision or 0, confirmed_at
            )
        )

    def _record_success(self) -> None:
        self._backoff.reset()
        self._schedule.publish_reachable()
        GATEWAY_STORE_LAST_RESPONSE.labels(self.kind).set(
            self._clock.read_wall()
        )
        if self._failing_since is not None:
            self._failing_since = None
            _log.info('Store answers again.', kind=self.kind)

    async def _back_off(self, failure: StoreFailure, began: float) -> None:
        self._record_failure(failure, began)
        # Counted from the start of the call: one that timed out has paused
        # long enough.
        until = self._backoff.record_failure(began, self._random.random())
        await asyncio.sleep(max(0, until - self._clock.read_monotonic()))

    def _record_failure(self, failure: StoreFailure, began: float) -> None:
        now = self._clock.read_monotonic()
        if self._failing_since is None:
            self._failing_since = began
            _log.warning(
                'Store does not answer.',
                kind=self.kind,
                reason=failure,
                waited_ms=round(_MILLISECONDS_PER_SECOND * (now - began)),
            )
        # A watch that was lost may have begun long before the store failed.
        failing_since = max(self._failing_since, self._schedule.answered_at)
        self._schedule.publish_unreachable(failing_since)
        if self._schedule.is_store_unavailable():
            self._outages.suspect(
                self._schedule.find_outage_start(failing_since)
            )


def make_watchers(
    source: RecordSource,
    record_cache: RecordCache,
    clock: Clock,
    random: Random,
    schedule: WatchSchedule,
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
            schedule,
            first_start,
        )
        for kind in kinds
    )
