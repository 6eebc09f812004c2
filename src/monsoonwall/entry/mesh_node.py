"""Build the mesh node of a host: its gossip, server, board and peers."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from grpc.aio import Channel

from monsoonwall.background import BackgroundTask
from monsoonwall.clocks import Clock
from monsoonwall.decisions.gossip import Identity
from monsoonwall.decisions.membership import (
    Membership,
    Timing,
)
from monsoonwall.mesh.board import Board, Entry, Fact, Merge, Watermark
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.gossip import GossipTask
from monsoonwall.mesh.peers import Peer, Peers, Registrar
from monsoonwall.mesh.registry import SeedRegistry
from monsoonwall.mesh.roster import Roster
from monsoonwall.mesh.rounds import RoundPlanner
from monsoonwall.mesh.server import MeshServer
from monsoonwall.mesh.settings import MeshSettings
from monsoonwall.mesh.store import HostRecord, RecordStore
from monsoonwall.platform.objects import ObjectStore

_MILLISECONDS_PER_SECOND: Final = 1000


class MeshBoard(Board):
    """Publish and read records over the mesh."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, list[asyncio.Queue[Entry | Fact]]] = {}
        self._gossip: GossipTask | None = None
        self._planner: RoundPlanner | None = None

    def connect(self, gossip: GossipTask, planner: RoundPlanner) -> None:
        """Set the gossip task and the planner that transport the records."""
        self._gossip = gossip
        self._planner = planner

    def deliver(self, record: Entry | Fact) -> None:
        """Put a record into the queues of the subscribers to its kind."""
        queues = self._queues.get(record.kind)
        if not queues:
            return
        if isinstance(record, Entry):
            # Hidden entries, for which this is None, are not delivered.
            record = self._planner.roster.present_entry(record)
        for queue in queues if record else ():
            queue.put_nowait(record)

    def publish_entry(self, kind: str, key: str, payload: bytes) -> None:
        """Set this host's entry under a key."""
        store = self._gossip.store
        store.set_entry(Entry(store.own.name, kind, key, payload))
        self._planner.outbox.put(kind, key, payload)

    def publish_fact(self, fact: Fact) -> None:
        """Publish a fact to every host."""
        if self._gossip.store.merge_fact(fact, self._clock.read_wall()):
            self._gossip.pushes.schedule(fact)

    async def replicate_fact(self, fact: Fact, deadline: float) -> bool:
        """Publish a fact; return whether it outlives this host."""
        self._gossip.store.merge_fact(fact, self._clock.read_wall())
        return await self._gossip.pushes.replicate(fact, deadline)

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return every live host's entries of a kind, own ones included."""
        return self._planner.roster.read_entries(kind)

    def read_facts(self, kind: str) -> tuple[Fact, ...]:
        """Return the facts of a kind that have not expired."""
        return self._gossip.store.facts.read(kind, self._clock.read_wall())

    def subscribe(self, kind: str) -> asyncio.Queue[Entry | Fact]:
        """Return a queue of the records of a kind that arrive from now on."""
        queue: asyncio.Queue[Entry | Fact] = asyncio.Queue()
        self._queues.setdefault(kind, []).append(queue)
        return queue

    def advance_watermark(self, watermark: Watermark) -> None:
        """Declare up to where this host holds all facts of a source."""
        self._gossip.store.watermarks.advance(watermark)

    def find_watermark(self, key: str) -> Watermark | None:
        """Return up to where this host holds all facts of a source."""
        return self._gossip.store.watermarks.find(key)

    def prefer_partner(self, find_partner: Callable[[], str]) -> None:
        """Register which host most likely knows what this one lacks."""
        self._planner.prefer_partner(find_partner)

    def declare_merge(self, kind: str, merge: Merge) -> None:
        """Register how a zone's relays merge the entries of a kind."""
        self._planner.summaries.declare_merge(kind, merge)


class MeshPeers(Peers):
    """List and reach the other hosts known through gossip."""

    def __init__(
        self,
        roster: Roster,
        channels: Channels,
    ) -> None:
        self._roster = roster
        self._channels = channels

    def list_peers(self) -> tuple[Peer, ...]:
        """Return the peers considered alive, nearest zones first.

        In a fleet too large for full exchange these are the hosts of this
        zone and the relays of the other zones.
        """
        return self._roster.list_peers()

    def find_channel(self, name: str) -> Channel | None:
        """Return the gRPC channel to a peer, or None if it is unknown."""
        peer = self._roster.find_peer(name)
        return self._channels.find(peer.address) if peer else None


class MeshNode:
    """Own the mesh server, gossip task and channels of one host.

    ``board`` and ``peers`` can be used before ``start``, but records and
    peers arrive only after it. ``channels`` replaces the gRPC channels, and
    ``gossip`` serves the calls of other hosts.
    """

    def __init__(
        self,
        settings: MeshSettings,
        clock: Clock,
        advertised_address: str = '',
        channels: Channels | None = None,
    ) -> None:
        own = Identity(settings.host_name, settings.zone, settings.region)
        record = HostRecord(
            own.name,
            own.zone,
            own.region,
            advertised_address or settings.mesh_address,
        )
        board = MeshBoard(clock)
        store = RecordStore(
            own,
            # The incarnation must increase with each restart. Hosts store
            # nothing on disk, so it is taken from the wall clock.
            int(clock.read_wall() * _MILLISECONDS_PER_SECOND),
            Membership(Timing(), clock.read_monotonic()),
            board.deliver,
        )
        planner = RoundPlanner(store, settings.peers, clock.read_monotonic())
        self._own = own
        self._clock = clock
        self._record = record
        self._planner = planner
        self._address = settings.mesh_address
        self._use_platform_listing = settings.platform_listing
        self._channels = channels or Channels()
        self.gossip = GossipTask(
            Exchanger(store), planner, self._channels, clock, record
        )
        board.connect(self.gossip, planner)
        self.board: Board = board
        self.peers: Peers = MeshPeers(planner.roster, self._channels)
        self._server: MeshServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        registrars: Sequence[Registrar] = (),
        objects: ObjectStore | None = None,
    ) -> None:
        """Start the mesh server, with the given services, and the gossip.

        With ``objects``, hosts also find each other through the platform,
        unless that is disabled in the settings.
        """
        self._server = MeshServer(
            self._address, (self.gossip.register, *registrars)
        )
        await self._server.start()
        self._start_task('mesh', self.gossip.run)
        if objects is not None and self._use_platform_listing:
            registry = SeedRegistry(
                self._own, self._record.address, self._planner, objects
            )
            self._start_task('seeds', registry.run)

    def _start_task(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        task = BackgroundTask(name, run, self._clock)
        self._tasks.append(asyncio.create_task(task.run()))

    async def announce_leaving(self) -> None:
        """Announce to the peers that this host accepts no new work."""
        await self.gossip.announce_leaving(left=False)

    async def stop(self) -> None:
        """Announce that this host has left, then stop."""
        await self.gossip.announce_leaving(left=True)
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.stop()
        await self._channels.close()
