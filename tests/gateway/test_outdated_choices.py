"""Send requests by records that are old, or change after the choice."""

import asyncio

from monsoonwall.gateway.records import RecordKind
from tests.gateway.test_proxy import DRAIN_SECONDS, ProxyHandlerCase
from tests.standins.raw_server import make_response

OLD_SECONDS = 0.95 * DRAIN_SECONDS


class OutdatedChoiceTest(ProxyHandlerCase):
    """Choose the first server, which is preferred."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for server in self.servers:
            server.responses = [[make_response(b'found')] for _ in range(3)]

    async def fetch(self):
        """Send a request; return its status and the arrivals by server."""
        caller = await self.send_request('/look/1')
        return caller.status, self.count_arrivals()

    async def test_request_was_sent_by_old_records_to_a_server_that_had_left(
        self,
    ):
        """The store was in reach, but the host did not ask it."""

        async def read():
            self.publish_server(0, 9, 'draining')
            self.confirm(RecordKind.server, 0)

        self.configure(age_seconds=OLD_SECONDS)
        self.reader.read = read
        self.assertEqual(await self.fetch(), (200, [0, 1]))

    async def test_store_is_not_asked_while_the_records_are_recent(self):
        self.configure(age_seconds=0.5 * DRAIN_SECONDS)
        self.assertEqual(await self.fetch(), (200, [1, 0]))
        self.assertEqual(self.reader.refreshes, 0)

    async def test_servers_stay_in_use_while_the_store_does_not_respond(self):
        self.configure(age_seconds=OLD_SECONDS)
        self.reader.read = asyncio.Event().wait
        self.assertEqual(await self.fetch(), (200, [1, 0]))
        began = self.clock.read_monotonic()
        status, _ = await self.fetch()
        self.assertEqual(status, 200)
        # Only the first request waits for the store.
        self.assertLess(self.clock.read_monotonic() - began, 0.2)
        self.assertEqual(self.reader.refreshes, 1)

    async def test_call_that_a_stall_has_ended_is_made_again(self):
        async def read():
            if self.reader.refreshes == 2:
                self.publish_server(0, 9, 'draining')
                self.confirm(RecordKind.server, 0)

        self.configure(age_seconds=OLD_SECONDS)
        self.reader.read = read
        self.assertEqual(await self.fetch(), (200, [0, 1]))

    async def test_store_is_asked_again_once_it_has_responded(self):
        self.configure(age_seconds=OLD_SECONDS)
        await self.fetch()
        asked = self.reader.refreshes
        self.confirm(RecordKind.server, 0)
        await self.fetch()
        self.assertEqual(self.reader.refreshes, asked)
        await asyncio.sleep(OLD_SECONDS)
        await self.fetch()
        self.assertGreater(self.reader.refreshes, asked)


class OutdatedConfigurationTest(ProxyHandlerCase):
    """Admit requests by a configuration that may have been replaced."""

    async def test_key_that_had_been_revoked_was_accepted(self):
        """The store was in reach, but the host did not ask it."""

        async def read():
            tenants = [{'name': 'depot', 'api_keys': ['new']}]
            self.publish_configuration(9, tenants)
            self.confirm(RecordKind.catalogue, 0)

        self.configure(configured_seconds=OLD_SECONDS)
        self.configuration_reader.read = read
        caller = await self.send_request('/look/1')
        self.assertEqual(caller.status, 401)
        self.assertEqual(self.count_arrivals(), [0, 0])


class DepartureAfterChoiceTest(ProxyHandlerCase):
    """Let a server leave between the choice and the sending."""

    async def is_allowed(self, age_seconds):
        """Return whether a server may get a request that chose it before."""
        self.configure(age_seconds=age_seconds)
        chosen = self.record_cache.find_server('i-0')
        self.publish_server(0, 9, 'draining')
        return await self.departure_bound.allows(chosen)

    async def test_server_may_get_requests_until_its_drain_time_ends(self):
        self.assertTrue(await self.is_allowed(0.5 * DRAIN_SECONDS))

    async def test_departure_that_may_have_been_known_late_has_effect_at_once(
        self,
    ):
        self.assertFalse(await self.is_allowed(OLD_SECONDS))

    async def test_incarnation_that_was_replaced_gets_no_request(self):
        self.configure()
        chosen = self.record_cache.find_server('i-0')
        self.publish_server(0, 9, born=2)
        self.assertFalse(await self.departure_bound.allows(chosen))
