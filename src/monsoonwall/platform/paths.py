"""Name the paths that the platform asks for on each host."""

from typing import Final

READY_PATH: Final = '/monsoonwall/ready'
