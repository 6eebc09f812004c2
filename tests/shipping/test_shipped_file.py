"""Run the shipped file as a host does: one file, one process."""

import os
import signal
import subprocess
import tempfile
import unittest
from pathlib import Path

import psutil

from tests.standins.deployment import ROOT, Deployment, make_document

STOP_SECONDS = 30


class ShippedFileTest(unittest.TestCase):
    """Build the file once and run it."""

    @classmethod
    def setUpClass(cls):
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.shipped = folder / 'monsoonwall'
        subprocess.run(
            ['sh', 'scripts/build.sh', str(cls.shipped)],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        cls.environment = {
            'PATH': os.environ['PATH'],
            'SHIV_ROOT': str(folder / 'unpacked'),
        }

    def test_version(self):
        printed = subprocess.run(
            [self.shipped, 'version'],
            env=self.environment,
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertRegex(printed.stdout, r'\d+\.\d+\.\d+')

    def test_one_process_serves_and_stops(self):
        deployment = self.enterContext(Deployment())
        deployment.start_platform()
        deployment.start_engine('engine')
        document = make_document(deployment, ['engine'], [])
        deployment.put_configuration(document)
        deployment.start_entry('entry', 'zone-a', command=(str(self.shipped),))
        deployment.wait_ready('entry')
        process = deployment.processes['entry']
        self.assertEqual(psutil.Process(process.pid).children(), [])
        reply = deployment.send(
            'entry',
            'POST',
            '/v1/completions',
            {'model': 'hotline', 'prompt': 'hi', 'max_tokens': 2},
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(psutil.Process(process.pid).children(), [])
        deployment.signal('entry', signal.SIGTERM)
        self.assertEqual(process.wait(STOP_SECONDS), 0)
