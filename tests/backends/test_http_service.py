"""Test what the response of a plain service says about the call."""

import unittest

from monsoonwall.backends.http_service import HttpService
from monsoonwall.clocks import SystemClock
from monsoonwall.pipeline.messages import AttemptEnding
from monsoonwall.transport.clients import make_client
from tests.pipeline.stages import make_call
from tests.standins.raw_server import make_response, run_raw_server

MAX_RESPONSE_BYTES = 100_000


class ResponseTest(unittest.IsolatedAsyncioTestCase):
    """Send one call to a service that sends prescribed bytes."""

    async def exchange(self, *steps, idempotent=False):
        server = await self.enterAsyncContext(run_raw_server())
        server.responses = [list(steps)]
        clock = SystemClock()
        service = HttpService(
            server.address, make_client(1, MAX_RESPONSE_BYTES), clock
        )
        deadline = clock.read_monotonic() + 2
        call = make_call(1, deadline=deadline, idempotent=idempotent)
        return await service.send_call(call)

    async def send_call(self, extra, idempotent):
        response = make_response(status=503, extra=extra)
        return (await self.exchange(response, idempotent=idempotent)).failure()

    async def test_response_with_an_undefined_status_is_malformed(self):
        """Callers got status 000 as an answer."""
        for status in ('000', '600'):
            with self.subTest(status=status):
                response = make_response(b'hello').replace(
                    b'200', status.encode(), 1
                )
                failure = (await self.exchange(response)).failure()
                self.assertIs(failure.ending, AttemptEnding.malformed)
                self.assertTrue(failure.may_have_run)

    async def test_response_without_a_length_may_be_a_part(self):
        """A body was taken for complete although its connection was reset."""
        for end in ('reset', 'close'):
            with self.subTest(end=end):
                outcome = await self.exchange(
                    b'HTTP/1.1 200 OK\r\n\r\npart', 0.05, end
                )
                self.assertTrue(outcome.failure().may_have_run)

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
