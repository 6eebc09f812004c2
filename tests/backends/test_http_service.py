"""Test what the response of a plain service says about the call."""

import unittest

from monsoonwall.backends.http_service import HttpService
from monsoonwall.clocks import SystemClock
from monsoonwall.transport.clients import make_client
from tests.pipeline.stages import make_call
from tests.standins.raw_server import make_response, run_raw_server

MAX_RESPONSE_BYTES = 100_000


class BusyResponseTest(unittest.IsolatedAsyncioTestCase):
    """Send calls to a service that responds that it is busy."""

    async def send_call(self, extra, idempotent):
        server = await self.enterAsyncContext(run_raw_server())
        server.responses = [[make_response(status=503, extra=extra)]]
        clock = SystemClock()
        service = HttpService(
            server.address, make_client(1, MAX_RESPONSE_BYTES), clock
        )
        deadline = clock.read_monotonic() + 2
        call = make_call(1, deadline=deadline, idempotent=idempotent)
        return (await service.send_call(call)).failure()

    async def test_busy_response_without_retry_after_proves_nothing(self):
        """A refusal of an idempotent call then said that it had not run."""
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                failure = await self.send_call('', idempotent)
                self.assertTrue(failure.may_have_run)

    async def test_busy_response_with_retry_after_means_not_run(self):
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                failure = await self.send_call('Retry-After: 1\r\n', idempotent)
                self.assertFalse(failure.may_have_run)


if __name__ == '__main__':
    unittest.main()
