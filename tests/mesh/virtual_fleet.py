"""Run the mesh of many hosts in one process, in simulated time.

The hosts run their real gossip tasks. Their channels are replaced by ones that
call the other host's service directly, and that can fall silent: calls on them
then get no response and time out. So do calls of and to hosts that are cut off.
"""

import asyncio
import selectors
from functools import partial

from grpc import StatusCode
from grpc.aio import AioRpcError, Metadata

from monsoonwall.clocks import Clock
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.mesh.channels import Channels
from monsoonwall.mesh.gossip import GossipService
from monsoonwall.mesh.settings import MeshSettings

LATENCY_SECONDS = 0.003


class _SkippingSelector(selectors.SelectSelector):
    """Advance the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        self.now += timeout or 0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while nothing can run."""

    def __init__(self):
        self._skipping_selector = _SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self):
        return self._skipping_selector.now


def close_loop(loop):
    """Cancel the tasks of a loop and close it."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()


class LoopClock(Clock):
    """Read the time of a loop; monotonic time has another origin."""

    def __init__(self, loop, origin=0):
        self.loop = loop
        self.origin = origin

    def read_monotonic(self):
        return self.loop.time() - self.origin

    def read_wall(self):
        return self.loop.time()


class FakeChannel:
    """Call the service of the host at an address, unless it is silent."""

    def __init__(self, network, caller, address):
        self._network = network
        self._caller = caller
        self._address = address
        self.silent = False

    @property
    def answers(self):
        """Return whether calls reach the other host."""
        callee = self._address.rpartition(':')[0]
        return not self.silent and not self._network.is_cut(
            self._caller, callee
        )

    def unary_unary(self, path, **_serializers):
        method = path.rpartition('/')[2]

        async def call(request, **options):
            if not self.answers:
                await asyncio.sleep(options['timeout'])
                raise AioRpcError(
                    StatusCode.DEADLINE_EXCEEDED, Metadata(), Metadata()
                )
            await asyncio.sleep(LATENCY_SECONDS)
            await self._network.wait_reading(self._address.rpartition(':')[0])
            service = self._network.services[self._address]
            reply = await getattr(service, method)(request, None)
            await asyncio.sleep(LATENCY_SECONDS)
            await self._network.wait_reading(self._caller)
            return reply

        return call

    async def close(self, grace=None):
        """Do nothing, since there is no connection."""


class VirtualFleet:
    """Hold the hosts of several zones and the channels between them."""

    def __init__(self, zones, hosts_per_zone, loop):
        self.services = {}
        # Hosts that are cut off from all others.
        self.cut_off = set()
        # Until when hosts read nothing that arrives (seconds of the loop).
        self.deaf_until = {}
        self.channels = []
        self.nodes = {}
        self.clocks = {}
        seeds = tuple(f'{zone}-0:1' for zone in zones)
        for zone in zones:
            for number in range(hosts_per_zone):
                # The hosts have started one after the other.
                clock = LoopClock(loop, origin=len(self.nodes))
                self._add(f'{zone}-{number}', zone, seeds, clock)

    def is_cut(self, caller, callee):
        """Return whether one of two hosts is cut off from the other."""
        return caller != callee and not self.cut_off.isdisjoint(
            (caller, callee)
        )

    async def wait_reading(self, host):
        """Wait until a host reads what has arrived."""
        until = self.deaf_until.get(host, 0)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0, until - now))

    def open_channel(self, caller, address):
        channel = FakeChannel(self, caller, address)
        self.channels.append(channel)
        return channel

    def silence_channels(self):
        """Let all channels that are open now fall silent."""
        for channel in self.channels:
            channel.silent = True

    def list_uninformed(self, fact):
        """Return the names of the hosts that do not hold a fact."""
        return [
            name
            for name, node in self.nodes.items()
            if fact not in node.board.read_facts(fact.kind)
        ]

    def _add(self, name, zone, seeds, clock):
        settings = MeshSettings(name, zone, 'region', f'{name}:1', seeds)
        open_channel = partial(self.open_channel, name)
        node = MeshNode(settings, clock, channels=Channels(open_channel))
        self.nodes[name] = node
        self.clocks[name] = clock
        self.services[f'{name}:1'] = GossipService(node.gossip)

    def start(self):
        """Start the gossip of all hosts; it runs until it is cancelled."""
        self._tasks = [
            asyncio.ensure_future(node.gossip.run())
            for node in self.nodes.values()
        ]

    def stop(self):
        """Cancel the gossip of all hosts."""
        for task in self._tasks:
            task.cancel()
