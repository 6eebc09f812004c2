"""Test reading complete, truncated, unframed and stray responses."""

import asyncio
import unittest

from monsoonwall.transport.channels import call, open_channel
from monsoonwall.transport.messages import Head, OutgoingRequest, ResponseEnding
from tests.standins.raw_server import make_response, run_raw_server

REQUEST = OutgoingRequest('POST', '/any', (('X-One', '1'),), b'body')
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nwhole'


class ChannelTest(unittest.IsolatedAsyncioTestCase):
    """Exchange messages with a server that sends prescribed bytes."""

    async def exchange(self, *steps):
        async with run_raw_server() as raw_server:
            raw_server.responses.append(list(steps))
            channel = await open_channel(raw_server.address, 1)
            self.addCleanup(channel.close)
            channel.send(REQUEST)
            head = await channel.receive()
            if not isinstance(head, Head):
                return head, channel
            return await channel.receive_rest(head), channel

    async def test_channel_is_usable_after_complete_response(self):
        reply, channel = await self.exchange(make_response(b'hello'))
        await asyncio.sleep(0)
        self.assertEqual((reply.head.status, reply.body), (200, b'hello'))
        self.assertIs(reply.ending, ResponseEnding.complete)
        self.assertTrue(channel.is_usable)

    async def test_request_is_sent_as_given(self):
        async with run_raw_server() as raw_server:
            raw_server.responses.append([make_response(b'')])
            await call(raw_server.address, REQUEST, 1)
            address = raw_server.address
            head, body = raw_server.requests[0]
        self.assertTrue(head.startswith('POST /any HTTP/1.1\r\n'))
        self.assertIn('X-One: 1', head)
        self.assertIn(f'Host: {address}', head)
        self.assertEqual(body, b'body')

    async def test_truncated_body_is_broken(self):
        whole = make_response(b'hello')
        for end in ('close', 'reset'):
            with self.subTest(end=end):
                reply, _ = await self.exchange(whole[:-2], end)
                self.assertIs(reply.ending, ResponseEnding.broken)

    async def test_unframed_body_ends_with_its_channel(self):
        reply, _ = await self.exchange(UNFRAMED, 'close')
        self.assertEqual(reply.body, b'whole')
        self.assertIs(reply.ending, ResponseEnding.unframed)

    async def test_unframed_body_that_is_reset_is_broken(self):
        reply, _ = await self.exchange(UNFRAMED, 0.05, 'reset')
        self.assertIs(reply.ending, ResponseEnding.broken)

    async def test_channel_closed_without_response(self):
        ending, _ = await self.exchange('close')
        self.assertIs(ending, ResponseEnding.broken)

    async def test_malformed_response_is_broken(self):
        ending, channel = await self.exchange(b'\x00\x01 junk\r\n\r\n')
        self.assertIs(ending, ResponseEnding.broken)
        self.assertFalse(channel.is_usable)

    async def test_surplus_bytes_make_the_channel_unusable(self):
        reply, channel = await self.exchange(
            make_response(b'one') + make_response(b'two')
        )
        channel.close_with_peer()
        await asyncio.sleep(0.05)
        self.assertEqual(reply.body, b'one')
        self.assertFalse(channel.is_usable)

    async def test_late_second_answer_can_be_passed_over(self):
        """After the response to an earlier request, the own one can be read."""
        async with run_raw_server() as raw_server:
            raw_server.responses.append(
                [make_response(b'stray') + make_response(b'own')]
            )
            channel = await open_channel(raw_server.address, 1)
            channel.send(REQUEST)
            await channel.receive_rest(await channel.receive())
            await asyncio.sleep(0)
            channel.read_next_response()
            reply = await channel.receive_rest(await channel.receive())
            channel.close()
        self.assertEqual(reply.body, b'own')

    async def test_early_response_does_not_stop_the_request_body(self):
        large_request = OutgoingRequest('POST', '/any', (), b'x' * 14_000_000)

        async def respond_early(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(make_response(b'early'))
            await writer.drain()
            self.received_body = await reader.readexactly(
                len(large_request.body)
            )
            self.all_received.set()

        self.all_received = asyncio.Event()
        server = await asyncio.start_server(respond_early, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        channel = await open_channel(f'{host}:{port}', 1)
        channel.send(large_request)
        reply = await channel.receive_rest(await channel.receive())
        self.assertEqual(reply.body, b'early')
        self.assertFalse(channel.is_usable)
        await asyncio.wait_for(self.all_received.wait(), 10)
        self.assertEqual(self.received_body, large_request.body)
        channel.close()
        server.close()

    async def test_unframed_response_that_ends_while_sending_is_broken(self):
        """A part of a body was taken for all of it.

        The server ends its stream, leaves the upload unread and resets.
        """

        async def respond_in_part(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(UNFRAMED)
            writer.write_eof()
            await asyncio.sleep(0.01)
            writer.transport.abort()

        server = await asyncio.start_server(respond_in_part, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        for size in (3_000_000, 14_000_000):
            with self.subTest(size=size):
                channel = await open_channel(f'{host}:{port}', 1)
                self.addCleanup(channel.close)
                channel.send(OutgoingRequest('POST', '/any', (), b'x' * size))
                ending = await channel.receive()
                if isinstance(ending, Head):
                    ending = (await channel.receive_rest(ending)).ending
                self.assertIs(ending, ResponseEnding.broken)

    async def test_response_with_an_undefined_status_is_broken(self):
        """Statuses 600 and 999 were passed on to callers."""
        for status in ('000', '099', '600', '999'):
            response = make_response(b'hello').replace(
                b'200', status.encode(), 1
            )
            with self.subTest(status=status):
                ending, channel = await self.exchange(response)
                self.assertIs(ending, ResponseEnding.broken)
                await asyncio.sleep(0.01)
                self.assertFalse(channel.is_usable)

    async def test_unreachable_address_raises_os_error(self):
        with self.assertRaises(OSError):
            await open_channel('127.0.0.1:1', 1)

    async def test_call_errors_after_sending(self):
        async with run_raw_server() as raw_server:
            raw_server.responses.append(['close'])
            with self.assertRaises(ConnectionResetError):
                await call(raw_server.address, REQUEST, 1)
            raw_server.responses.append([2.0])
            with self.assertRaises(TimeoutError):
                await call(raw_server.address, REQUEST, 0.1)
