"""Move runs off engines that the host may not reach itself."""

import unittest

from msgspec import json

from monsoonwall.gateway.engines import MoveResult
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.server_connections import DirectConnector
from monsoonwall.platform.engines import PlatformEngines
from monsoonwall.transport.channels import open_channel
from tests.standins.ports import find_free_port
from tests.standins.raw_server import make_response, run_raw_server


class OtherPathConnector(DirectConnector):
    """Connect to all servers by way of one address."""

    def __init__(self, address):
        self.address = address

    async def open(self, server, timeout_seconds):
        return await open_channel(self.address, timeout_seconds)


class PartitionedEngineTest(unittest.IsolatedAsyncioTestCase):
    """Move a run whose engine is reached only through another host."""

    async def test_call_that_moves_a_run_was_always_sent_directly(self):
        """A host that did not reach the engine itself could not call it."""
        source, target = (
            BackendServer(
                name, 'llm', f'127.0.0.1:{find_free_port()}', 'zone-a', 'v1', 4
            )
            for name in ('i-1', 'i-2')
        )
        async with run_raw_server() as engine:
            engine.responses.append([make_response(b'{"handle": "h1"}')])
            move_result = await PlatformEngines().move_run(
                'a1', source, target, OtherPathConnector(engine.address)
            )
            self.assertEqual(move_result, MoveResult('h1', True, 'status 200'))
            head, body = engine.requests[0]
            self.assertTrue(head.startswith('POST /monsoonwall/kv-move '))
            self.assertEqual(json.decode(body)['target'], target.address)


if __name__ == '__main__':
    unittest.main()
