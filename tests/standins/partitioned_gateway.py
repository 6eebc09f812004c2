"""Run a gateway that is partitioned from the addresses in a file.

New connections to them hang while the file has them. The file's path is in
the environment variable PARTITION_FILE.
"""

import asyncio
import os
import sys
from pathlib import Path

from tornado.iostream import IOStream

from monsoonwall.__main__ import run

_connect = IOStream.connect


def connect(stream, address, *arguments, **options):
    """Connect, unless the address is in the file."""
    path = Path(os.environ['PARTITION_FILE'])
    host, port = address[:2]
    if path.exists() and f'{host}:{port}' in path.read_text().split():
        return asyncio.get_running_loop().create_future()
    return _connect(stream, address, *arguments, **options)


if __name__ == '__main__':
    IOStream.connect = connect
    sys.exit(run(sys.argv[1:]))
