"""Compose the mesh of one entry host."""

import asyncio
from asyncio import Queue, Task
from collections.abc import Sequence
from typing import Final

from grpc.aio import Channel

from monsoonwall.clocks import Clock
from monsoonwall.decisions.gossip import Self
from monsoonwall.decisions.membership import Membership, Timing
from monsoonwall.mesh.board import Board, Entry, Fact
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.exchange import Exchanger
from monsoonwall.mesh.gossip import GossipTask
from monsoonwall.mesh.peers import Peer, Peers, Registrar
from monsoonwall.mesh.server import MeshServer
from monsoonwall.mesh.store import HostRecord, RecordStore
from monsoonwall.settings import EntrySettings

_MILLISECONDS: Final = 1000


class MeshBoard(Board):
    """Publish and read records over the mesh."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, list[Queue[Entry | Fact]]] = {}
        self._gossip: GossipTask | None = None

    def connect(self, gossip: GossipTask) -> None:
        """Take the gossip that carries the records."""
        self._gossip = gossip

    def announce(self, record: Entry | Fact) -> None:
        """Hand a record to those that subscribed."""
        for queue in self._queues.get(record.kind, ()):
            queue.put_nowait(record)

    def publish_entry(self, kind: str, key: str, payload: bytes) -> None:
        """Set this host's entry under a key."""
        self._gossip.store.publish(kind, key, payload)

    def publish_fact(self, fact: Fact) -> None:
        """Spread a fact."""
        if self._gossip.store.merge_fact(fact, self._clock.read_wall()):
            self._gossip.spread(fact)

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return every live host's entries of a kind, own ones included."""
        return self._gossip.store.read_entries(kind)

    def read_facts(self, kind: str) -> tuple[Fact, ...]:
        """Return the facts of a kind that have not expired."""
        return self._gossip.store.facts.read(kind, self._clock.read_wall())

    def subscribe(self, kind: str) -> Queue[Entry | Fact]:
        """Return a queue of what arrives from now on."""
        queue: Queue[Entry | Fact] = Queue()
        self._queues.setdefault(kind, []).append(queue)
        return queue


class MeshPeers(Peers):
    """Know the other entry hosts by gossip."""

    def __init__(self, store: RecordStore, channels: Channels) -> None:
        self._store = store
        self._channels = channels

    def list_peers(self) -> tuple[Peer, ...]:
        """Return the peers thought alive, nearest zones first."""
        own = self._store.own
        return tuple(
            sorted(
                self._store.list_peers(),
                key=lambda peer: (
                    peer.zone != own.zone,
                    peer.region != own.region,
                    peer.name,
                ),
            )
        )

    def find_channel(self, name: str) -> Channel | None:
        """Return the gRPC channel to a peer, or None if it is unknown."""
        peer = self._store.find_peer(name)
        return self._channels.find(peer.address) if peer else None


class Mesh:
    """Own the mesh tasks of one entry host.

    ``board`` and ``peers`` work from the start; what they hold grows once
    the mesh has started.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        own = Self(settings.host_name, settings.zone, settings.region)
        record = HostRecord(
            settings.zone, settings.region, settings.mesh_address
        )
        self._address = settings.mesh_address
        self._channels = Channels()
        self._clock = clock
        board = MeshBoard(clock)
        store = RecordStore(
            own,
            # Hosts keep nothing; the wall clock grows over a restart.
            int(clock.read_wall() * _MILLISECONDS),
            Membership(Timing(), clock.read_monotonic()),
            board.announce,
        )
        self._gossip = GossipTask(
            Exchanger(store), self._channels, clock, record, settings.peers
        )
        board.connect(self._gossip)
        self.board = board
        self.peers = MeshPeers(store, self._channels)
        self._server: MeshServer | None = None
        self._running: Task[None] | None = None

    async def start(self, registrars: Sequence[Registrar] = ()) -> None:
        """Serve the other hosts, with the given services too."""
        self._server = MeshServer(
            self._address, (self._gossip.register, *registrars)
        )
        await self._server.start()
        self._running = asyncio.create_task(self._gossip.run())

    async def announce_leaving(self) -> None:
        """Tell the peers that this host takes nothing new."""
        await self._gossip.announce_leaving(left=False)

    async def stop(self) -> None:
        """Take leave of the peers and stop."""
        await self._gossip.announce_leaving(left=True)
        if self._running is not None:
            self._running.cancel()
        if self._server is not None:
            await self._server.stop()
        await self._channels.close()
