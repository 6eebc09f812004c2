"""Simulate backend servers that certain requests crash.

All servers share the event loop of one thread. A crash resets the server's
connections and closes its listener, as the end of a process would. After a
delay a replacement starts under another name and address.
"""

import asyncio
import threading
import time
from dataclasses import dataclass, field

from tests.standins.raw_server import make_response, parse_content_length, reset

POISON = b'poison'


@dataclass(frozen=True)
class ServerEvent:
    """A request that reached a server, or a server that crashed or left.

    ``moment`` is monotonic time; only requests have an ``attempt_id``.
    """

    moment: float
    server: str
    attempt_id: str


@dataclass(eq=False)
class _Server:
    name: str
    listener: asyncio.Server | None = None
    port: int = 0
    born: int = 0
    up: bool = True
    leaving: bool = False
    has_entry: bool = True
    writers: set = field(default_factory=set)


class CrashingServers:
    """Run a number of servers and replace those that crash.

    ``publish`` is called with a server's name, port and start time in
    milliseconds when the server starts. It is called again with None as the
    port when the store entry of a crashed server expires. ``restart_seconds``
    and ``expiry_seconds`` count from the crash.

    ``runs`` lists all requests that reached a server, ``arrivals`` the
    crashing ones among them, ``crashes`` the servers that crashed or were
    killed, and ``departures`` those whose leaving the store has confirmed.
    ``limits`` maps servers to the requests per second that they name.
    """

    def __init__(self, count, publish, restart_seconds=1.0, expiry_seconds=1.5):
        self.arrivals = []
        self.crashes = []
        self.departures = []
        self.runs = []
        self.limits = {}
        self.response_seconds = 0.02
        self._publish = publish
        self._restart_seconds = restart_seconds
        self._expiry_seconds = expiry_seconds
        self._started = 0
        self._servers = []
        self._tasks = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        for _ in range(count):
            self._call(self._start())

    def close(self):
        """Stop all servers and the thread."""
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def count_servers_up(self):
        """Return the number of running servers."""
        return sum(server.up for server in self._servers)

    def list_servers_up(self):
        """Return the names of the running servers."""
        return [server.name for server in self._servers if server.up]

    def kill(self, count):
        """Crash some servers, whatever requests they are running."""
        self._call(self._kill(count))

    def leave(self, announced):
        """Replace a server that serves on for a while after it has left.

        Its entry says that it is draining if ``announced``, else it is removed.
        """
        self._call(self._leave(announced))

    def reset_channels(self):
        """Reset the connections of all servers without stopping the servers."""
        self._call(self._reset_all())

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _start(self):
        self._started += 1
        server = _Server(f'i-{self._started}', born=time.time_ns() // 10**6)
        server.listener = await asyncio.start_server(
            lambda reader, writer: self._serve(server, reader, writer),
            '127.0.0.1',
            0,
        )
        server.port = server.listener.sockets[0].getsockname()[1]
        self._servers.append(server)
        await self._publish_state(server.name, server.port, server.born)

    async def _stop(self):
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            self._end(server)
        await asyncio.sleep(0)

    async def _kill(self, count):
        up = [server for server in self._servers if server.up]
        for server in up[:count]:
            self._crash(server)

    async def _leave(self, announced):
        staying = [
            server
            for server in self._servers
            if server.up and not server.leaving
        ]
        if not staying:
            return
        server = staying[0]
        server.leaving = True
        await self._start()
        if announced:
            await self._publish_state(
                server.name, server.port, server.born, 'draining'
            )
        else:
            await self._remove_entry(server)
        self.departures.append(ServerEvent(time.monotonic(), server.name, ''))

    async def _reset_all(self):
        for server in self._servers:
            for writer in list(server.writers):
                reset(writer)

    async def _publish_state(self, *state):
        # A blocking call to the metadata store, which is another process.
        await asyncio.to_thread(self._publish, *state)

    async def _serve(self, server, reader, writer):
        server.writers.add(writer)
        try:
            while server.up:
                await self._exchange(server, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            server.writers.discard(writer)
            writer.close()

    async def _exchange(self, server, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        body = await reader.readexactly(parse_content_length(head))
        attempt_id = _find_attempt_id(head.decode())
        self.runs.append(ServerEvent(time.monotonic(), server.name, attempt_id))
        await asyncio.sleep(self.response_seconds)
        if POISON in body:
            moment = time.monotonic()
            self.arrivals.append(ServerEvent(moment, server.name, attempt_id))
            self._crash(server)
            return
        # A complete event, so that streams can be served too.
        content = b'data: found for %s\n\n' % attempt_id.encode()
        limit = self.limits.get(server.name)
        extra = f'Server-Limit: {limit}\r\n' if limit else ''
        writer.write(make_response(content, attempt_id=attempt_id, extra=extra))
        await writer.drain()

    def _crash(self, server):
        if not server.up:
            return
        self.crashes.append(ServerEvent(time.monotonic(), server.name, ''))
        self._end(server)
        for coroutine in (
            self._start_replacement(),
            self._expire_entry(server),
        ):
            task = self._loop.create_task(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _end(self, server):
        server.up = False
        if server.listener is not None:
            server.listener.close()
        for writer in list(server.writers):
            reset(writer)

    async def _start_replacement(self):
        await asyncio.sleep(self._restart_seconds)
        await self._start()

    async def _expire_entry(self, server):
        await asyncio.sleep(self._expiry_seconds)
        if server.has_entry:
            await self._remove_entry(server)

    async def _remove_entry(self, server):
        server.has_entry = False
        await self._publish_state(server.name, None, server.born)


def _find_attempt_id(head):
    for line in head.splitlines():
        name, _, value = line.partition(': ')
        if name.lower() == 'x-monsoonwall-attempt-id':
            return value
    return ''
