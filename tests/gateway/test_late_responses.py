"""Send a request again to servers that respond a second time, late."""

from tests.gateway.test_proxy import NOT_EXECUTED, ProxyHandlerCase
from tests.standins.raw_server import LateBytes, make_response

_REJECTION = make_response(
    status=503, signed=False, extra='X-Monsoonwall-Not-Executed: 1\r\n'
)
_RESPONSE = make_response(b'ok')
# As many as one request is sent at most.
_ATTEMPTS = 4


class LateRejectionTest(ProxyHandlerCase):
    """One server rejects a request, and its rejection arrives twice."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        self.publish_server(1, 9, 'draining')
        self.server = self.servers[0]

    def reject_twice(self, rejection):
        """Script a rejection whose second copy precedes the next response."""
        self.server.responses.append([rejection, LateBytes(rejection)])

    async def test_copy_of_a_rejection_made_a_request_run_twice(self):
        """The copy passed as the response to the next sending."""
        self.reject_twice(_REJECTION)
        for _ in range(_ATTEMPTS - 1):
            self.server.responses.append([_RESPONSE])
        caller = await self.send_request('/reserve/1')
        self.assertEqual((caller.status, caller.body), (200, b'ok'))
        self.assertEqual(len(self.server.requests), 2)

    async def test_copy_of_a_rejection_was_relayed_for_a_request_that_ran(self):
        """Callers were told that a request had not run, but it had."""
        for _ in range(_ATTEMPTS - 1):
            self.reject_twice(_REJECTION)
        self.server.responses.append([_RESPONSE])
        caller = await self.send_request('/reserve/1')
        self.assertEqual((caller.status, caller.body), (200, b'ok'))

    async def test_copy_of_a_rejection_without_an_id_passed_as_response(self):
        """Without an id, it passed as the response to any other request."""
        self.server.responses += [
            [NOT_EXECUTED, LateBytes(NOT_EXECUTED)],
            [_RESPONSE],
            [_RESPONSE],
        ]
        caller = await self.send_request('/reserve/1')
        self.assertEqual((caller.status, caller.body), (200, b'ok'))
        self.assertEqual(len(self.server.requests), 2)

    async def test_channel_of_a_rejection_carries_other_requests(self):
        self.server.responses += [[_REJECTION], [_RESPONSE]]
        self.server.responses.append([make_response(b'other', attempt_id='a2')])
        await self.send_request('/reserve/1')
        self.assertEqual(self.server.connections, 2)
        caller = await self.send_request('/reserve/1', attempt_id='a2')
        self.assertEqual(caller.body, b'other')
        self.assertEqual(self.server.connections, 2)
