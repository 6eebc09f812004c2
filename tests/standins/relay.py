"""Simulate network partitions between processes on loopback.

Each host is reached through a relay. While two hosts are partitioned, the
relays discard what their connections carry, but keep them open. A relay finds
the process that opened a connection by the ports, so a partition applies to
connections in both directions.
"""

import asyncio
import contextlib
import threading
from dataclasses import dataclass

import psutil


class Relays:
    """Run the relays of one test in a thread with an event loop."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._pids = {}
        self._servers = []
        self._partitions = set()

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def add(self, name, port, target_port):
        """Forward connections to ``port`` to the named host's own port."""

        async def serve():
            async def accept(reader, writer):
                with contextlib.suppress(asyncio.CancelledError):
                    await self._forward(name, target_port, reader, writer)

            self._servers.append(
                await asyncio.start_server(accept, '127.0.0.1', port)
            )

        asyncio.run_coroutine_threadsafe(serve(), self._loop).result()

    def set_process(self, name, pid):
        """Set the process id of the named host."""
        self._pids[name] = pid

    def partition(self, *pairs):
        """Block all connections between the two hosts of each pair."""
        self._partitions.update(map(frozenset, pairs))

    def heal(self):
        """End all partitions. Connections already blocked stay so."""
        self._partitions.clear()

    async def _close(self):
        for server in self._servers:
            server.close()
        running = asyncio.all_tasks() - {asyncio.current_task()}
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        # Give the loop time to close the transports.
        await asyncio.sleep(0.05)

    async def _forward(self, name, target_port, reader, writer):
        # Several connections may share a local port, so match both ports.
        port_pair = (
            writer.get_extra_info('peername')[1],
            writer.get_extra_info('sockname')[1],
        )
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', target_port
            )
        except OSError:
            writer.close()
            return
        link = _Link(name, port_pair)
        await asyncio.gather(
            self._pump(link, reader, target_writer),
            self._pump(link, target_reader, writer),
        )

    async def _pump(self, link, reader, writer):
        try:
            while content := await reader.read(65_536):
                if not self._is_blocked(link):
                    writer.write(content)
        except OSError:
            pass
        finally:
            writer.close()

    def _is_blocked(self, link):
        if self._partitions and not link.source:
            link.source = self._find_source(link.port_pair)
        pair = frozenset((link.name, link.source))
        link.blocked = link.blocked or pair in self._partitions
        return link.blocked

    def _find_source(self, port_pair):
        for name, pid in self._pids.items():
            try:
                connections = psutil.Process(pid).net_connections('tcp')
            except psutil.Error:
                continue
            if any(
                _read_port_pair(connection) == port_pair
                for connection in connections
            ):
                return name
        return 'unknown'


@dataclass
class _Link:
    name: str
    port_pair: tuple
    source: str = ''
    blocked: bool = False


def _read_port_pair(connection):
    remote = connection.raddr.port if connection.raddr else None
    return (connection.laddr.port, remote)
