"""Test the choice between direct connections and tunnels."""

import unittest

from monsoonwall.decisions.server_paths import PathPlan, ServerPaths

SERVER = '10.0.0.1:80'
DIRECT_FIRST = PathPlan(direct=True, tunnel=True, tunnel_first=False)
DIRECT_ONLY = PathPlan(direct=True, tunnel=False, tunnel_first=False)
TUNNEL_ONLY = PathPlan(direct=False, tunnel=True, tunnel_first=True)
BOTH = PathPlan(direct=True, tunnel=True, tunnel_first=True)


class ServerPathsTest(unittest.TestCase):
    """Record connections and ask for the next paths."""

    def setUp(self):
        self.paths = ServerPaths()

    def test_direct_path_is_preferred(self):
        self.assertEqual(self.paths.plan(SERVER, 0), DIRECT_FIRST)
        self.assertFalse(self.paths.is_partitioned())

    def test_tunnel_is_preferred_while_the_direct_path_is_checked(self):
        self.assertTrue(self.paths.record_tunnel(SERVER, 0))
        self.assertFalse(self.paths.record_tunnel(SERVER, 0.1))
        self.assertTrue(self.paths.is_partitioned())
        self.assertEqual(self.paths.plan(SERVER, 0.5), TUNNEL_ONLY)
        self.assertEqual(self.paths.plan(SERVER, 1), BOTH)
        self.assertEqual(self.paths.plan(SERVER, 1.1), TUNNEL_ONLY)
        self.assertEqual(self.paths.plan(SERVER, 2), BOTH)

    def test_direct_connection_ends_the_use_of_tunnels(self):
        self.paths.record_tunnel(SERVER, 0)
        self.assertTrue(self.paths.record_direct(SERVER))
        self.assertEqual(self.paths.plan(SERVER, 0.5), DIRECT_FIRST)
        self.assertFalse(self.paths.record_direct(SERVER))

    def test_no_tunnel_is_tried_to_a_server_that_is_down(self):
        self.paths.record_unreachable(SERVER, 0)
        self.assertEqual(self.paths.plan(SERVER, 0.9), DIRECT_ONLY)
        self.assertEqual(self.paths.plan(SERVER, 1), DIRECT_FIRST)
        self.assertEqual(self.paths.plan('10.0.0.2:80', 0), DIRECT_FIRST)

    def test_unused_tunnels_and_former_servers_are_forgotten(self):
        self.paths.record_tunnel(SERVER, 0)
        self.paths.retain([SERVER], 1)
        self.assertTrue(self.paths.is_partitioned())
        self.paths.retain([], 1)
        self.assertFalse(self.paths.is_partitioned())
        self.paths.record_tunnel(SERVER, 1)
        self.paths.retain([SERVER], 10)
        self.assertFalse(self.paths.is_partitioned())
        self.assertEqual(self.paths.plan(SERVER, 10), DIRECT_FIRST)


if __name__ == '__main__':
    unittest.main()
