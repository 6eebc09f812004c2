"""Accept requests, except on channels that are being closed."""

import unittest
from unittest.mock import Mock, create_autospec, patch

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.intake import make_intake_limits
from monsoonwall.gateway.ingress import Ingress, RequestHandler
from monsoonwall.platform.dialect import PlatformDialect

START_LINE = RequestStartLine('POST', '/look/1', 'HTTP/1.1')
HEADERS = HTTPHeaders({'Host': 'desk', 'X-Monsoonwall-Attempt-Id': 'a1'})


class RecordingHandler(RequestHandler):
    """Record the ids of served requests and the reasons of refusals."""

    def __init__(self):
        self.served = []

    async def serve(self, request, caller):
        self.served.append(request.attempt_id)

    def refuse(self, attempt_id, caller, refusal):
        self.served.append(refusal.reason)


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """Shut down before, while and after a request is read."""

    def setUp(self):
        self.handler = RecordingHandler()
        self.ingress = Ingress(
            '127.0.0.1:0',
            PlatformDialect(),
            self.handler,
            ManualClock(),
            lambda: None,
            make_intake_limits(160, 1200),
        )
        self.connection = create_autospec(HTTP1Connection, instance=True)
        self.connection.stream = Mock(_read_buffer_size=0)

    def open_channel(self):
        return self.ingress.start_request('channel', self.connection)

    async def read_request(self, exchange):
        exchange.headers_received(START_LINE, HEADERS)
        exchange.data_received(b'{}')
        exchange.finish()
        await self.ingress.wait_idle(1)

    async def test_request_is_served(self):
        await self.read_request(self.open_channel())
        self.assertEqual(self.handler.served, ['a1'])

    async def test_request_racing_with_the_close_is_not_served(self):
        exchange = self.open_channel()
        self.ingress.close_idle()
        self.connection.close.assert_called_once_with()
        await self.read_request(exchange)
        self.assertEqual(self.handler.served, [])
        self.assertEqual(self.ingress.active, 0)

    async def test_request_that_is_arriving_is_served(self):
        exchange = self.open_channel()
        exchange.headers_received(START_LINE, HEADERS)
        self.ingress.close_idle()
        self.connection.close.assert_not_called()
        exchange.finish()
        await self.ingress.wait_idle(1)
        self.assertEqual(self.handler.served, ['a1'])

    async def test_request_behind_another_is_served_during_shutdown(self):
        """A further request that had been read was dropped with its channel."""
        await self.read_request(self.open_channel())
        self.ingress.disable_keep_alive()
        self.ingress.close_idle()
        self.connection.close.reset_mock()
        self.connection.stream = Mock(_read_buffer_size=100)
        await self.read_request(self.open_channel())
        self.connection.close.assert_not_called()
        self.assertEqual(self.handler.served, ['a1', 'a1'])

    async def test_request_that_cannot_be_decoded_does_not_stay_active(self):
        """A stopping host waited for such a request until its grace ended."""
        exchange = self.open_channel()
        with patch.object(
            PlatformDialect, 'read_request', side_effect=ValueError
        ):
            await self.read_request(exchange)
        self.assertEqual(self.ingress.active, 0)
        self.connection.close.assert_called_once_with()

    async def test_new_channel_after_shutdown_is_closed(self):
        self.ingress.close_idle()
        await self.read_request(self.open_channel())
        self.connection.close.assert_called_once_with()
        self.assertEqual(self.handler.served, [])
