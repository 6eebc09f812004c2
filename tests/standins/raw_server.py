"""Serve scripted bytes as HTTP responses, in the event loop of the test."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass


@dataclass(frozen=True)
class EndlessBytes:
    """Response step that repeats bytes until the caller closes.

    ``pause`` is the time between two repetitions, in seconds.
    """

    content: bytes
    pause: float = 0


@dataclass(frozen=True)
class LateBytes:
    """Response step: bytes that precede the next response on the connection."""

    content: bytes


class RawServer:
    """Record requests and play one scripted response for each.

    A response is a list of steps: bytes to write, a number of seconds or an
    event to wait for, ``'close'`` or ``'reset'`` to end the connection,
    EndlessBytes or LateBytes.
    ``endless_bytes`` counts the bytes written by EndlessBytes steps.
    """

    def __init__(self):
        self.requests = []
        self.connections = 0
        self.responses = []
        self.address = ''
        self.tasks = []
        self.endless_bytes = 0
        self.late_bytes = {}

    async def serve(self, reader, writer):
        """Serve one connection until a response closes it."""
        self.connections += 1
        self.tasks.append(asyncio.current_task())
        keep_open = True
        try:
            while keep_open:
                keep_open = await self._exchange(reader, writer)
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            pass
        finally:
            writer.close()

    async def stop(self):
        """Cancel the open connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks)

    async def _write_endlessly(self, writer, endless):
        while True:
            writer.write(endless.content)
            await writer.drain()
            self.endless_bytes += len(endless.content)
            await asyncio.sleep(endless.pause)

    async def _exchange(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        body = await reader.readexactly(parse_content_length(head))
        self.requests.append((head.decode(), body))
        writer.write(self.late_bytes.pop(writer, b''))
        for step in self.responses.pop(0):
            if step == 'close':
                return False
            if step == 'reset':
                reset(writer)
                return False
            if isinstance(step, EndlessBytes):
                await self._write_endlessly(writer, step)
            elif isinstance(step, LateBytes):
                self.late_bytes[writer] = step.content
            elif isinstance(step, asyncio.Event):
                await step.wait()
            elif isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        return True


def reset(writer):
    """Close a connection with a TCP reset."""
    if writer.transport.is_closing():
        return
    # With a linger time of zero, closing the socket sends a reset.
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


def parse_content_length(head):
    """Return the Content-Length of a request head, or 0 if it has none."""
    for line in head.decode().splitlines():
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            return int(value)
    return 0


@asynccontextmanager
async def run_raw_server():
    """Run a raw server on a free loopback port."""
    raw = RawServer()
    server = await asyncio.start_server(raw.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    raw.address = f'{host}:{port}'
    try:
        yield raw
    finally:
        server.close()
        await raw.stop()


def make_response(body=b'', status=200, attempt_id='a1', signed=True, extra=''):
    """Return the bytes of a backend server's response.

    It has a Content-Length and, if ``signed``, a response signature.
    """
    signature_line = 'X-Monsoonwall-Response-Seal: s.1\r\n' if signed else ''
    attempt_line = (
        f'X-Monsoonwall-Attempt-Id: {attempt_id}\r\n' if attempt_id else ''
    )
    head = (
        f'HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n'
        f'{attempt_line}{signature_line}{extra}\r\n'
    )
    return head.encode() + body
