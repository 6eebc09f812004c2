"""Test tunnels through a host, with real connections."""

import asyncio
import socket
import struct
import unittest

from monsoonwall.transport.channels import Channel
from monsoonwall.transport.messages import (
    Head,
    OutgoingRequest,
    ResponseEnding,
)
from monsoonwall.transport.tunnels import (
    TunnelOffer,
    TunnelServer,
    open_tunnel,
)
from tests.standins.ports import find_free_port

MAX_BYTES = 10_000_000
TIMEOUT_SECONDS = 2.0
# Far more than the buffers of sockets and of a tunnel hold.
LARGE_BYTES = 50_000_000
BUFFERED_BYTES = 20_000_000
PIECE = bytes(100_000)
RESET = struct.pack('ii', 1, 0)


class TunnelTest(unittest.IsolatedAsyncioTestCase):
    """Open tunnels to a server through a host of this process."""

    async def asyncSetUp(self):
        self.received = b''
        self.sent_bytes = 0
        self.ended = asyncio.Event()
        self.respond = self.respond_whole
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.target = f'127.0.0.1:{port}'
        self.offer = TunnelOffer(f'127.0.0.1:{find_free_port()}', 'token')
        self.host = TunnelServer(self.offer, {self.target}.__contains__)
        await self.host.start()

    async def asyncTearDown(self):
        self.server.close()
        await self.host.stop(asyncio.get_running_loop().time())

    async def serve(self, reader, writer):
        try:
            self.received = await reader.readuntil(b'\r\n\r\n')
            await self.respond(writer)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()
            self.ended.set()

    async def respond_whole(self, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        await writer.drain()

    async def respond_and_reset(self, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET
        )
        writer.transport.abort()

    async def respond_without_length(self, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        writer.close()

    async def respond_at_length(self, writer):
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n'
        writer.write(head.encode())
        while self.sent_bytes < LARGE_BYTES:
            writer.write(PIECE)
            await writer.drain()
            self.sent_bytes += len(PIECE)

    async def open(self, offer=None, target=None):
        return await open_tunnel(
            offer or self.offer,
            target or self.target,
            TIMEOUT_SECONDS,
            MAX_BYTES,
        )

    async def exchange(self):
        """Return how the response to one request ends."""
        channel = Channel(self.target, await self.open(), MAX_BYTES)
        channel.send(OutgoingRequest('GET', '/', ()))
        head = await channel.receive()
        self.assertIsInstance(head, Head)
        return channel, await channel.receive_rest(head)

    async def test_request_and_response_pass(self):
        channel, reply = await self.exchange()
        self.assertTrue(self.received.startswith(b'GET / HTTP/1.1'))
        self.assertEqual(reply.body, b'ok')
        self.assertEqual(reply.ending, ResponseEnding.complete)
        self.assertTrue(channel.tunneled)
        self.assertEqual(self.host.tunnels, 1)
        channel.close()
        await asyncio.wait_for(self.ended.wait(), TIMEOUT_SECONDS)
        await self.host.stop(asyncio.get_running_loop().time() + 1)
        self.assertEqual(self.host.tunnels, 0)

    async def test_server_learns_that_the_other_end_has_closed(self):
        stream = await self.open()
        await stream.write(b'GET / HTTP/1.1\r\n\r\n')
        stream.close()
        await asyncio.wait_for(self.ended.wait(), TIMEOUT_SECONDS)

    async def test_response_that_is_reset_is_not_complete(self):
        self.respond = self.respond_and_reset
        _, reply = await self.exchange()
        self.assertEqual(reply.ending, ResponseEnding.broken)

    async def test_response_without_a_length_is_not_complete(self):
        """The host in between could have ended it."""
        self.respond = self.respond_without_length
        _, reply = await self.exchange()
        self.assertEqual(reply.ending, ResponseEnding.broken)

    async def test_other_tokens_and_targets_are_refused(self):
        wrong_token = TunnelOffer(self.offer.address, 'other')
        other_target = f'127.0.0.1:{find_free_port()}'
        for offer, target in (
            (wrong_token, self.target),
            (self.offer, other_target),
            (self.offer, 'no address'),
            (self.offer, f'{self.target}\r\nHost: x'),
        ):
            with (
                self.subTest(offer=offer, target=target),
                self.assertRaises(OSError),
            ):
                await self.open(offer, target)
        self.assertEqual(self.host.tunnels, 0)

    async def test_server_that_refuses_connections(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(OSError):
            await self.open()
        self.assertEqual(self.host.tunnels, 0)

    async def test_host_holds_little_for_a_slow_reader(self):
        self.respond = self.respond_at_length
        stream = await self.open()
        await stream.write(b'GET / HTTP/1.1\r\n\r\n')
        await asyncio.sleep(0.5)
        self.assertLess(self.sent_bytes, BUFFERED_BYTES)
        stream.close()

    async def test_odd_heads_end_no_host(self):
        for head in (b'\r\n\r\n', b'\xff\xfe\r\n\r\n', b'x' * 5000):
            host, _, port = self.offer.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head)
            with self.subTest(head=head[:4]):
                reply = await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS)
                self.assertNotIn(b' 200 ', reply)
            writer.close()
        _, reply = await self.exchange()
        self.assertEqual(reply.body, b'ok')


if __name__ == '__main__':
    unittest.main()
