"""Test under which conditions a host sends orders to engines."""

import asyncio
import unittest
from unittest.mock import patch

from returns.result import Success

from monsoonwall.backends.engine import LoadReport
from monsoonwall.clocks import ManualClock
from monsoonwall.decisions.freshness import WorkKind
from monsoonwall.entry.shard_controller import ShardController
from monsoonwall.settings import (
    check_entry_settings,
    define_entry_flags,
    read_settings,
)
from tests.claims.stores import FaultyStore
from tests.pipeline.stages import SERVERS, make_configuration

LOOP_TURNS = 400
FLAGS = (
    '--host_name=entry-0',
    '--zone=zone-a',
    '--platform_address=127.0.0.1:1',
)
# The tests replace asyncio.sleep by one that advances the manual clock.
yield_turn = asyncio.sleep


class UnloadedEngines:
    """Emulate engines without a loaded version, and record their orders."""

    def __init__(self):
        self.orders = []

    def find_engine(self, name):
        return self

    async def read_load(self):
        return Success(LoadReport(0, 0, 8, 0, (), False, 0))

    async def send_order(self, order):
        self.orders.append(order)
        return Success(order.fencing_number)


class NoPeers:
    """Emulate a mesh without other hosts."""

    def list_peers(self):
        return ()


class ShardControllerTest(unittest.IsolatedAsyncioTestCase):
    """Run the shard controller of one host in virtual time."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.enterContext(patch.object(asyncio, 'sleep', self.advance))
        self.engines = UnloadedEngines()
        self.is_current = False
        shard_controller = ShardController(
            read_settings(
                define_entry_flags, check_entry_settings, FLAGS, {}
            ).unwrap(),
            FaultyStore(),
            NoPeers(),
            self.engines,
            self.clock,
            self.may_work,
        )
        shard_controller.adopt(make_configuration())
        self.run_task = asyncio.create_task(shard_controller.run())
        self.addCleanup(self.run_task.cancel)

    async def advance(self, seconds):
        self.clock.advance(max(0, seconds))
        await yield_turn(0)

    def may_work(self, work):
        self.assertEqual(work, WorkKind.order)
        return self.is_current

    async def run_turns(self):
        for _ in range(LOOP_TURNS):
            await yield_turn(0)

    async def test_no_order_under_an_old_configuration(self):
        await self.run_turns()
        self.assertEqual(self.engines.orders, [])
        self.is_current = True
        await self.run_turns()
        self.assertGreaterEqual(len(self.engines.orders), len(SERVERS))
