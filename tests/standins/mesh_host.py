"""Run just the mesh of an entry host, told what to publish over HTTP.

POST /control takes ``entry`` (a key and a text) and ``fact`` (a key, a text,
and when it expires); GET /control tells what the host knows.
"""

import asyncio
import signal
import sys

from msgspec import json
from tornado.ioloop import IOLoop
from tornado.web import Application, RequestHandler

from monsoonwall.clocks import SystemClock
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.mesh.board import Fact
from monsoonwall.mesh.settings import MeshSettings


class ControlHandler(RequestHandler):
    """Publish, and tell what is known."""

    def initialize(self, mesh):
        self.mesh = mesh

    def post(self):
        body = json.decode(self.request.body)
        key, text = body['entry']
        self.mesh.board.publish_entry('test', key, text.encode())
        key, text, expires = body['fact']
        self.mesh.board.publish_fact(Fact('test', key, text.encode(), expires))
        self.finish(b'{}')

    def get(self):
        board = self.mesh.board
        peers = self.mesh.peers.list_peers()
        entries = {
            f'{entry.origin}/{entry.key}': entry.payload.decode()
            for entry in board.read_entries('test')
        }
        facts = {
            fact.key: fact.payload.decode() for fact in board.read_facts('test')
        }
        state = {
            'peers': sorted(peer.name for peer in peers),
            'entries': entries,
            'facts': facts,
        }
        self.finish(json.encode(state))


def make_settings(name, zone, mesh_port, peers):
    """Return settings in which only the mesh's matter."""
    return MeshSettings(
        host_name=name,
        zone=zone,
        region='region',
        mesh_address=f'127.0.0.1:{mesh_port}',
        peers=tuple(f'127.0.0.1:{port}' for port in peers),
    )


async def serve(port, name, zone, mesh_port, advertised_port, *peers):
    """Serve until killed, or until asked to leave."""
    mesh = MeshNode(
        make_settings(name, zone, mesh_port, peers),
        SystemClock(),
        f'127.0.0.1:{advertised_port}',
    )
    await mesh.start()
    Application([('/control', ControlHandler, {'mesh': mesh})]).listen(
        int(port), '127.0.0.1'
    )
    leaving = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaving.set)
    await leaving.wait()
    await mesh.announce_leaving()
    await mesh.stop()


if __name__ == '__main__':
    IOLoop.current().run_sync(lambda: serve(*sys.argv[1:]))
