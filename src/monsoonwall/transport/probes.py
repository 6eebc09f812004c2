"""Find out whether anybody listens at an address."""

import asyncio
from enum import StrEnum
from typing import Final

_CONNECT_TIMEOUT_SECONDS: Final = 1.0


class ProbeResult(StrEnum):
    """Name what a server did when it was connected to."""

    accepts = 'accepts'
    refused = 'refused'
    silent = 'silent'
    leaving = 'leaving'


async def probe_address(address: str) -> ProbeResult:
    """Return what connecting to ``host:port`` gives."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return ProbeResult.refused
    except (OSError, TimeoutError):
        return ProbeResult.silent
    writer.close()
    return ProbeResult.accepts
