"""Follow the records of the platform's store."""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.clocks import Clock
from monsoonwall.decisions.budget import Backoff
from monsoonwall.decisions.hashing import hash_text
from monsoonwall.gateway.knowledge import Knowledge
from monsoonwall.gateway.records import RecordKind, RecordSource
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.mesh.peers import Peers
from monsoonwall.metrics import GATEWAY_STORE_HEARD
from monsoonwall.platform.objects import StoreFailure

# A store that fell silent is found out when a watch ends. The hosts' watches
# end at different times and they tell each other, so the first one counts.
_WATCH_SECONDS: Final = 8.0
_WATCH_SPREAD: Final = 0.25
# A returned store has to be heard within the contact time.
_FIRST_PAUSE_SECONDS: Final = 0.2
_MOST_PAUSE_SECONDS: Final = 0.8

# Hosts of each zone that watch the store; the others hear from them.
WATCHERS_PER_ZONE: Final = 1
_REACH_KIND: Final = 'store-reach'
_REACHED: Final = b'+'
_NOT_REACHED: Final = b'-'
_IDLE_SECONDS: Final = 0.5
# Part of the time within which a change has to be in force.
_GATHER_SECONDS: Final = 0.3

_log = make_logger('store')


def choose_watcher(own: str, zone_hosts: Iterable[str]) -> bool:
    """Tell whether a host is to watch, given the live hosts of its zone."""
    ranked = sorted(zone_hosts, key=hash_text)
    return own in ranked[:WATCHERS_PER_ZONE]


class WatchDuty:
    """Choose the hosts of a zone that watch the store.

    The store may turn single hosts away, which tell so; others watch then.
    """

    def __init__(
        self, board: Board, peers: Peers, own_name: str, zone: str
    ) -> None:
        self._board = board
        self._peers = peers
        self._own_name = own_name
        self._zone = zone
        self._told = _REACHED

    def is_own(self) -> bool:
        """Tell whether this host is to watch."""
        unreached = self.list_unreached()
        near = [
            peer.name
            for peer in self._peers.list_peers()
            if peer.zone == self._zone and not peer.leaving
        ]
        able = [name for name in near if name not in unreached]
        return choose_watcher(self._own_name, (*able, self._own_name))

    def note(self, reached: bool) -> None:
        """Take in how a call ended."""
        payload = _REACHED if reached else _NOT_REACHED
        if payload != self._told:
            self._told = payload
            self._board.publish_entry(_REACH_KIND, '', payload)

    def list_unreached(self) -> frozenset[str]:
        """Return the hosts that do not reach the store."""
        return frozenset(
            entry.origin
            for entry in self._board.read_entries(_REACH_KIND)
            if entry.payload == _NOT_REACHED
        )


class Follower:
    """Keep one kind of record current."""

    def __init__(
        self,
        kind: RecordKind,
        source: RecordSource,
        knowledge: Knowledge,
        clock: Clock,
        random: Random,
        duty: WatchDuty,
        first_start: bool,
    ) -> None:
        self._kind = kind
        self._source = source
        self._knowledge = knowledge
        self._clock = clock
        self._random = random
        self._duty = duty
        self._needs_current = not first_start
        self._backoff = Backoff(_FIRST_PAUSE_SECONDS, _MOST_PAUSE_SECONDS)
        self._known: int | None = None
        self._reached = True

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._known is None or self._duty.is_own():
                await self._step()
            else:
                await asyncio.sleep(_IDLE_SECONDS)

    async def _step(self) -> None:
        failure = await (self._list() if self._known is None else self._watch())
        if failure is None:
            self._note_reached()
        elif failure is StoreFailure.missing:
            _log.info('History is gone; listing anew.', kind=self._kind)
            self._known = None
        else:
            await self._pause(failure)

    async def _list(self) -> StoreFailure | None:
        # At the first start of all hosts nothing has been withdrawn yet. Later
        # an old list could bring back a server that left or a withdrawn key.
        listed = await self._source.list_records(
            self._kind, self._needs_current
        )
        if not is_successful(listed):
            return listed.failure()
        listing = listed.unwrap()
        self._knowledge.adopt_listing(self._kind, listing)
        self._known = listing.revision
        self._needs_current = True
        return None

    async def _watch(self) -> StoreFailure | None:
        spread = 1 + _WATCH_SPREAD * (2 * self._random.random() - 1)
        deadline = self._clock.read_monotonic() + _WATCH_SECONDS * spread
        watched = await self._source.watch_records(
            self._kind, self._known or 0, deadline
        )
        if not is_successful(watched):
            return watched.failure()
        changes = watched.unwrap()
        for record in changes.records:
            self._knowledge.adopt(record)
        self._known = max(self._known or 0, changes.revision)
        if changes.records:
            # Servers start and leave together; each answer is a call.
            await asyncio.sleep(_GATHER_SECONDS)
        return None

    def _note_reached(self) -> None:
        self._backoff.succeed()
        self._duty.note(reached=True)
        GATEWAY_STORE_HEARD.labels(self._kind).set(self._clock.read_wall())
        if not self._reached:
            self._reached = True
            _log.info('Store answers again.', kind=self._kind)

    async def _pause(self, failure: StoreFailure) -> None:
        self._knowledge.note_store_failure()
        self._duty.note(reached=False)
        if self._reached:
            self._reached = False
            _log.warning(
                'Store does not answer.', kind=self._kind, reason=failure
            )
        now = self._clock.read_monotonic()
        until = self._backoff.fail(now, self._random.random())
        await asyncio.sleep(until - now)


def make_followers(
    source: RecordSource,
    knowledge: Knowledge,
    clock: Clock,
    random: Random,
    duty: WatchDuty,
    first_start: bool,
) -> tuple[Follower, ...]:
    """Return a follower for each kind that a gateway needs."""
    return tuple(
        Follower(
            kind,
            source,
            knowledge,
            clock,
            random,
            duty,
            first_start,
        )
        for kind in RecordKind
    )
