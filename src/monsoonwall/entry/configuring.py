"""Keep this host's configuration up to date."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.configuration.active import Source
from monsoonwall.configuration.enforcement import Enforcement
from monsoonwall.configuration.following import PlatformFollower
from monsoonwall.configuration.model import Configuration
from monsoonwall.configuration.notes import ANNOUNCEMENT_KIND, AttributedNote
from monsoonwall.configuration.outcomes import PatchOutcome
from monsoonwall.configuration.peer_notes import HostIdentity, PeerNotes
from monsoonwall.configuration.peering import PeerDocuments
from monsoonwall.configuration.submission import PatchRequest, PatchSubmitter
from monsoonwall.decisions.freshness import WorkKind
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Fact
from monsoonwall.platform.objects import ObjectStore

_TICK_SECONDS: Final = 0.1
_RESTART_DELAY_SECONDS: Final = 3.0
# Limits how often all hosts together read the whole configuration, after an
# announcement from which they could not derive it.
_FLEET_READS_PER_SECOND: Final = 500

_log = make_logger('configuration')


@dataclass(frozen=True)
class ConfigurationReport:
    """Describe the configuration in force here and the notes of all hosts."""

    number: int
    digest: str
    serving: bool
    current: bool
    current_until_wall: float
    watching: bool
    problems: tuple[str, ...]
    hosts: tuple[AttributedNote, ...]


class ConfigurationTask:
    """Adopt newer configurations from the platform and peers; announce them."""

    def __init__(
        self,
        identity: HostIdentity,
        store: ObjectStore,
        mesh: MeshNode,
        clock: Clock,
        adopt: Callable[[Configuration], None],
    ) -> None:
        board = mesh.board
        self._board = board
        self.documents = PeerDocuments(mesh.peers)
        self._clock = clock
        self._submitter = PatchSubmitter(store, clock)
        self._peer_notes = PeerNotes(identity, board, clock.read_monotonic())
        self._enforcement = Enforcement(
            identity, self._peer_notes, board, clock, adopt
        )
        self._follower = PlatformFollower(store, self._enforcement, clock)
        self.documents.serve_from(self._enforcement.active.read_held)
        self._announcements = board.subscribe(ANNOUNCEMENT_KIND)
        self._catch_up_needed = asyncio.Event()

    async def run(self) -> None:
        """Follow the platform and the peers until cancelled."""
        for fact in self._board.read_facts(ANNOUNCEMENT_KIND):
            await self._apply_announcement(fact)
        while True:
            try:
                await self._run_followers()
            except Exception as error:
                # Without these tasks the host would fall behind unnoticed.
                _log.opt(exception=error).error(
                    'Configuration task failed, restarting it.'
                )
            await asyncio.sleep(_RESTART_DELAY_SECONDS)

    def may_work(self, work: WorkKind) -> bool:
        """Return whether the configuration permits a kind of work now."""
        return self._enforcement.may_work(work)

    def leads_zone(self) -> bool:
        """Return whether this host reports the status of its zone."""
        return self._enforcement.serving and self._peer_notes.leading

    def describe(self) -> ConfigurationReport:
        """Return the configuration in force here and the notes of all hosts."""
        enforcement = self._enforcement
        return ConfigurationReport(
            enforcement.active.held.number,
            enforcement.active.held.digest,
            enforcement.serving,
            enforcement.may_work(WorkKind.order),
            enforcement.freshness.deadline_wall,
            self._peer_notes.watching,
            tuple(map(str, enforcement.active.problems)),
            self._peer_notes.list_notes(),
        )

    def read_content(self) -> bytes | None:
        """Return the configuration in force, encoded as on the platform."""
        return self._enforcement.active.read_content()

    async def submit(self, request: PatchRequest) -> PatchOutcome:
        """Submit a patch; if it is accepted, put it in force on this host."""
        held = self._enforcement.active.read_held()
        if held is not None and held.number < self._enforcement.freshness.known:
            # If the platform lost its newer configuration, this older one
            # must not replace it.
            held = None
        outcome = await self._submitter.submit(request, held)
        _log.info(
            'Patch submitted.',
            patch_id=request.patch_id,
            ending=outcome.ending,
            number=outcome.number,
        )
        if outcome.stored is not None:
            self._follower.record_version(outcome.version)
            active = self._enforcement.active
            # Size 0, as the configuration is already decoded.
            await self._enforcement.process_offer(
                lambda: active.offer_stored(outcome.stored), 0
            )
        return outcome

    async def _run_followers(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            group.create_task(self._follow_announcements())
            group.create_task(self._follow_notes())
            group.create_task(self._catch_up())
            group.create_task(self._run_periodic_work())

    async def _watch(self) -> None:
        """Follow the platform while this host is a watcher or not yet serving.

        Other hosts learn of changes from the watchers.
        """
        while True:
            if self._enforcement.serving and not self._peer_notes.watching:
                await asyncio.sleep(_TICK_SECONDS)
            else:
                await self._follower.watch()

    async def _follow_announcements(self) -> None:
        while True:
            record = await self._announcements.get()
            if isinstance(record, Fact):
                await self._apply_announcement(record)

    async def _apply_announcement(self, fact: Fact) -> None:
        result = await self._enforcement.process_offer(
            lambda: self._enforcement.active.offer_announcement(fact.payload),
            len(fact.payload),
        )
        if result is None:
            self._catch_up_needed.set()

    async def _follow_notes(self) -> None:
        while True:
            note = await self._peer_notes.receive()
            self._enforcement.record_number(note.number)
            self._enforcement.confirm(note.number, note.confirmed_wall)

    async def _catch_up(self) -> None:
        """Read the configuration if it cannot be derived from announcements."""
        while True:
            await self._catch_up_needed.wait()
            # Many hosts fall behind at the same time; spread their reads.
            max_delay = self._peer_notes.host_count / _FLEET_READS_PER_SECOND
            await asyncio.sleep(random.uniform(0, max_delay))
            self._catch_up_needed.clear()
            await self._read_from_peer()
            if self._is_behind():
                await self._follower.read()
            await self._follower.pause(not self._is_behind())

    def _is_behind(self) -> bool:
        return (
            self._enforcement.active.held.number
            < self._enforcement.freshness.known
        )

    async def _read_from_peer(self) -> None:
        active = self._enforcement.active
        content = await self.documents.read(active.held.number + 1)
        if content is not None:
            await self._enforcement.process_offer(
                lambda: active.offer_object(content, Source.mesh), len(content)
            )

    async def _run_periodic_work(self) -> None:
        while True:
            now = self._clock.read_monotonic()
            self._peer_notes.update_role(now)
            if not self._enforcement.serving:
                self._enforcement.activate()
            if self._enforcement.is_behind(now):
                self._catch_up_needed.set()
            self._peer_notes.publish(self._enforcement.make_note(), now)
            await asyncio.sleep(_TICK_SECONDS)
