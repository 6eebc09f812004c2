"""Run the command line from a checkout, without installing the package."""

import signal
import sys
from pathlib import Path
from pkgutil import resolve_name


def launch() -> int:
    """Run the command line and return the exit status."""
    # SIGHUP asks for a reload but by default ends the process. It may arrive
    # before the command has installed its signal handlers.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))
    status: int = resolve_name('monsoonwall.__main__:run')()
    return status


if __name__ == '__main__':
    sys.exit(launch())
