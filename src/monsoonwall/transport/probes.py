"""Probe whether a server accepts connections at an address."""

import asyncio
from enum import StrEnum
from typing import Final

_CONNECT_TIMEOUT_SECONDS: Final = 1.0


class ProbeResult(StrEnum):
    """Result of connecting to a server.

    ``silent``: no connection within the timeout, or an error other than a
    refusal. ``leaving`` is set by callers, for servers that are shutting down.
    """

    accepts = 'accepts'
    refused = 'refused'
    silent = 'silent'
    leaving = 'leaving'


async def probe_address(address: str) -> ProbeResult:
    """Connect to ``host:port``, close the connection, return the result."""
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
