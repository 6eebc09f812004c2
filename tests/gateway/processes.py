"""Run gateways as processes against a fake metadata store."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.standins.deployment import ROOT, send, wait_until
from tests.standins.ports import find_free_port

SETTINGS = """
node = "{name}"
zone = "zone-a"
region = "north"
seed_addrs = [{seeds}]
port_range = [{tunnel}, {tunnel}]
bootstrap = true
new_field = ["ignored"]
[zones]
zone-a = "north"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
grace_s = 8
evacuate_ms = 5000
[platform]
address = "127.0.0.1:{store}"
[cloud]
address = "127.0.0.1:1"
"""


class GatewayProcessCase(unittest.TestCase):
    """Start the processes of a test, and stop them at its end."""

    def setUp(self):
        self.processes = []
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.stop_processes)
        self.store_port = find_free_port()
        self.environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}:{ROOT}',
        }
        self.spawn('-m', 'tests.standins.metadata_store', str(self.store_port))
        self.assertTrue(wait_until(lambda: self.control()))

    def stop_processes(self):
        for process in self.processes:
            process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()

    def spawn(self, *arguments, output=subprocess.PIPE, **environment):
        process = subprocess.Popen(
            (sys.executable, *arguments),
            env={**self.environment, **environment},
            stdout=output,
            cwd=ROOT,
        )
        self.processes.append(process)
        return process

    def control(self, **settings):
        """Post to the store's control endpoint; return whether it accepted."""
        return send(self.store_port, 'POST', '/control', settings).status == 200

    def start_gateway(
        self,
        name='edge-1',
        seeds=(),
        ports=None,
        output=subprocess.PIPE,
        extra='',
        module='monsoonwall',
        **environment,
    ):
        ports = ports or {
            listener: find_free_port()
            for listener in ('front', 'ready', 'control')
        }
        ports.setdefault('tunnel', find_free_port())
        seed_list = ','.join(f'"127.0.0.1:{port}"' for port in seeds)
        path = Path(self.folder.name) / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name, seeds=seed_list, store=self.store_port, **ports
            )
            + extra
        )
        process = self.spawn(
            '-m',
            module,
            'gateway',
            output=output,
            MONSOONWALL_NODE_FILE=str(path),
            **environment,
        )
        return process, ports

    def wait_ready(self, ports):
        self.assertTrue(wait_until(lambda: self.is_ready(ports)))

    def is_ready(self, ports):
        return send(ports['ready'], 'GET', '/monsoonwall/ready').status == 200

    def announce_server(self, name, port, born, state='ready'):
        """Write the store entry of a server of ``app``.

        Removes the entry if ``port`` is None.
        """
        if port is None:
            self.control(deleted=[['servers', name]])
            return
        spec = {
            'service': 'app',
            'address': f'127.0.0.1:{port}',
            'zone': 'zone-a',
            'state': state,
            'slots': 8,
            'born': born,
        }
        self.control(objects=[['servers', name, spec]])

    def count_peers(self, ports):
        metrics = send(ports['ready'], 'GET', '/metrics').body.decode()
        return next(
            float(line.split()[-1])
            for line in metrics.splitlines()
            if line.startswith('monsoonwall_mesh_peers ')
        )
